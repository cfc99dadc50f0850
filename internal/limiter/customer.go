package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/bucket"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/share"
)

// customer is the limiter's state of one customer.
type customer struct {
	limiter *Limiter
	name    string
	// rowMu is held while the row is read or swapped. It is locked before mu.
	rowMu sync.Mutex

	mu      sync.Mutex
	rate    object.Rate
	share   *share.Share
	waiters []*waiter
	pulling bool
	// holderUnreachable is set when a call to a holder has failed, and makes the
	// next reconciliation read the row.
	holderUnreachable bool
	// backoffUntil is the end of the backoff after a round of pulls that found
	// too few tokens.
	backoffUntil time.Time
}

// waiter is a request in the queue for tokens.
type waiter struct {
	tokens   float64
	deadline time.Time
	// ready receives the result, once. It is buffered, so that sending does not
	// block.
	ready chan result
}

type result struct {
	charge Charge
	err    error
}

func newCustomer(l *Limiter, name string, rate object.Rate) *customer {
	options := append(slices.Clone(l.options), share.WithStandby(func() (share.Holder, bool) { return l.standby(name) }))
	cu := &customer{limiter: l, name: name, share: share.New(l.config.Self, options...)}
	cu.setRate(rate)
	return cu
}

func (cu *customer) now() time.Time { return cu.limiter.config.Clock.Now() }

func (cu *customer) setRate(rate object.Rate) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if rate == cu.rate {
		return
	}
	cu.rate = rate
	cu.share.SetRate(rate.TokensPerSecond, rate.BurstTokens, cu.now())
}

// take charges a request, refuses it, or adds it to the queue and returns its
// waiter.
func (cu *customer) take(tokens float64) (*waiter, Charge, error) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	now := cu.now()
	if tokens > cu.rate.BurstTokens {
		return nil, Charge{}, failure.New(failure.RequestTooCostly, "the request costs %.0f tokens, the burst is %.0f", tokens, cu.rate.BurstTokens)
	}
	cu.share.RecordDemand(tokens, now)
	if len(cu.waiters) == 0 {
		if c, ok := cu.share.Take(tokens, now); ok {
			cu.limiter.metrics.admitted.Add(tokens)
			return nil, Charge{customer: cu, charge: c}, nil
		}
	}
	if now.Before(cu.backoffUntil) && cu.refillTime(tokens, now) > maxWait {
		return nil, Charge{}, cu.refuse(tokens, cu.refillTime(tokens, now))
	}
	w := &waiter{tokens: tokens, deadline: now.Add(maxWait), ready: make(chan result, 1)}
	cu.waiters = append(cu.waiters, w)
	cu.startPulling()
	return w, Charge{}, nil
}

// refillTime returns the time in which the customer's whole rate yields the
// tokens that the queue and one more request of the given cost lack. The mutex
// is held.
func (cu *customer) refillTime(tokens float64, now time.Time) time.Duration {
	deficit := tokens + cu.queuedTokens() - cu.share.Available(now)
	return time.Duration(max(0, deficit) / cu.rate.TokensPerSecond * float64(time.Second))
}

func (cu *customer) queuedTokens() float64 {
	sum := 0.0
	for _, w := range cu.waiters {
		sum += w.tokens
	}
	return sum
}

// refuse counts a refused request and returns its error. wait is the time until
// its tokens will be available. The mutex is held.
func (cu *customer) refuse(tokens float64, wait time.Duration) error {
	cu.limiter.metrics.refused.Add(tokens)
	if version, _ := cu.share.Version(); version == 0 {
		return failure.New(failure.StoreUnavailable, "the share row of customer %s cannot be read", cu.name)
	}
	return failure.New(failure.RateExceeded, "the rate limit of customer %s is exhausted", cu.name).
		WithRetryAfter(max(minRetryAfter, wait))
}

// wait waits for the result of a request in the queue, up to maxWait.
func (cu *customer) wait(ctx context.Context, w *waiter) (Charge, error) {
	timer := cu.limiter.config.Clock.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case r := <-w.ready:
		return r.charge, r.err
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return cu.cancelWait(ctx, w)
}

// cancelWait removes a request from the queue and refuses it, or returns its
// result if it already has one.
func (cu *customer) cancelWait(ctx context.Context, w *waiter) (Charge, error) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	i := slices.Index(cu.waiters, w)
	if i < 0 {
		r := <-w.ready
		return r.charge, r.err
	}
	cu.waiters = slices.Delete(cu.waiters, i, i+1)
	if ctx.Err() != nil {
		return Charge{}, failure.New(failure.Canceled, "the request was canceled while it waited for tokens")
	}
	return Charge{}, cu.refuse(w.tokens, cu.refillTime(w.tokens, cu.now()))
}

// admit charges the requests in the queue in order and returns how many tokens
// the remaining ones lack.
func (cu *customer) admit() (deficit float64) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	now := cu.now()
	for len(cu.waiters) > 0 {
		w := cu.waiters[0]
		if cu.limiter.config.CheckAdmission() != nil {
			break
		}
		c, ok := cu.share.Take(w.tokens, now)
		if !ok {
			break
		}
		cu.waiters = cu.waiters[1:]
		cu.limiter.metrics.admitted.Add(w.tokens)
		w.ready <- result{charge: Charge{customer: cu, charge: c}}
	}
	if len(cu.waiters) == 0 {
		return 0
	}
	return max(0, cu.queuedTokens()-cu.share.Available(now))
}

// refuseUnservable refuses the requests in the queue whose tokens cannot be
// available by their deadline even at the customer's whole rate, and starts a
// backoff.
func (cu *customer) refuseUnservable() {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	now := cu.now()
	ahead := -cu.share.Available(now)
	cu.waiters = slices.DeleteFunc(cu.waiters, func(w *waiter) bool {
		needed := time.Duration((ahead + w.tokens) / cu.rate.TokensPerSecond * float64(time.Second))
		if now.Add(needed).After(w.deadline) {
			w.ready <- result{err: cu.refuse(w.tokens, needed)}
			return true
		}
		ahead += w.tokens
		return false
	})
	cu.backoffUntil = now.Add(pullBackoff)
}

func (cu *customer) settle(c bucket.Charge, used float64) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.share.Settle(c, used, cu.now())
}

func (cu *customer) state() share.State {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	return cu.share.State(cu.now())
}
