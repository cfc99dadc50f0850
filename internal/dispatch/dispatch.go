// Package dispatch runs admitted generations at engines: it makes attempts,
// resumes broken streams at their offset, and gives each token to the caller
// once.
package dispatch

import (
	"context"
	"net/netip"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/request"
	"fireflypier.example/fireflypier/internal/schedule"
)

// maxAttempts bounds the attempts of one request that make no progress.
const maxAttempts = 4

// Engines starts generations; engine.Client implements it.
type Engines interface {
	// Generate starts an attempt; see engine.Client.
	Generate(ctx context.Context, addr netip.AddrPort, req *engine.GenerateRequest) (*engine.Stream, error)
}

// Sink receives an answer. Its errors mean that the caller has left.
type Sink interface {
	// Token receives the next token.
	Token(text string) error
	// Finish receives the end of the answer.
	Finish(reason string, usage engine.Usage) error
}

// Dispatch runs generations. Its methods may be called at the same time.
type Dispatch struct {
	engines  Engines
	schedule *schedule.Schedule
	logger   hclog.Logger
}

// New returns a dispatch that takes places from s.
func New(engines Engines, s *schedule.Schedule, logger hclog.Logger) *Dispatch {
	return &Dispatch{engines: engines, schedule: s, logger: logger}
}

// progress is how far an answer has come.
type progress struct {
	offset  int
	exclude []string
}

// Generate runs r and gives its answer to sink. It returns the number of
// tokens delivered. An error after the first token means that the answer is
// incomplete; before it, the error's answer tells whether the request ran.
func (d *Dispatch) Generate(ctx context.Context, r *request.Request, sink Sink) (int, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	p := &progress{}
	var err error
	for attempt := 0; attempt < maxAttempts; attempt++ {
		before := p.offset
		var done bool
		done, err = d.attempt(ctx, r, p, sink)
		if done {
			return p.offset, err
		}
		if p.offset > before {
			attempt = 0
			p.exclude = nil
		}
	}
	return p.offset, err
}

// attempt makes one attempt. done is false when another attempt may follow.
func (d *Dispatch) attempt(ctx context.Context, r *request.Request, p *progress, sink Sink) (done bool, err error) {
	place, err := d.schedule.Acquire(ctx, r, p.exclude)
	if err != nil {
		return true, err
	}
	defer place.Release()
	if err := r.Ticket.Check(); err != nil {
		return true, err
	}
	before := p.offset
	defer func() { place.Served(p.offset - before) }()
	req := generateRequest(r, place.Version, p.offset)
	logger := d.logger.With("request_id", r.ID, "attempt_id", req.AttemptID, "target", place.Target)
	stream, err := d.engines.Generate(ctx, place.Address, req)
	if err != nil {
		logger.Info("attempt not begun", "reason", err)
		p.exclude = append(p.exclude, place.Target)
		return failure.Is(err, failure.BadRequest) || ctx.Err() != nil, err
	}
	defer func() { _ = stream.Close() }()
	done, err = d.relay(stream, p, &startSink{Sink: sink, place: place})
	if err != nil {
		logger.Info("attempt ended early", "reason", err, "offset", p.offset)
	}
	return done || ctx.Err() != nil, err
}

func generateRequest(r *request.Request, version string, offset int) *engine.GenerateRequest {
	return &engine.GenerateRequest{
		AttemptID: uuid.NewString(),
		Model:     r.Weights.Model,
		Version:   version,
		Adapter:   r.Weights.Adapter,
		Prompt:    r.Prompt,
		Sampling:  r.Sampling,
		MaxTokens: r.MaxTokens,
		Offset:    offset,
		Priority:  r.Priority(),
	}
}

// relay copies frames to the sink. done is false when the stream broke and
// can be resumed.
func (d *Dispatch) relay(stream *engine.Stream, p *progress, sink Sink) (done bool, err error) {
	var f engine.Frame
	for {
		if err := stream.Next(&f); err != nil {
			return false, err
		}
		switch {
		case f.Done && f.Offset == p.offset:
			return true, sink.Finish(f.FinishReason, f.Usage)
		case f.Offset < p.offset:
			continue
		case f.Offset > p.offset || f.Done:
			return false, failure.New(failure.TargetFailed, "the engine skipped tokens %d to %d", p.offset, f.Offset)
		}
		if err := sink.Token(f.Text); err != nil {
			return true, failure.Wrap(failure.Canceled, err, "the caller left")
		}
		p.offset++
	}
}
