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
	// headerNotRun is set to true in a 503 response of a target that did not
	// run the request.
	headerNotRun  = "Not-Run"
	maxDrainBytes = 64 << 10
)

// targetResponse is the response of a target. Its body has not been read.
type targetResponse struct {
	*http.Response
	choice *choice
}

func (r *targetResponse) close() {
	_ = r.Body.Close()
	r.choice.release()
}

// send makes attempts until a target responds. An error is marked "not run" only
// if certainly no attempt has run.
func (s *Routes) send(ctx context.Context, ex *exchange) (*targetResponse, error) {
	s.config.Budget.RecordRequest(ex.route.Pool)
	var tried []string
	mayHaveRun := false
	for n := 1; ; n++ {
		choice, err := s.balancer.choose(s.config.Authenticator.Catalog(), ex.route.Pool, tried)
		if err != nil {
			return nil, resolveOutcome(err, mayHaveRun)
		}
		resp, err := s.attempt(ctx, ex, choice)
		if err == nil {
			return resp, nil
		}
		choice.release()
		tried = append(tried, choice.name)
		attemptMayHaveRun := !failure.From(err).Answer().NotRun
		mayHaveRun = mayHaveRun || attemptMayHaveRun
		s.config.Logger.Info("attempt failed", "request_id", ex.r.Header.Get(headerRequestID), "target", choice.name, "reason", err)
		if !s.mayRetry(ctx, ex, err, attemptMayHaveRun, n) {
			return nil, resolveOutcome(err, mayHaveRun)
		}
		s.pause(ctx, s.config.Budget.Backoff(n))
	}
}

// resolveOutcome returns the error for the caller. It replaces an error that is
// marked "not run" if any attempt may have run.
func resolveOutcome(err error, mayHaveRun bool) error {
	if mayHaveRun && failure.From(err).Answer().NotRun {
		return failure.Wrap(failure.OutcomeUnknown, err, "an earlier attempt may have run")
	}
	return err
}

// mayRetry reports whether another attempt may follow the n-th, which failed with
// err. This requires that the failed attempt certainly did not run or that the
// request is repeatable.
func (s *Routes) mayRetry(ctx context.Context, ex *exchange, err error, attemptMayHaveRun bool, n int) bool {
	switch {
	case ctx.Err() != nil, n >= maxAttempts, attemptMayHaveRun && !ex.repeatable:
		return false
	case !failure.Is(err, failure.NoReplica) && !failure.Is(err, failure.Overloaded) && !failure.Is(err, failure.OutcomeUnknown):
		return false
	}
	_, _, resendable := ex.body.reader()
	return resendable && s.config.Budget.Take(ex.route.Pool)
}

func (s *Routes) pause(ctx context.Context, d time.Duration) {
	select {
	case <-s.config.Clock.After(d):
	case <-ctx.Done():
	}
}

// attempt sends the request to the chosen target.
func (s *Routes) attempt(ctx context.Context, ex *exchange, c *choice) (*targetResponse, error) {
	out, err := s.newTargetRequest(ctx, ex, c)
	if err == nil {
		err = ex.check()
	}
	if err != nil {
		s.config.Ejection.Abandoned(c.name)
		return nil, err
	}
	resp, err := s.client.Do(out)
	if err != nil {
		err = transportError(ctx, err)
		s.recordFailure(c, err)
		return nil, err
	}
	s.config.Ejection.Succeeded(c.name)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerNotRun) == "true" {
		_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
		_ = resp.Body.Close()
		return nil, failure.New(failure.Overloaded, "the target refused the request without running it")
	}
	return &targetResponse{Response: resp, choice: c}, nil
}

func (s *Routes) newTargetRequest(ctx context.Context, ex *exchange, c *choice) (*http.Request, error) {
	reader, length, ok := ex.body.reader()
	if !ok {
		return nil, failure.New(failure.Internal, "the body has already been sent")
	}
	address := url.URL{
		Scheme: "http", Host: c.Address.String(),
		Path: ex.r.URL.Path, RawPath: ex.r.URL.RawPath, RawQuery: ex.r.URL.RawQuery,
	}
	out, err := http.NewRequestWithContext(ctx, ex.r.Method, address.String(), reader)
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "the request cannot be forwarded")
	}
	out.ContentLength = length
	out.GetBody = nil
	copyHeaders(out.Header, ex.r.Header)
	return out, nil
}

// recordFailure records a failed attempt for the ejection. Failures caused by the
// caller do not count against the target.
func (s *Routes) recordFailure(c *choice, err error) {
	if failure.Is(err, failure.NoReplica) || failure.Is(err, failure.OutcomeUnknown) {
		if s.config.Ejection.Failed(c.name) {
			s.config.Logger.Warn("target ejected", "target", c.name, "reason", err)
		}
		return
	}
	s.config.Ejection.Abandoned(c.name)
}

// transportError returns the failure for an error of the transport. Its kind
// depends on whether any part of the request may have been sent.
func transportError(ctx context.Context, err error) error {
	var notSent *transport.NotSentError
	sent := !errors.As(err, &notSent)
	var large *http.MaxBytesError
	var refused *failure.Error
	switch {
	case errors.As(err, &refused) && sent:
		return failure.Wrap(failure.TargetFailed, err, "the body was refused after part of it had been sent")
	case errors.As(err, &refused):
		return refused
	case errors.As(err, &large) && sent:
		return failure.Wrap(failure.TargetFailed, err, "the body is larger than %d bytes and has been sent in part", large.Limit)
	case errors.As(err, &large):
		return failure.New(failure.BodyTooLarge, "the body is larger than %d bytes", large.Limit)
	case errors.Is(ctx.Err(), context.Canceled) && sent:
		return failure.Wrap(failure.Canceled, err, "the caller disconnected while the target ran the request")
	case sent:
		return failure.Wrap(failure.OutcomeUnknown, err, "the response of the target was lost")
	case ctx.Err() != nil:
		return failure.Wrap(failure.DeadlineExceeded, err, "the target could not be reached before the deadline")
	}
	return failure.Wrap(failure.NoReplica, err, "the target could not be reached")
}
