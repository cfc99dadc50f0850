package load

import (
	"sync"
	"time"
)

// bucket is a customer's rate as the customer sees it, by which a refusal
// inside the rate is told.
type bucket struct {
	rate, burst float64

	mu      sync.Mutex
	tokens  float64
	updated time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst}
}

// take charges tokens and reports whether they were inside the rate; without
// a rate nothing is.
func (b *bucket) take(now time.Time, tokens float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.updated.IsZero() {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.updated).Seconds()*b.rate)
	}
	b.updated = now
	inside := b.rate > 0 && b.tokens >= tokens
	b.tokens -= tokens
	return inside
}

// giveBack returns the tokens of a request that did not run.
func (b *bucket) giveBack(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+tokens)
}
