// Package claim makes requests that must not be repeated run at most once: a
// claim row is inserted into the table before the first byte goes to a
// target, and whoever inserted it alone may dispatch the request. A repeat
// waits for the recorded answer.
package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/recording"
	"fireflypier.example/fireflypier/internal/table"
)

const (
	defaultDispatchWindow  = 5 * time.Second
	defaultWritesPerSecond = 50
	defaultRetention       = 24 * time.Hour

	firstPoll   = 20 * time.Millisecond
	longestPoll = 500 * time.Millisecond
	pollGrowth  = 1.6
	// skewMargin is added to a holder's time, which comes from another clock.
	skewMargin = 2 * time.Second
	// answerWait bounds the time for which an answer is held back until it is
	// recorded.
	answerWait = 2 * time.Second
	// retryPause and retryLimit bound the background writes of an outcome.
	retryPause = time.Second
	retryLimit = 10 * time.Minute
	// maxBackground bounds the outcomes that wait for the store.
	maxBackground = 1024
)

// Holder is the member that holds a claim.
type Holder struct {
	// Name is the member's name, Incarnation its start.
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// Request names what is to be claimed.
type Request struct {
	// Customer owns the id.
	Customer string
	// ID is the caller's request id.
	ID string
	// Digest is that of the method, the path and the body.
	Digest string
	// Hold is the time after which the holder has recorded an outcome or died.
	Hold time.Duration
}

// Claims is a gateway's part in the claims of the fleet. Its methods may be
// called at the same time.
type Claims struct {
	table  table.Table
	clock  clockwork.Clock
	logger hclog.Logger
	self   Holder
	gone   func(Holder) bool
	fleet  func() int
	window time.Duration
	retain time.Duration
	group  *group
	done   chan struct{}

	results *prometheus.CounterVec

	mu         sync.Mutex
	flights    map[string]*flight
	background int
	writers    conc.WaitGroup
}

// Option changes Claims under construction.
type Option func(*Claims)

// WithDispatchWindow bounds the time from the claim to the first byte; the
// default is five seconds.
func WithDispatchWindow(d time.Duration) Option { return func(c *Claims) { c.window = d } }

// WithRetention keeps rows for d; the default is a day.
func WithRetention(d time.Duration) Option { return func(c *Claims) { c.retain = d } }

// WithWritesPerSecond bounds the transactions a second; the default is 50.
func WithWritesPerSecond(n float64) Option {
	return func(c *Claims) { c.group.interval = time.Duration(float64(time.Second) / n) }
}

// WithMembers tells which holders have certainly ended and how many gateways
// share the removal of old rows.
func WithMembers(gone func(Holder) bool, fleet func() int) Option {
	return func(c *Claims) {
		c.gone = gone
		c.fleet = fleet
	}
}

// New returns the claims of the member self.
func New(t table.Table, self Holder, clock clockwork.Clock, logger hclog.Logger, opts ...Option) *Claims {
	c := &Claims{
		table:   t,
		clock:   clock,
		logger:  logger,
		self:    self,
		gone:    func(Holder) bool { return false },
		fleet:   func() int { return 1 },
		window:  defaultDispatchWindow,
		retain:  defaultRetention,
		group:   &group{table: t, clock: clock, interval: time.Second / defaultWritesPerSecond, most: maxGroupWrites},
		done:    make(chan struct{}),
		flights: map[string]*flight{},
		results: newResults(),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// flight is a claim held by this process.
type flight struct {
	digest string
	done   chan struct{}
	// answer and err are set when done is closed; neither is set when the
	// request did not run.
	answer *recording.Answer
	err    error
}

// Claim claims r. The winner receives a claim and must end it with Answered,
// Unknown or Release. A repeat receives the recorded answer. The errors are
// RequestIDReused, OutcomeUnknown, AnswerNotKept and Canceled, and
// StoreUnavailable, after which this process never dispatches the request.
func (c *Claims) Claim(ctx context.Context, r *Request) (*Claim, *recording.Answer, error) {
	claim, answer, err := c.claim(ctx, r)
	c.count(claim, err)
	return claim, answer, err
}

func (c *Claims) claim(ctx context.Context, r *Request) (*Claim, *recording.Answer, error) {
	key := rowKey(r.Customer, r.ID)
	for {
		f, mine := c.enter(key, r.Digest)
		if mine {
			claim, answer, err := c.insert(ctx, key, r, f)
			if claim != nil || answer != nil || err != nil {
				return claim, answer, err
			}
			continue
		}
		if f.digest != r.Digest {
			return nil, nil, reused()
		}
		select {
		case <-f.done:
		case <-ctx.Done():
			return nil, nil, waitEnded(ctx)
		}
		if f.answer != nil || f.err != nil {
			return nil, f.answer, f.err
		}
	}
}

// enter returns the flight of key, and whether the caller began it.
func (c *Claims) enter(key, digest string) (f *flight, mine bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f, ok := c.flights[key]; ok {
		return f, false
	}
	f = &flight{digest: digest, done: make(chan struct{})}
	c.flights[key] = f
	return f, true
}

// leave ends the flight of key for those who wait for it.
func (c *Claims) leave(key string, f *flight, answer *recording.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f.answer = answer
	f.err = err
	delete(c.flights, key)
	close(f.done)
}

// insert writes the claim row. It returns nothing at all when the row of
// another holder vanished while it was waited for: that request did not run.
func (c *Claims) insert(ctx context.Context, key string, r *Request, f *flight) (*Claim, *recording.Answer, error) {
	begun := c.clock.Now()
	claim := &Claim{claims: c, key: key, flight: f, begun: begun, window: min(c.window, r.Hold), content: content{
		Customer: r.Customer, Digest: r.Digest, Holder: c.self, ClaimID: uuid.NewString(),
		ClaimedAt: begun, Hold: r.Hold, State: stateClaimed,
	}}
	value, err := claim.content.encode()
	if err != nil {
		c.leave(key, f, nil, nil)
		return nil, nil, err
	}
	result := c.group.write(table.Write{Key: key, Value: value})
	select {
	case o := <-result:
		return c.inserted(ctx, claim, r, o)
	case <-ctx.Done():
		c.leave(key, f, nil, nil)
		c.later(func() { claim.retract(<-result) })
		return nil, nil, waitEnded(ctx)
	}
}

func (c *Claims) inserted(ctx context.Context, claim *Claim, r *Request, o outcome) (*Claim, *recording.Answer, error) {
	switch {
	case o.err == nil:
		claim.version = o.version
		return claim, nil, nil
	case failure.Is(o.err, failure.Conflict):
		answer, err := c.await(ctx, claim.key, r)
		c.leave(claim.key, claim.flight, answer, shared(err))
		return nil, answer, err
	}
	c.leave(claim.key, claim.flight, nil, nil)
	if !failure.Is(o.err, failure.StoreUnavailable) {
		c.later(func() { claim.retract(o) })
	}
	return nil, nil, failure.Wrap(failure.StoreUnavailable, o.err, "the request could not be claimed")
}

// shared keeps from other repeats what concerns one caller only.
func shared(err error) error {
	if failure.Is(err, failure.OutcomeUnknown) || failure.Is(err, failure.AnswerNotKept) {
		return err
	}
	return nil
}

// await polls the row of another holder until it has an outcome. It returns
// neither answer nor error when the row vanished.
func (c *Claims) await(ctx context.Context, key string, r *Request) (*recording.Answer, error) {
	pause := firstPoll
	for {
		row, err := c.table.Get(ctx, key)
		switch {
		case err != nil && ctx.Err() != nil:
			return nil, waitEnded(ctx)
		case err != nil:
			c.logger.Debug("claim not read", "error", err)
		case row.Version == 0:
			return nil, nil
		default:
			answer, settled, err := c.outcome(row, r)
			if settled {
				return answer, err
			}
		}
		select {
		case <-c.clock.After(jitter(pause)):
		case <-ctx.Done():
			return nil, waitEnded(ctx)
		}
		pause = min(time.Duration(float64(pause)*pollGrowth), longestPoll)
	}
}

// outcome reads what a row tells a repeat; settled is false while the holder
// may still record an outcome.
func (c *Claims) outcome(row table.Row, r *Request) (answer *recording.Answer, settled bool, err error) {
	held, err := decode(row)
	if err != nil {
		return nil, true, err
	}
	switch {
	case held.Digest != r.Digest:
		return nil, true, reused()
	case held.State == stateAnswered && held.Answer.Omitted:
		return nil, true, notKept(held.Answer.Status)
	case held.State == stateAnswered:
		return held.Answer, true, nil
	case held.State == stateUnknown:
		return nil, true, unknown("the first request with this id may have run")
	case c.gone(held.Holder):
		return nil, true, unknown("the gateway that ran the request has ended")
	case c.clock.Since(held.ClaimedAt) > held.Hold+skewMargin:
		return nil, true, unknown("the gateway that ran the request recorded no outcome")
	}
	return nil, false, nil
}

func reused() error {
	return failure.New(failure.RequestIDReused, "the Idempotency-Key belongs to another request")
}

func unknown(message string) error { return failure.New(failure.OutcomeUnknown, "%s", message) }

func notKept(status int) error {
	return failure.New(failure.AnswerNotKept, "the request ran and was answered with status %d; the answer was too large to keep", status)
}

// waitEnded tells a repeat whose time ran out that the first may have run.
func waitEnded(ctx context.Context) error {
	return failure.Wrap(failure.OutcomeUnknown, ctx.Err(), "the first request with this id has no outcome yet")
}

// jitter returns a duration between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// later runs f in the background. Above the bound it is left out, and the
// row keeps its last state, which says no more than is certain.
func (c *Claims) later(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.background >= maxBackground {
		c.logger.Warn("too many outcomes wait for the store; one is not recorded")
		return
	}
	c.background++
	c.writers.Go(func() {
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.background--
		}()
		f()
	})
}
