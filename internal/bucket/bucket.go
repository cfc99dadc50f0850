// Package bucket is a token bucket for one fraction of a rate. Tokens can be
// lent to other buckets and requests can return what they did not use, and
// still the buckets of one rate together never admit more than its burst plus
// its rate times the length of any window. docs/DESIGN.md gives the argument.
package bucket

import "time"

// LoanLifetime is how long borrowed tokens may be used, counted from before
// they were asked for.
const LoanLifetime = 100 * time.Millisecond

// lentRetention is how long the lender counts them, by its own clock. The margin
// is for clocks that differ in speed.
const lentRetention = LoanLifetime * 5 / 4

// Bucket is a token bucket. The zero value holds nothing. It is not safe for
// use by several goroutines. Times passed to it must not go backwards.
type Bucket struct {
	rate     float64
	burst    float64
	fraction float64
	refilledAt  time.Time

	// level holds the own tokens, at most capacity() - lent.
	level float64
	// lent holds own tokens that are elsewhere, in two generations: the new
	// one becomes the old one, and the old one is forgotten, every loanHold.
	lentCurrent float64
	lentPrevious float64
	rotateAt    time.Time
	// borrowed holds tokens of other buckets until they expire.
	borrowed float64
	expires  time.Time

	checkpoints   history
	changes uint64
}

// Charge is what one request paid.
type Charge struct {
	own      float64
	borrowed float64
	expires  time.Time
	change   uint64
}

// SetRate sets the whole rate in tokens a second and the whole burst in
// tokens. Tokens above a lower burst are dropped.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.advance(now)
	b.addCheckpoint()
	b.rate = rate
	b.burst = burst
	b.trim()
}

// SetFraction sets the part of rate and burst that the bucket holds. Tokens
// above the new capacity are dropped; a larger capacity begins empty.
func (b *Bucket) SetFraction(fraction float64, now time.Time) {
	b.advance(now)
	b.addCheckpoint()
	b.fraction = fraction
	b.trim()
}

// Clear drops the own tokens, and what earlier charges could return.
func (b *Bucket) Clear(now time.Time) {
	b.advance(now)
	b.level = 0
	b.changes++
	b.checkpoints.add(b.changes, 0)
}

// AssumeLent counts a part of the capacity as lent, for a fraction whose former
// holder may have lent tokens that are still in use.
func (b *Bucket) AssumeLent(fraction float64, now time.Time) {
	b.advance(now)
	b.addLent(fraction*b.burst, now)
	b.trim()
}

// Available returns the tokens that a request can take.
func (b *Bucket) Available(now time.Time) float64 {
	b.advance(now)
	return b.level + b.borrowed
}

// Borrowed returns the borrowed tokens that have not expired.
func (b *Bucket) Borrowed(now time.Time) float64 {
	b.advance(now)
	return b.borrowed
}

// Level returns the own tokens.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// Lent returns the tokens that are counted as lent.
func (b *Bucket) Lent(now time.Time) float64 {
	b.advance(now)
	return b.lent()
}

func (b *Bucket) lent() float64 { return b.lentCurrent + b.lentPrevious }

// RefillRate returns the tokens a second that the bucket gains.
func (b *Bucket) RefillRate() float64 { return b.rate * b.fraction }

// Take pays tokens, borrowed ones first; ok is false when they are not there.
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

// Settle returns what the request of c did not use, as if it had not been
// charged: what would have overflowed since is not returned.
func (b *Bucket) Settle(c Charge, used float64, now time.Time) {
	b.advance(now)
	unused := max(0, c.own+c.borrowed-used)
	own := min(unused, c.own)
	b.level += min(b.checkpoints.refund(c.change, own), b.headroom())
	b.Borrow(unused-own, c.expires, now)
	b.trim()
}

// Lend gives up to tokens of the bucket's own to another bucket, where they
// expire LoanLifetime after the time before which they were asked for.
func (b *Bucket) Lend(tokens float64, now time.Time) (lent float64) {
	b.advance(now)
	lent = max(0, min(tokens, b.level))
	b.level -= lent
	b.addLent(lent, now)
	return lent
}

// Split removes a part, from zero to one, of the own tokens and of what is
// counted as lent, to be moved together with that part of the capacity.
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

// Merge adds what another bucket split off, up to the capacity.
func (b *Bucket) Merge(tokens, lent float64, now time.Time) {
	b.advance(now)
	b.addLent(lent, now)
	b.level += tokens
	b.trim()
}

// Borrow adds tokens of another bucket that expire at a time.
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

// advance brings the bucket to now.
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

// refill adds the tokens gained until now.
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

// maxLevel returns the bound on level.
func (b *Bucket) maxLevel() float64 { return max(0, b.burst*b.fraction-b.lent()) }

func (b *Bucket) headroom() float64 { return max(0, b.maxLevel()-b.level) }

// trim drops tokens above the capacity.
func (b *Bucket) trim() {
	b.level = min(b.level, b.maxLevel())
	b.addCheckpoint()
}

// addCheckpoint records the headroom, for later settlements.
func (b *Bucket) addCheckpoint() {
	b.changes++
	b.checkpoints.add(b.changes, b.headroom())
}
