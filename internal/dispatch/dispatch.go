// Package dispatch runs admitted generations on engines. It retries failed
// attempts, resumes interrupted streams at their offset, and delivers each token
// to the caller once.
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
	// maxAttempts bounds the consecutive attempts of one request that deliver no
	// token.
	maxAttempts = 4
	// exclusionTimeout is the time for which a request waits for an engine that
	// is not ejected and on which it has not failed, before it accepts any engine.
	exclusionTimeout = 250 * time.Millisecond
	// cancelTimeout bounds the call that cancels an attempt at its engine.
	cancelTimeout = 2 * time.Second
)

// EngineClient runs generations on engines; engine.Client implements it.
type EngineClient interface {
	// Generate starts an attempt. For its errors, see engine.Client.
	Generate(ctx context.Context, addr netip.AddrPort, req *engine.GenerateRequest) (*engine.Stream, error)
	// Cancel cancels an attempt. An unknown attempt is no error.
	Cancel(ctx context.Context, addr netip.AddrPort, attemptID string) error
}

// Sink receives an answer. Any error means that the caller has disconnected.
type Sink interface {
	// Token adds the next token. The sink may buffer it until Flush.
	Token(text string) error
	// Flush sends the buffered tokens. It is called before each wait for the
	// engine.
	Flush() error
	// Finish ends the answer and sends what is still buffered.
	Finish(reason string, usage engine.Usage) error
}

// Dispatcher runs generations. It is safe for concurrent use.
type Dispatcher struct {
	engines   EngineClient
	scheduler *scheduler.Scheduler
	logger    hclog.Logger
	clock     clockwork.Clock
	budget    *retry.Budget
	ejection  *ejection.Ejection
	counters  *counters
}

// Option configures a Dispatcher in New.
type Option func(*Dispatcher)

// WithClock replaces the system clock, for tests.
func WithClock(c clockwork.Clock) Option { return func(d *Dispatcher) { d.clock = c } }

// WithRetries sets the retry budget and the ejection, to share them with plain
// routes. By default, a Dispatcher has its own.
func WithRetries(b *retry.Budget, e *ejection.Ejection) Option {
	return func(d *Dispatcher) {
		d.budget = b
		d.ejection = e
	}
}

// WithMetrics registers the metrics of the Dispatcher in r.
func WithMetrics(r prometheus.Registerer) Option {
	return func(d *Dispatcher) { d.counters.register(r) }
}

// New returns a Dispatcher that acquires engine slots from s.
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

// progress is the state of an answer across attempts.
type progress struct {
	offset int
	// version is the model version of the last attempt. All tokens of an answer
	// come from one version.
	version string
	// tried holds the engines that failed since the last token.
	tried []string
	// mayHaveRun is true once an attempt may have run on an engine.
	mayHaveRun bool
}

// Generate runs r, writes the answer to sink and returns the number of delivered
// tokens. An error after the first token means that the answer is incomplete. If
// the kind of the error is marked "not run", certainly no attempt has run. A
// request that is not repeatable is retried only after attempts that certainly
// did not run.
func (d *Dispatcher) Generate(ctx context.Context, r *request.Request, sink Sink) (int, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	d.budget.RecordRequest(r.Weights.Pool)
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
			return p.offset, resolveOutcome(ctx, err, p)
		}
		d.pause(ctx, d.budget.Backoff(failures))
	}
}

// mayRetry reports whether another attempt is allowed after err. An attempt that
// delivered tokens does not use the retry budget.
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

// resolveOutcome returns the error for the caller. It replaces an error that is
// marked "not run" if any attempt may have run.
func resolveOutcome(ctx context.Context, err error, p *progress) error {
	var final *finalError
	if errors.As(err, &final) {
		err = final.cause
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && p.mayHaveRun:
		return failure.Wrap(failure.Canceled, err, "the caller disconnected")
	case p.offset > 0 && failure.From(err).Kind != failure.Canceled:
		return failure.Wrap(failure.TargetFailed, err, "the answer was interrupted after %d tokens", p.offset)
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

// finalError marks an error that must not be followed by another attempt.
type finalError struct{ cause error }

// Error returns the message of the cause.
func (e *finalError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *finalError) Unwrap() error { return e.cause }
