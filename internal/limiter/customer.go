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

// customer is what the limiter keeps of one customer.
type customer struct {
	limiter *Limiter
	name    string
	// swapping is held while a row is read or swapped.
	swapping sync.Mutex

	mu      sync.Mutex
	rate    object.Rate
	share   *share.Share
	waiters []*waiter
	pulling bool
	// lost is set when a holder could not be reached.
	lost bool
	// dryUntil is until when peers are not asked again.
	dryUntil time.Time
}

// waiter is a request that waits for tokens.
type waiter struct {
	tokens   float64
	deadline time.Time
	// ready receives the result once; its buffer holds it.
	ready chan result
}

type result struct {
	charge Charge
	err    error
}

func newCustomer(l *Limiter, name string, rate object.Rate) *customer {
	options := append(slices.Clone(l.options), share.WithStandby(func() (share.Holder, bool) { return l.reserve(name) }))
	cu := &customer{limiter: l, name: name, share: share.New(l.parts.Self, options...)}
	cu.setRate(rate)
	return cu
}

func (cu *customer) now() time.Time { return cu.limiter.parts.Clock.Now() }

func (cu *customer) setRate(rate object.Rate) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if rate == cu.rate {
		return
	}
	cu.rate = rate
	cu.share.SetRate(rate.TokensPerSecond, rate.BurstTokens, cu.now())
}

// take charges a request now, refuses it, or returns its place in the queue.
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
			cu.limiter.counts.admitted.Add(tokens)
			return nil, Charge{customer: cu, charge: c}, nil
		}
	}
	if now.Before(cu.dryUntil) && cu.missing(tokens, now) > maxWait {
		return nil, Charge{}, cu.refuse(tokens, cu.missing(tokens, now))
	}
	w := &waiter{tokens: tokens, deadline: now.Add(maxWait), ready: make(chan result, 1)}
	cu.waiters = append(cu.waiters, w)
	cu.startPulling()
	return w, Charge{}, nil
}

// missing returns the time in which the customer's whole rate yields what
// the waiting requests and one of the given cost lack.
func (cu *customer) missing(tokens float64, now time.Time) time.Duration {
	lack := tokens + cu.queued() - cu.share.Available(now)
	return time.Duration(max(0, lack) / cu.rate.TokensPerSecond * float64(time.Second))
}

func (cu *customer) queued() float64 {
	sum := 0.0
	for _, w := range cu.waiters {
		sum += w.tokens
	}
	return sum
}

// refuse counts a refused request; wait is when its tokens will be there.
func (cu *customer) refuse(tokens float64, wait time.Duration) error {
	cu.limiter.counts.refused.Add(tokens)
	if version, _ := cu.share.Version(); version == 0 {
		return failure.New(failure.StoreUnavailable, "the share of customer %s cannot be read", cu.name)
	}
	return failure.New(failure.RateExceeded, "the rate of customer %s is used up", cu.name).
		WithRetryAfter(max(leastRetryAfter, wait))
}

// wait returns the result for a request in the queue.
func (cu *customer) wait(ctx context.Context, w *waiter) (Charge, error) {
	timer := cu.limiter.parts.Clock.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case r := <-w.ready:
		return r.charge, r.err
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return cu.abandon(ctx, w)
}

// abandon takes a request out of the queue, unless its result is there.
func (cu *customer) abandon(ctx context.Context, w *waiter) (Charge, error) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	i := slices.Index(cu.waiters, w)
	if i < 0 {
		r := <-w.ready
		return r.charge, r.err
	}
	cu.waiters = slices.Delete(cu.waiters, i, i+1)
	if ctx.Err() != nil {
		return Charge{}, failure.New(failure.Canceled, "the caller left while the request waited for tokens")
	}
	return Charge{}, cu.refuse(w.tokens, cu.missing(w.tokens, cu.now()))
}

// admit gives tokens to waiting requests in order and reports how many tokens
// those that are left lack.
func (cu *customer) admit() (lack float64) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	now := cu.now()
	for len(cu.waiters) > 0 {
		w := cu.waiters[0]
		if cu.limiter.parts.CheckAdmission() != nil {
			break
		}
		c, ok := cu.share.Take(w.tokens, now)
		if !ok {
			break
		}
		cu.waiters = cu.waiters[1:]
		cu.limiter.counts.admitted.Add(w.tokens)
		w.ready <- result{charge: Charge{customer: cu, charge: c}}
	}
	if len(cu.waiters) == 0 {
		return 0
	}
	return max(0, cu.queued()-cu.share.Available(now))
}

// refuseHopeless refuses the waiting requests whose tokens cannot be there in
// time even at the customer's whole rate.
func (cu *customer) refuseHopeless() {
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
	cu.dryUntil = now.Add(dryInterval)
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
