// Package bucket implements a token bucket that holds a fraction of a rate.
// A bucket can lend tokens to other buckets of the same rate and take back
// tokens that a request did not use. All buckets of a rate together admit at
// most burst + rate × length tokens in any time window; docs/DESIGN.md gives
// the argument.
package bucket

import "time"

// LoanLifetime is how long borrowed tokens can be used. The borrower counts it
// from a time before it sent the request for them.
const LoanLifetime = 100 * time.Millisecond

// lentRetention is the minimum time for which the lender counts lent tokens
// against its capacity, by its own clock. It exceeds LoanLifetime by a quarter
// because the two clocks may run at different speeds.
const lentRetention = LoanLifetime * 5 / 4

// Bucket is a token bucket. The zero value has no capacity and no tokens. It
// is not safe for concurrent use. Times passed to it must not go backwards.
type Bucket struct {
	rate       float64
	burst      float64
	fraction   float64
	refilledAt time.Time

	// level is the number of own tokens, at most maxLevel().
	level float64
	// lentCurrent and lentPrevious count own tokens that are lent, in two
	// generations. Every lentRetention, at rotateAt, lentCurrent becomes
	// lentPrevious and the old lentPrevious is discarded.
	lentCurrent  float64
	lentPrevious float64
	rotateAt     time.Time
	// borrowed is the number of tokens from other buckets. All of them expire
	// at expires.
	borrowed float64
	expires  time.Time

	checkpoints history
	changes     uint64
}

// Charge records the tokens that Take charged for one request.
type Charge struct {
	own      float64
	borrowed float64
	expires  time.Time
	change   uint64
}

// SetRate sets the rate in tokens per second and the burst in tokens, both for
// all buckets of the rate together. Tokens above a lower burst are dropped.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.advance(now)
	b.addCheckpoint()
	b.rate = rate
	b.burst = burst
	b.trim()
}

// SetFraction sets the fraction, from 0 to 1, of rate and burst that the bucket
// holds. Tokens above the new capacity are dropped; added capacity starts empty.
func (b *Bucket) SetFraction(fraction float64, now time.Time) {
	b.advance(now)
	b.addCheckpoint()
	b.fraction = fraction
	b.trim()
}

// Clear drops the own tokens. Later refunds of earlier charges return no own
// tokens.
func (b *Bucket) Clear(now time.Time) {
	b.advance(now)
	b.level = 0
	b.changes++
	b.checkpoints.add(b.changes, 0)
}

// AssumeLent counts a fraction of the burst as lent. It is used after the
// bucket has gained a fraction whose former holder may have lent tokens that
// are still in use.
func (b *Bucket) AssumeLent(fraction float64, now time.Time) {
	b.advance(now)
	b.addLent(fraction*b.burst, now)
	b.trim()
}

// Available returns the number of tokens that Take can charge, own and borrowed.
func (b *Bucket) Available(now time.Time) float64 {
	b.advance(now)
	return b.level + b.borrowed
}

// Borrowed returns the number of borrowed tokens that have not expired.
func (b *Bucket) Borrowed(now time.Time) float64 {
	b.advance(now)
	return b.borrowed
}

// Level returns the number of own tokens, without borrowed ones.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// Lent returns the number of tokens that count as lent.
func (b *Bucket) Lent(now time.Time) float64 {
	b.advance(now)
	return b.lent()
}

func (b *Bucket) lent() float64 { return b.lentCurrent + b.lentPrevious }

// RefillRate returns the rate of the bucket's own fraction in tokens per second.
func (b *Bucket) RefillRate() float64 { return b.rate * b.fraction }

// Take charges tokens, borrowed ones first. When fewer are available, ok is
// false and nothing is charged.
func (b *Bucket) Take(tokens float64, now time.Time) (c Charge, ok bool) {
	b.advance(now)
	if b.level+b.borrowed < tokens {
		return Charge{}, false
	}
	b.addCheckpoint()
	c = Charge{
		borrowed: min(tokens, b.borrowed),
		expires:  b.expires,
		change:   b.changes,
	}
	c.own = tokens - c.borrowed
	b.borrowed -= c.borrowed
	b.level = max(0, b.level-c.own)
	return c, true
}

// Settle returns the tokens of c that the request did not use, as if they had
// not been charged: tokens that would have overflowed the bucket since then are
// not returned, nor are borrowed tokens that have expired.
func (b *Bucket) Settle(c Charge, used float64, now time.Time) {
	b.advance(now)
	unused := max(0, c.own+c.borrowed-used)
	own := min(unused, c.own)
	b.level += min(b.checkpoints.refund(c.change, own), b.headroom())
	b.Borrow(unused-own, c.expires, now)
	b.trim()
}

// Lend removes up to the given number of own tokens, to be added to another
// bucket with Borrow, and returns how many. They expire there at most
// LoanLifetime after the borrower sent its request.
func (b *Bucket) Lend(tokens float64, now time.Time) (lent float64) {
	b.advance(now)
	lent = max(0, min(tokens, b.level))
	b.level -= lent
	b.addLent(lent, now)
	return lent
}

// Split removes a fraction, from 0 to 1, of the own tokens and of the lent
// count. The caller moves them together with the same fraction of the capacity.
func (b *Bucket) Split(fraction float64, now time.Time) (tokens, lent float64) {
	b.advance(now)
	b.addCheckpoint()
	tokens = b.level * fraction
	lent = b.lent() * fraction
	b.level -= tokens
	b.lentCurrent *= 1 - fraction
	b.lentPrevious *= 1 - fraction
	return tokens, lent
}

// Merge adds the tokens and the lent count that Split removed from another
// bucket. Tokens above the capacity are dropped.
func (b *Bucket) Merge(tokens, lent float64, now time.Time) {
	b.advance(now)
	b.addLent(lent, now)
	b.level += tokens
	b.trim()
}

// Borrow adds tokens that another bucket lent. Borrowed tokens share one expiry
// time, the earliest one.
func (b *Bucket) Borrow(tokens float64, expires, now time.Time) {
	b.advance(now)
	if tokens <= 0 || !now.Before(expires) {
		return
	}
	if b.borrowed == 0 || expires.Before(b.expires) {
		b.expires = expires
	}
	b.borrowed += tokens
}

func (b *Bucket) addLent(tokens float64, now time.Time) {
	if b.lent() == 0 {
		b.rotateAt = now.Add(lentRetention)
	}
	b.lentCurrent += tokens
}

// advance applies rotations of the lent count, refill and expiry up to now.
func (b *Bucket) advance(now time.Time) {
	for b.lent() > 0 && !now.Before(b.rotateAt) {
		b.refill(b.rotateAt)
		b.addCheckpoint()
		b.lentPrevious = b.lentCurrent
		b.lentCurrent = 0
		b.rotateAt = b.rotateAt.Add(lentRetention)
	}
	b.refill(now)
	if !now.Before(b.expires) {
		b.borrowed = 0
	}
}

// refill adds the own tokens gained since the last refill.
func (b *Bucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.level = max(b.level, min(b.level+b.RefillRate()*elapsed, b.maxLevel()))
}

// maxLevel returns the upper bound of level: the capacity less the lent tokens.
func (b *Bucket) maxLevel() float64 { return max(0, b.burst*b.fraction-b.lent()) }

func (b *Bucket) headroom() float64 { return max(0, b.maxLevel()-b.level) }

// trim drops own tokens above maxLevel.
func (b *Bucket) trim() {
	b.level = min(b.level, b.maxLevel())
	b.addCheckpoint()
}

// addCheckpoint records the headroom, which bounds the refunds of earlier
// charges.
func (b *Bucket) addCheckpoint() {
	b.changes++
	b.checkpoints.add(b.changes, b.headroom())
}
