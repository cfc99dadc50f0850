// Package retry decides whether and when a failed attempt is retried, with a
// retry budget per pool and exponential backoff with jitter.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// retryRatio is the fraction of the requests that may be retried in the long run.
	retryRatio = 0.2
	// burst is the maximum number of retries that a pool accumulates.
	burst = 100.0
	// minRetriesPerSecond is the number of retries per second that a pool gains
	// regardless of its requests.
	minRetriesPerSecond = 10.0

	firstBackoff = 10 * time.Millisecond
	maxBackoff   = time.Second
	maxDoublings = 7
)

// Budget limits the retries of each pool to a fraction of its requests, so that
// retries don't overload a failing pool. It is safe for concurrent use.
type Budget struct {
	clock clockwork.Clock

	mu    sync.Mutex
	pools map[string]*balance
}

type balance struct {
	retries float64
	updated time.Time
}

// NewBudget returns a budget in which each pool starts with a full burst.
func NewBudget(clock clockwork.Clock) *Budget {
	return &Budget{clock: clock, pools: map[string]*balance{}}
}

// RecordRequest records a request to a pool, which adds to the pool's budget.
func (b *Budget) RecordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.balance(pool)
	p.retries = min(p.retries+retryRatio, burst)
}

// Take reports whether the pool has a retry left, and consumes it.
func (b *Budget) Take(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.balance(pool)
	if p.retries < 1 {
		return false
	}
	p.retries--
	return true
}

// balance returns the balance of a pool, refilled up to the present time. The
// caller must hold b.mu.
func (b *Budget) balance(pool string) *balance {
	now := b.clock.Now()
	p, ok := b.pools[pool]
	if !ok {
		p = &balance{retries: burst, updated: now}
		b.pools[pool] = p
		return p
	}
	p.retries = min(p.retries+now.Sub(p.updated).Seconds()*minRetriesPerSecond, burst)
	p.updated = now
	return p
}

// Backoff returns the wait before the next attempt, with jitter, after n failed
// attempts; n starts at 1.
func (b *Budget) Backoff(n int) time.Duration {
	longest := min(firstBackoff<<min(max(n-1, 0), maxDoublings), maxBackoff)
	return rand.N(longest) + time.Millisecond
}
