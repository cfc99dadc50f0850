package plainroute

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/transport"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// headerNotRun on a 503 is the target's word that it ran nothing.
	headerNotRun  = "Not-Run"
	maxDrainBytes = 64 << 10
)

// targetAnswer is a target's answer whose body is still to be read.
type targetAnswer struct {
	*http.Response
	choice *choice
}

func (a *targetAnswer) close() {
	_ = a.Body.Close()
	a.choice.release()
}

// send makes attempts until a target answers. An error says "not run" only
// where that is certain of every attempt.
func (s *Routes) send(ctx context.Context, p *passage) (*targetAnswer, error) {
	s.parts.Budget.RecordRequest(p.route.Pool)
	var tried []string
	mayHaveRun := false
	for n := 1; ; n++ {
		choice, err := s.targets.choose(s.parts.Authenticator.Catalog(), p.route.Pool, tried)
		if err != nil {
			return nil, certain(err, mayHaveRun)
		}
		answer, err := s.attempt(ctx, p, choice)
		if err == nil {
			return answer, nil
		}
		choice.release()
		tried = append(tried, choice.name)
		ran := !failure.From(err).Answer().NotRun
		mayHaveRun = mayHaveRun || ran
		s.parts.Logger.Info("attempt failed", "request_id", p.r.Header.Get(headerRequestID), "target", choice.name, "reason", err)
		if !s.mayRetry(ctx, p, err, ran, n) {
			return nil, certain(err, mayHaveRun)
		}
		s.pause(ctx, s.parts.Budget.Pause(n))
	}
}

// certain takes "not run" back where an attempt may have run.
func certain(err error, mayHaveRun bool) error {
	if mayHaveRun && failure.From(err).Answer().NotRun {
		return failure.Wrap(failure.OutcomeUnknown, err, "an earlier attempt may have run")
	}
	return err
}

// mayRetry reports whether a failed attempt may be followed by another: when
// it certainly did not run, or may run again.
func (s *Routes) mayRetry(ctx context.Context, p *passage, err error, ran bool, n int) bool {
	switch {
	case ctx.Err() != nil, n >= maxAttempts, ran && !p.repeatable:
		return false
	case !failure.Is(err, failure.NoReplica) && !failure.Is(err, failure.Overloaded) && !failure.Is(err, failure.OutcomeUnknown):
		return false
	}
	_, _, again := p.body.reader()
	return again && s.parts.Budget.Take(p.route.Pool)
}

func (s *Routes) pause(ctx context.Context, d time.Duration) {
	select {
	case <-s.parts.Clock.After(d):
	case <-ctx.Done():
	}
}

// attempt sends the request to one target.
func (s *Routes) attempt(ctx context.Context, p *passage, c *choice) (*targetAnswer, error) {
	out, err := s.outgoing(ctx, p, c)
	if err == nil {
		err = p.check()
	}
	if err != nil {
		s.parts.Ejection.Abandoned(c.name)
		return nil, err
	}
	answer, err := s.client.Do(out)
	if err != nil {
		err = transportError(ctx, err)
		s.report(c, err)
		return nil, err
	}
	s.parts.Ejection.Succeeded(c.name)
	if answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(headerNotRun) == "true" {
		_, _ = io.CopyN(io.Discard, answer.Body, maxDrainBytes)
		_ = answer.Body.Close()
		return nil, failure.New(failure.Overloaded, "the target refused the request without running it")
	}
	return &targetAnswer{Response: answer, choice: c}, nil
}

func (s *Routes) outgoing(ctx context.Context, p *passage, c *choice) (*http.Request, error) {
	reader, length, ok := p.body.reader()
	if !ok {
		return nil, failure.New(failure.Internal, "the body was already sent")
	}
	address := url.URL{
		Scheme: "http", Host: c.Address.String(),
		Path: p.r.URL.Path, RawPath: p.r.URL.RawPath, RawQuery: p.r.URL.RawQuery,
	}
	if p.repeatable {
		ctx = transport.WithRepeatable(ctx)
	}
	out, err := http.NewRequestWithContext(ctx, p.r.Method, address.String(), reader)
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "the request cannot be carried")
	}
	out.ContentLength = length
	out.GetBody = nil
	copyHeaders(out.Header, p.r.Header)
	return out, nil
}

// report tells the ejection about a failed attempt; what the caller caused
// does not count against the target.
func (s *Routes) report(c *choice, err error) {
	if failure.Is(err, failure.NoReplica) || failure.Is(err, failure.OutcomeUnknown) {
		if s.parts.Ejection.Failed(c.name) {
			s.parts.Logger.Warn("target ejected", "target", c.name, "reason", err)
		}
		return
	}
	s.parts.Ejection.Abandoned(c.name)
}

// transportError tells what certainly did not run from what may have run.
func transportError(ctx context.Context, err error) error {
	var notSent *transport.NotSentError
	sent := !errors.As(err, &notSent)
	var large *http.MaxBytesError
	var refused *failure.Error
	switch {
	case errors.As(err, &refused) && sent:
		return failure.Wrap(failure.TargetFailed, err, "the body was refused after a part of it was sent")
	case errors.As(err, &refused):
		return refused
	case errors.As(err, &large) && sent:
		return failure.Wrap(failure.TargetFailed, err, "the body is larger than %d bytes and was sent in part", large.Limit)
	case errors.As(err, &large):
		return failure.New(failure.BodyTooLarge, "the body is larger than %d bytes", large.Limit)
	case errors.Is(ctx.Err(), context.Canceled) && sent:
		return failure.Wrap(failure.Canceled, err, "the caller left while the target ran the request")
	case sent:
		return failure.Wrap(failure.OutcomeUnknown, err, "the target's answer was lost")
	case ctx.Err() != nil:
		return failure.Wrap(failure.DeadlineExceeded, err, "the target was not reached in time")
	}
	return failure.Wrap(failure.NoReplica, err, "the target cannot be reached")
}
