// Package retry decides whether and when a failed attempt is followed by
// another: a budget for each pool, and pauses that grow with jitter.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// share is the part of the requests that may be retried in the long run.
	share = 0.2
	// burst bounds the retries saved up.
	burst = 100.0
	// minimumPerSecond is allowed whatever the number of requests.
	minimumPerSecond = 10.0

	firstPause   = 10 * time.Millisecond
	longestPause = time.Second
	maxDoublings = 7
)

// Budget bounds the retries of each pool to a share of its requests, so that
// a failing pool isn't loaded with repeats. Its methods may be called at the
// same time.
type Budget struct {
	clock clockwork.Clock

	mu    sync.Mutex
	pools map[string]*balance
}

type balance struct {
	retries float64
	updated time.Time
}

// NewBudget returns a budget whose pools begin with their burst.
func NewBudget(clock clockwork.Clock) *Budget {
	return &Budget{clock: clock, pools: map[string]*balance{}}
}

// RecordRequest counts a request to a pool.
func (b *Budget) RecordRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.balance(pool)
	p.retries = min(p.retries+share, burst)
}

// Take reports whether one more retry is allowed, and counts it.
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

// balance brings the balance of a pool up to now. The mutex is held.
func (b *Budget) balance(pool string) *balance {
	now := b.clock.Now()
	p, ok := b.pools[pool]
	if !ok {
		p = &balance{retries: burst, updated: now}
		b.pools[pool] = p
		return p
	}
	p.retries = min(p.retries+now.Sub(p.updated).Seconds()*minimumPerSecond, burst)
	p.updated = now
	return p
}

// Pause returns the time to wait before a retry, with jitter; n counts the
// failed attempts from one.
func (b *Budget) Pause(n int) time.Duration {
	longest := min(firstPause<<min(max(n-1, 0), maxDoublings), longestPause)
	return rand.N(longest) + time.Millisecond
}
