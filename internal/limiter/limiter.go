// Package limiter charges requests against the rates of their customers.
package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/object"
)

// Limiter holds this gateway's part of each customer's rate. Its methods may
// be called at the same time.
type Limiter struct {
	clock clockwork.Clock

	mu       sync.Mutex
	fraction float64
	catalog  *catalog.Catalog
	buckets  map[string]*bucket
}

type bucket struct {
	tokens  float64
	updated time.Time
}

// New returns a limiter that grants a fixed fraction of every rate.
func New(clock clockwork.Clock, fraction float64) *Limiter {
	return &Limiter{clock: clock, fraction: fraction, buckets: map[string]*bucket{}}
}

// SetCatalog gives the limiter the rates in force.
func (l *Limiter) SetCatalog(c *catalog.Catalog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catalog = c
}

// Charge is what a request has paid.
type Charge struct {
	limiter  *Limiter
	customer string
	tokens   float64
}

// Take charges a customer with tokens. The errors are RateExceeded, with the
// time after which the tokens will be there, and RequestTooCostly.
func (l *Limiter) Take(_ context.Context, customer string, tokens float64) (*Charge, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, ok := l.catalog.Rate(customer)
	if !ok {
		return nil, failure.New(failure.Internal, "customer %s has no rate", customer)
	}
	if tokens > rate.BurstTokens {
		return nil, failure.New(failure.RequestTooCostly, "the request costs %.0f tokens, the burst is %.0f", tokens, rate.BurstTokens)
	}
	b := l.refill(customer, rate)
	if b.tokens < tokens {
		wait := time.Duration((tokens - b.tokens) / (rate.TokensPerSecond * l.fraction) * float64(time.Second))
		return nil, failure.New(failure.RateExceeded, "the rate of customer %s is used up", customer).WithRetryAfter(wait)
	}
	b.tokens -= tokens
	return &Charge{limiter: l, customer: customer, tokens: tokens}, nil
}

// refill brings a bucket up to now. The mutex is held.
func (l *Limiter) refill(customer string, rate object.Rate) *bucket {
	now := l.clock.Now()
	b, ok := l.buckets[customer]
	if !ok {
		b = &bucket{tokens: rate.BurstTokens * l.fraction, updated: now}
		l.buckets[customer] = b
	}
	gained := now.Sub(b.updated).Seconds() * rate.TokensPerSecond * l.fraction
	b.tokens = min(b.tokens+gained, rate.BurstTokens*l.fraction)
	b.updated = now
	return b
}

// Settle gives back what the request did not use. It may be called once.
func (c *Charge) Settle(used float64) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	b, ok := c.limiter.buckets[c.customer]
	if ok && used < c.tokens {
		b.tokens += c.tokens - used
	}
}
