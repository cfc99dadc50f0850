package load

import (
	"sync"
	"time"
)

// bucket is a token bucket with a customer's configured rate, kept on the
// caller's side to find refusals of requests that were inside the rate.
type bucket struct {
	rate, burst float64

	mu      sync.Mutex
	tokens  float64
	updated time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst}
}

// take charges tokens and reports whether the bucket held them; it charges them
// in either case. Without a rate it reports false.
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

// refund returns the tokens of a request that did not run.
func (b *bucket) refund(tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+tokens)
}
