// Package dispatch runs admitted generations at engines: it makes attempts,
// resumes broken streams at their offset, and gives each token to the caller
// once.
package dispatch

import (
	"context"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/ejection"
	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/request"
	"fireflypier.example/fireflypier/internal/retry"
	"fireflypier.example/fireflypier/internal/scheduler"
)

const (
	// maxAttempts bounds the attempts of one request that make no progress.
	maxAttempts = 4
	// excludeWait is how long a request waits for an engine that it has not
	// tried and that is not ejected, before it takes any.
	excludeWait = 250 * time.Millisecond
	// cancelTimeout bounds the message that ends an attempt at its engine.
	cancelTimeout = 2 * time.Second
)

// EngineClient runs generations; engine.Client implements it.
type EngineClient interface {
	// Generate starts an attempt; see engine.Client.
	Generate(ctx context.Context, addr netip.AddrPort, req *engine.GenerateRequest) (*engine.Stream, error)
	// Cancel ends an attempt.
	Cancel(ctx context.Context, addr netip.AddrPort, attemptID string) error
}

// Sink receives an answer. Its errors mean that the caller has left.
type Sink interface {
	// Token receives the next token. The sink may keep it until Flush.
	Token(text string) error
	// Flush sends the tokens that were kept; it is called before each wait.
	Flush() error
	// Finish receives the end of the answer.
	Finish(reason string, usage engine.Usage) error
}

// Dispatcher runs generations. Its methods may be called at the same time.
type Dispatcher struct {
	engines   EngineClient
	scheduler *scheduler.Scheduler
	logger    hclog.Logger
	clock     clockwork.Clock
	budget    *retry.Budget
	ejection  *ejection.Ejection
	counters  *counters
}

// Option changes a Dispatch under construction.
type Option func(*Dispatcher)

// WithClock replaces the real clock.
func WithClock(c clockwork.Clock) Option { return func(d *Dispatcher) { d.clock = c } }

// WithRetries shares a budget and the ejected targets with others.
func WithRetries(b *retry.Budget, e *ejection.Ejection) Option {
	return func(d *Dispatcher) {
		d.budget = b
		d.ejection = e
	}
}

// WithMetrics registers the metrics of d.
func WithMetrics(r prometheus.Registerer) Option {
	return func(d *Dispatcher) { d.counters.register(r) }
}

// New returns a dispatch that takes places from s.
func New(engines EngineClient, s *scheduler.Scheduler, logger hclog.Logger, opts ...Option) *Dispatcher {
	clock := clockwork.NewRealClock()
	d := &Dispatcher{
		engines: engines, scheduler: s, logger: logger, clock: clock,
		budget: retry.NewBudget(clock), ejection: ejection.New(clock), counters: newCounters(),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// progress is how far an answer has come.
type progress struct {
	offset int
	// version is the model's version that gave the tokens; an answer never
	// mixes versions.
	version string
	// tried are the engines that failed since the last token.
	tried []string
	// mayHaveRun is true once an attempt may have run at an engine.
	mayHaveRun bool
}

// Generate runs r and gives its answer to sink. It returns the number of
// tokens delivered. An error after the first token means that the answer is
// incomplete. An error whose answer says "not run" is certain of every
// attempt. A request that is not repeatable is tried again only after
// attempts that certainly did not run.
func (d *Dispatcher) Generate(ctx context.Context, r *request.Request, sink Sink) (int, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	d.budget.Request(r.Weights.Pool)
	p := &progress{}
	for failures := 0; ; {
		before := p.offset
		err := d.attempt(ctx, r, p, sink)
		if err == nil {
			return p.offset, nil
		}
		progressed := p.offset > before
		if progressed {
			failures = 0
			p.tried = p.tried[max(0, len(p.tried)-1):]
			d.counters.resumed.Inc()
		}
		failures++
		if !d.mayRetry(ctx, r, p, err, failures, progressed) {
			return p.offset, certain(ctx, err, p)
		}
		d.pause(ctx, d.budget.Pause(failures))
	}
}

// mayRetry reports whether another attempt may follow.
func (d *Dispatcher) mayRetry(ctx context.Context, r *request.Request, p *progress, err error, failures int, progressed bool) bool {
	var final *finalError
	switch {
	case errors.As(err, &final), ctx.Err() != nil, failures >= maxAttempts:
		return false
	case r.NotRepeatable && p.mayHaveRun:
		return false
	}
	return progressed || d.budget.Take(r.Weights.Pool)
}

// certain takes "not run" back where an attempt may have run.
func certain(ctx context.Context, err error, p *progress) error {
	var final *finalError
	if errors.As(err, &final) {
		err = final.cause
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && p.mayHaveRun:
		return failure.Wrap(failure.Canceled, err, "the caller left")
	case p.offset > 0 && failure.From(err).Kind != failure.Canceled:
		return failure.Wrap(failure.TargetFailed, err, "the answer broke off after %d tokens", p.offset)
	case p.mayHaveRun && failure.From(err).Answer().NotRun:
		return failure.Wrap(failure.OutcomeUnknown, err, "an attempt may have run")
	case failure.Is(err, failure.TargetFailed) && !p.mayHaveRun:
		return failure.Wrap(failure.NoReplica, err, "no engine could be reached")
	}
	return err
}

func (d *Dispatcher) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-d.clock.After(wait):
	case <-ctx.Done():
	}
}

// finalError marks an error after which no other attempt follows.
type finalError struct{ cause error }

// Error returns the text of the cause.
func (e *finalError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *finalError) Unwrap() error { return e.cause }
