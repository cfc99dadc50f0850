// Package ratelimit bounds what one VM admits of each customer, so that all
// VMs together keep to the customer's rate. Every VM keeps a copy of one
// bucket for the whole fleet: its own charges count at once, those of others
// when their next digest tells of them. What VMs take at the same time is
// bounded by a second bucket of each, with a part of the rate that is a little
// more than its part of the demand. It has no input or output.
package ratelimit

import (
	"math"
	"time"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

const (
	// demandTime is the time constant of the demand estimate; it spans
	// several digests and follows a burst within the rate's window.
	demandTime = 1500 * time.Millisecond
	// floorShare is the part of an equal part that a VM keeps without any
	// demand, for the first requests of a customer that moves to it.
	floorShare = 0.3
	// boost is how much larger than its part of the demand a VM's own bucket
	// is; what all take too much is repaid by the fleet's bucket.
	boost = 1.4
	// overageUsed is the part of the operators' overage that is given out,
	// slackInRate and slackInBurst are the parts of their slack. The rest
	// covers what VMs take at the same time, and restarts.
	overageUsed  = 0.5
	slackInRate  = 0.3
	slackInBurst = 0.18
	// firstFill is the time whose refill a bucket begins with; it is short,
	// so that restarts do not multiply the burst.
	firstFill = 250 * time.Millisecond
)

// Tolerance is what a customer may exceed its rate by, over all VMs.
type Tolerance struct {
	// Overage is a share of the rate and the burst, Slack an amount in a
	// Window.
	Overage, Slack float64
	Window         time.Duration
}

// Usage is what one VM tells of a customer.
type Usage struct {
	// PerSecond is the demand, Admitted all that was admitted since the
	// VM's process began.
	PerSecond, Admitted float64
}

// Limiter is one VM's copy of the buckets of all customers. It is not safe
// for concurrent use.
type Limiter struct {
	tolerance    Tolerance
	began        time.Time
	customers    map[string]*bucket
	others       map[string]float64
	live, silent int
}

// bucket is one customer's.
type bucket struct {
	// level is what the fleet's bucket holds, own what this VM's does.
	level, own float64
	filled     time.Time
	// demand is what callers ask for here, asked what has come since it was
	// measured.
	demand   float64
	measured time.Time
	asked    float64
	// admitted is what this VM has admitted, peers what others have told.
	admitted float64
	peers    map[string]told
}

// told is a peer's last word.
type told struct {
	incarnation int64
	admitted    float64
}

// New returns a limiter without demand. Its buckets fill from now.
func New(t Tolerance, now time.Time) *Limiter {
	return &Limiter{tolerance: t, began: now, customers: make(map[string]*bucket)}
}

// UsageByCustomer returns what to tell of each customer.
func (a *Limiter) UsageByCustomer(now time.Time) map[string]Usage {
	uses := make(map[string]Usage, len(a.customers))
	for name, b := range a.customers {
		b.measure(now)
		uses[name] = Usage{PerSecond: b.demand, Admitted: b.admitted}
	}
	return uses
}

// RecordPeerAdmitted takes in what a peer has admitted since its process began.
func (a *Limiter) RecordPeerAdmitted(peer string, incarnation int64, customer string, admitted float64) {
	b := a.bucket(customer)
	last, known := b.peers[peer]
	switch {
	case !known:
		// What it admitted before this VM heard of it is in no account here.
		last = told{incarnation: incarnation, admitted: admitted}
	case last.incarnation != incarnation:
		last = told{incarnation: incarnation}
	}
	b.level -= max(0, admitted-last.admitted)
	b.peers[peer] = told{incarnation: incarnation, admitted: max(admitted, last.admitted)}
}

// SetPeers sets the demand at the live peers by customer, the number of live
// peers, and the number of those that are silent but may still admit requests.
func (a *Limiter) SetPeers(demand map[string]float64, live, silent int) {
	a.others, a.live, a.silent = demand, live, silent
}

// SetTolerance replaces the tolerance.
func (a *Limiter) SetTolerance(t Tolerance) { a.tolerance = t }

// Take charges a cost to a customer. When it is refused, after tells when the
// cost could be there.
func (a *Limiter) Take(c *policy.Customer, cost float64, now time.Time) (ok bool, after time.Duration) {
	if c.Rate <= 0 {
		return true, 0
	}
	b := a.bucket(c.Name)
	b.asked += cost
	rate, capacity := a.limits(c)
	part := min(1, boost*a.share(c.Name, b, now))
	if b.filled.IsZero() {
		b.level += rate * firstFill.Seconds()
		b.own += part * rate * firstFill.Seconds()
		b.filled = a.began
	}
	b.fill(rate, capacity, part, now)
	// A request that is larger than a bucket needs a full one.
	fleet := min(cost, capacity)
	own := min(cost, part*capacity)
	if b.level >= fleet && b.own >= own {
		b.level -= cost
		b.own -= cost
		b.admitted += cost
		return true, 0
	}
	wait := max((fleet-b.level)/rate, (own-b.own)/(part*rate))
	return false, time.Duration(wait * float64(time.Second))
}

// Refund returns the cost of a request that has not run.
func (a *Limiter) Refund(c *policy.Customer, cost float64) {
	if c.Rate <= 0 {
		return
	}
	b := a.bucket(c.Name)
	b.level += cost
	b.own += cost
	b.admitted -= cost
}

// Level returns what the fleet's bucket of a customer holds by this VM's copy,
// and the part of it that this VM may take.
func (a *Limiter) Level(customer string, now time.Time) (level, share float64) {
	b := a.bucket(customer)
	return b.level, a.share(customer, b, now)
}

func (a *Limiter) bucket(name string) *bucket {
	b := a.customers[name]
	if b == nil {
		b = &bucket{measured: a.began, peers: make(map[string]told)}
		a.customers[name] = b
	}
	return b
}

// limits returns the refill and the size of the bucket of all VMs that hear
// each other; each silent one is left an equal part.
func (a *Limiter) limits(c *policy.Customer) (rate, capacity float64) {
	heard := float64(1+a.live) / float64(1+a.live+a.silent)
	slack := a.tolerance.Slack
	if !c.ByTokens {
		slack /= max(1, c.PlainCost)
	}
	over := 1 + overageUsed*a.tolerance.Overage
	rate = (c.Rate*over + slackInRate*slack/a.tolerance.Window.Seconds()) * heard
	capacity = (c.Burst*over + slackInBurst*slack) * heard
	return rate, capacity
}

// share returns this VM's part of the demand among the VMs that hear each
// other.
func (a *Limiter) share(customer string, b *bucket, now time.Time) float64 {
	b.measure(now)
	others, live := a.others[customer], float64(1+a.live)
	floor := floorShare * (b.demand + others) / live
	total := b.demand + others + floor*live
	if total <= 0 {
		return 1 / live
	}
	return (b.demand + floor) / total
}

func (b *bucket) measure(now time.Time) {
	d := now.Sub(b.measured)
	if d < demandTime/10 {
		return
	}
	weight := 1 - math.Exp(-d.Seconds()/demandTime.Seconds())
	b.demand += weight * (b.asked/d.Seconds() - b.demand)
	b.asked, b.measured = 0, now
}

// fill adds what has come since the last call.
func (b *bucket) fill(rate, capacity, part float64, now time.Time) {
	passed := max(0, now.Sub(b.filled).Seconds())
	b.level = min(capacity, b.level+rate*passed)
	b.own = min(part*capacity, b.own+part*rate*passed)
	b.filled = now
}
