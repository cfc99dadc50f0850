// Package claim implements at-most-once execution of requests with a request id.
// Before the first byte is sent to a target, a gateway inserts a claim row into
// the table; only the gateway that inserted the row may dispatch the request. A
// repeated request waits for the recorded answer.
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

	firstPollInterval = 20 * time.Millisecond
	maxPollInterval   = 500 * time.Millisecond
	pollGrowth        = 1.6
	// skewMargin allows for the difference between the clocks of the holder and of
	// this process.
	skewMargin = 2 * time.Second
	// recordTimeout is the maximum time for which an answer is delayed until it is
	// recorded.
	recordTimeout = 2 * time.Second
	// retryInterval and retryTimeout apply to background writes of an outcome.
	retryInterval = time.Second
	retryTimeout  = 10 * time.Minute
	// maxBackground is the maximum number of background writes.
	maxBackground = 1024
)

// Holder is the member that holds a claim.
type Holder struct {
	// Name is the name of the member; Incarnation is unique to its process.
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

// Request identifies a request to be claimed.
type Request struct {
	// Customer is the owner of ID.
	Customer string
	// ID is the request id from the caller.
	ID string
	// Digest is the digest of the method, the path and the body.
	Digest string
	// Hold is the time after the claim by which the holder has either recorded an
	// outcome or failed.
	Hold time.Duration
}

// Claims makes and resolves claims for one gateway. It is safe for concurrent
// use.
type Claims struct {
	table     table.Table
	clock     clockwork.Clock
	logger    hclog.Logger
	self      Holder
	hasEnded  func(Holder) bool
	gateways  func() int
	window    time.Duration
	retention time.Duration
	batcher   *batcher
	done      chan struct{}

	results *prometheus.CounterVec

	mu         sync.Mutex
	flights    map[string]*flight
	background int
	writers    conc.WaitGroup
}

// Option configures Claims.
type Option func(*Claims)

// WithDispatchWindow sets the maximum time from the claim to the first byte. The
// default is 5 seconds.
func WithDispatchWindow(d time.Duration) Option { return func(c *Claims) { c.window = d } }

// WithRetention sets the time for which rows are kept. The default is 24 hours.
func WithRetention(d time.Duration) Option { return func(c *Claims) { c.retention = d } }

// WithWritesPerSecond sets the maximum number of transactions per second. The
// default is 50.
func WithWritesPerSecond(n float64) Option {
	return func(c *Claims) { c.batcher.interval = time.Duration(float64(time.Second) / n) }
}

// WithMembers sets two functions: hasEnded reports whether the process of a
// holder has certainly ended, and gateways returns the number of gateways that
// share the removal of old rows.
func WithMembers(hasEnded func(Holder) bool, gateways func() int) Option {
	return func(c *Claims) {
		c.hasEnded = hasEnded
		c.gateways = gateways
	}
}

// New returns Claims for the member self.
func New(t table.Table, self Holder, clock clockwork.Clock, logger hclog.Logger, opts ...Option) *Claims {
	c := &Claims{
		table:     t,
		clock:     clock,
		logger:    logger,
		self:      self,
		hasEnded:  func(Holder) bool { return false },
		gateways:  func() int { return 1 },
		window:    defaultDispatchWindow,
		retention: defaultRetention,
		batcher:   &batcher{table: t, clock: clock, interval: time.Second / defaultWritesPerSecond, maxWrites: maxBatchWrites},
		done:      make(chan struct{}),
		flights:   map[string]*flight{},
		results:   newResults(),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// flight is a request that is being claimed or run by this process.
type flight struct {
	digest string
	done   chan struct{}
	// answer and err may be read after done is closed. Both are nil if another
	// attempt may claim the request.
	answer *recording.Answer
	err    error
}

// Claim claims r. If the claim succeeds, the caller must end it with Answered,
// Unknown or Release. For a repeated request, it returns the recorded answer
// instead. It fails with RequestIDReused, OutcomeUnknown, AnswerNotKept, or
// StoreUnavailable; after StoreUnavailable, this process never dispatches the
// request.
func (c *Claims) Claim(ctx context.Context, r *Request) (*Claim, *recording.Answer, error) {
	claim, answer, err := c.claim(ctx, r)
	c.count(claim, err)
	return claim, answer, err
}

func (c *Claims) claim(ctx context.Context, r *Request) (*Claim, *recording.Answer, error) {
	key := rowKey(r.Customer, r.ID)
	for {
		f, started := c.joinFlight(key, r.Digest)
		if started {
			claim, answer, err := c.insert(ctx, key, r, f)
			if claim != nil || answer != nil || err != nil {
				return claim, answer, err
			}
			continue
		}
		if f.digest != r.Digest {
			return nil, nil, requestIDReused()
		}
		select {
		case <-f.done:
		case <-ctx.Done():
			return nil, nil, waitCanceled(ctx)
		}
		if f.answer != nil || f.err != nil {
			return nil, f.answer, f.err
		}
	}
}

// joinFlight returns the flight of key, and whether this call started it.
func (c *Claims) joinFlight(key, digest string) (f *flight, started bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f, ok := c.flights[key]; ok {
		return f, false
	}
	f = &flight{digest: digest, done: make(chan struct{})}
	c.flights[key] = f
	return f, true
}

// endFlight ends the flight of key and wakes the calls that wait for it.
func (c *Claims) endFlight(key string, f *flight, answer *recording.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f.answer = answer
	f.err = err
	delete(c.flights, key)
	close(f.done)
}

// insert writes the claim row. All results are nil if the row of another holder
// was removed while insert waited for its outcome: that request did not run.
func (c *Claims) insert(ctx context.Context, key string, r *Request, f *flight) (*Claim, *recording.Answer, error) {
	startedAt := c.clock.Now()
	claim := &Claim{claims: c, key: key, flight: f, startedAt: startedAt, window: min(c.window, r.Hold), content: content{
		Customer: r.Customer, Digest: r.Digest, Holder: c.self, ClaimID: uuid.NewString(),
		ClaimedAt: startedAt, Hold: r.Hold, State: stateClaimed,
	}}
	value, err := claim.content.encode()
	if err != nil {
		c.endFlight(key, f, nil, nil)
		return nil, nil, err
	}
	result := c.batcher.write(table.Write{Key: key, Value: value})
	select {
	case o := <-result:
		return c.inserted(ctx, claim, r, o)
	case <-ctx.Done():
		c.endFlight(key, f, nil, nil)
		c.runInBackground(func() { claim.retract(<-result) })
		return nil, nil, waitCanceled(ctx)
	}
}

func (c *Claims) inserted(ctx context.Context, claim *Claim, r *Request, o outcome) (*Claim, *recording.Answer, error) {
	switch {
	case o.err == nil:
		claim.version = o.version
		return claim, nil, nil
	case failure.Is(o.err, failure.Conflict):
		answer, err := c.await(ctx, claim.key, r)
		c.endFlight(claim.key, claim.flight, answer, sharedError(err))
		return nil, answer, err
	}
	c.endFlight(claim.key, claim.flight, nil, nil)
	if !failure.Is(o.err, failure.StoreUnavailable) {
		c.runInBackground(func() { claim.retract(o) })
	}
	return nil, nil, failure.Wrap(failure.StoreUnavailable, o.err, "the request could not be claimed")
}

// sharedError returns err if it also applies to the other waiting repeats, and
// nil if it concerns one caller only.
func sharedError(err error) error {
	if failure.Is(err, failure.OutcomeUnknown) || failure.Is(err, failure.AnswerNotKept) {
		return err
	}
	return nil
}

// await polls the row of another holder until it has an outcome. Both results are
// nil if the row was removed.
func (c *Claims) await(ctx context.Context, key string, r *Request) (*recording.Answer, error) {
	interval := firstPollInterval
	for {
		row, err := c.table.Get(ctx, key)
		switch {
		case err != nil && ctx.Err() != nil:
			return nil, waitCanceled(ctx)
		case err != nil:
			c.logger.Debug("could not read a claim", "error", err)
		case row.Version == 0:
			return nil, nil
		default:
			answer, settled, err := c.outcome(row, r)
			if settled {
				return answer, err
			}
		}
		select {
		case <-c.clock.After(jitter(interval)):
		case <-ctx.Done():
			return nil, waitCanceled(ctx)
		}
		interval = min(time.Duration(float64(interval)*pollGrowth), maxPollInterval)
	}
}

// outcome returns the result of a row for a repeated request. settled is false
// while the holder may still record an outcome.
func (c *Claims) outcome(row table.Row, r *Request) (answer *recording.Answer, settled bool, err error) {
	recorded, err := decode(row)
	if err != nil {
		return nil, true, err
	}
	switch {
	case recorded.Digest != r.Digest:
		return nil, true, requestIDReused()
	case recorded.State == stateAnswered && recorded.Answer.Omitted:
		return nil, true, answerNotKept(recorded.Answer.Status)
	case recorded.State == stateAnswered:
		return recorded.Answer, true, nil
	case recorded.State == stateUnknown:
		return nil, true, outcomeUnknown("the first request with this id may have run")
	case c.hasEnded(recorded.Holder):
		return nil, true, outcomeUnknown("the gateway that ran the request has ended")
	case c.clock.Since(recorded.ClaimedAt) > recorded.Hold+skewMargin:
		return nil, true, outcomeUnknown("the gateway that ran the request recorded no outcome")
	}
	return nil, false, nil
}

func requestIDReused() error {
	return failure.New(failure.RequestIDReused, "the Idempotency-Key was used for another request")
}

func outcomeUnknown(message string) error { return failure.New(failure.OutcomeUnknown, "%s", message) }

func answerNotKept(status int) error {
	return failure.New(failure.AnswerNotKept, "the request ran and was answered with status %d; the answer was too large to keep", status)
}

// waitCanceled returns the error of a request whose context ended while it waited.
// The first request with the id may have run.
func waitCanceled(ctx context.Context) error {
	return failure.Wrap(failure.OutcomeUnknown, ctx.Err(), "the first request with this id has no outcome yet")
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// runInBackground runs f in a new goroutine. Beyond maxBackground, it drops f; the
// row then stays in stateClaimed, so that repeats receive OutcomeUnknown.
func (c *Claims) runInBackground(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.background >= maxBackground {
		c.logger.Warn("too many outcomes are waiting for the store; dropped one")
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
