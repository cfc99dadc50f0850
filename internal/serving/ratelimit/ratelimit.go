// Package ratelimit limits what one VM admits of each customer, so that all VMs
// together keep to the customer's rate. Every VM keeps a copy of a token bucket
// for the whole fleet: its own charges count at once, those of other VMs when
// their next digest reports them. A second bucket on each VM bounds what the VMs
// admit before these digests arrive; it gets a part of the VM's share of the
// demand.
//
// It answers a customer whose requests are spread over so many VMs that one request
// is larger than a VM's share: if only the VM's own bucket lacks tokens, the VM
// borrows from one lender, the same for all VMs, whose copy of the fleet's bucket
// decides. The package performs no I/O.
package ratelimit

import (
	"math"
	"time"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

const (
	// demandTimeConstant is the time constant of the demand estimate. It spans
	// several digests and still follows a burst within the rate's window.
	demandTimeConstant = 1500 * time.Millisecond
	// floorShare is the fraction of an equal share that a VM keeps without any
	// demand, for the first requests of a customer that moves to it.
	floorShare = 0.3
	// shareGranted is the fraction of its share of the demand that a VM's own
	// bucket gets. The lender grants the rest: it does not see what own buckets
	// have admitted since the last digests.
	shareGranted = 0.8
	// overageUsed is the fraction of the operators' overage that is granted;
	// slackInRate and slackInBurst are the fractions of their slack that are
	// added to the rate and to the burst. The rest covers what VMs admit
	// before the digests of the others arrive, and restarts.
	overageUsed  = 0.5
	slackInRate  = 0.3
	slackInBurst = 0.18
	// initialFill is the time whose refill is the initial content of a bucket.
	// It is short so that restarts do not multiply the burst.
	initialFill = 250 * time.Millisecond
)

// Tolerance is the excess over its rate that a customer is allowed, over all
// VMs.
type Tolerance struct {
	// Overage is a fraction of the rate and the burst; Slack is a number of
	// tokens in each Window.
	Overage, Slack float64
	Window         time.Duration
}

// Usage is what one VM reports of a customer to its peers.
type Usage struct {
	// PerSecond is the demand, as cost per second; Admitted is the total cost
	// admitted since the VM's process began.
	PerSecond, Admitted float64
}

// Limiter holds one VM's buckets of all customers. It is not safe for concurrent
// use.
type Limiter struct {
	tolerance    Tolerance
	started      time.Time
	customers    map[string]*bucket
	peerDemand   map[string]float64
	live, silent int
}

// bucket holds the two token buckets of one customer, the estimate of its demand
// and the totals admitted.
type bucket struct {
	// level is the content of the fleet's bucket, own that of this VM's.
	level, own float64
	filledAt   time.Time
	// demand is the estimated cost per second that callers request at this VM;
	// requested is the cost requested since measuredAt.
	demand     float64
	measuredAt time.Time
	requested  float64
	// admitted is the total cost that this VM has admitted.
	admitted float64
}

// Result is the result of a charge.
type Result int

// String returns the name of the result as written to logs and metrics.
func (r Result) String() string { return [...]string{"admitted", "own_share_used_up", "exceeded"}[r] }

// The results of charges.
const (
	// Admitted means that the charge was made.
	Admitted Result = iota
	// Short means that only this VM's own bucket lacks tokens: the lender may
	// admit the request.
	Short
	// Exceeded means that the customer is above its rate.
	Exceeded
)

// New returns a limiter without demand. Its buckets fill from now on.
func New(t Tolerance, now time.Time) *Limiter {
	return &Limiter{tolerance: t, started: now, customers: make(map[string]*bucket)}
}

// UsageByCustomer returns the usage of each customer, for this VM's next report
// to its peers.
func (l *Limiter) UsageByCustomer(now time.Time) map[string]Usage {
	usage := make(map[string]Usage, len(l.customers))
	for name, b := range l.customers {
		b.updateDemand(now)
		usage[name] = Usage{PerSecond: b.demand, Admitted: b.admitted}
	}
	return usage
}

// Deduct deducts what other VMs have admitted of a customer from the fleet's bucket. A
// negative cost is what they have given back for requests that have not run.
func (l *Limiter) Deduct(customer string, cost float64) { l.bucket(customer).level -= cost }

// SetPeers sets the demand at the live peers by customer, the number of live
// peers, and the number of peers that are silent but may still admit requests.
func (l *Limiter) SetPeers(demand map[string]float64, live, silent int) {
	l.peerDemand, l.live, l.silent = demand, live, silent
}

// SetTolerance replaces the tolerance. The contents of the buckets stay.
func (l *Limiter) SetTolerance(t Tolerance) { l.tolerance = t }

// Take charges a cost to a customer if both buckets hold enough. If not, after
// is the time until they could hold it. Customers without a rate are not
// limited, but their demand is counted.
func (l *Limiter) Take(c *policy.Customer, cost float64, now time.Time) (result Result, after time.Duration) {
	b := l.bucket(c.Name)
	b.requested += cost
	if c.Rate <= 0 {
		return Admitted, 0
	}
	if result, after = b.check(cost, l.refill(c, b, now)); result != Admitted {
		return result, after
	}
	b.level -= cost
	b.own -= cost
	b.admitted += cost
	return Admitted, 0
}

// check returns the result of a charge, which it does not make.
func (b *bucket) check(cost float64, limit bucketLimit) (result Result, after time.Duration) {
	// A request that costs more than the fleet's capacity needs a full bucket.
	needed := min(cost, limit.capacity)
	switch {
	case b.level < needed:
		return Exceeded, wait(needed-b.level, limit.rate)
	case b.own < needed:
		return Short, wait(needed-b.own, limit.fraction*limit.rate)
	}
	return Admitted, 0
}

// Preview is what Take would return now, with the buckets on which that depends.
type Preview struct {
	Result Result
	After  time.Duration
	// Level is the content of the fleet's bucket according to this VM's copy, Own that of
	// this VM's bucket, and Capacity and PerSecond the size and the refill of the former.
	Level, Own, Capacity, PerSecond float64
}

// Preview returns what Take would return, without a charge and without counting demand.
func (l *Limiter) Preview(c *policy.Customer, cost float64, now time.Time) Preview {
	b := bucket{measuredAt: l.started}
	if known := l.customers[c.Name]; known != nil {
		b = *known
	}
	b.requested += cost // as Take does; it has a part in the VM's share
	if c.Rate <= 0 {
		return Preview{Result: Admitted}
	}
	limit := l.refill(c, &b, now)
	p := Preview{Level: b.level, Own: b.own, Capacity: limit.capacity, PerSecond: limit.rate}
	p.Result, p.After = b.check(cost, limit)
	return p
}

// Lend charges a cost to a customer on behalf of any VM if the fleet's bucket holds
// enough. Only one VM may lend to a customer at a time. If the bucket does not hold
// enough, after is the time until it could.
func (l *Limiter) Lend(c *policy.Customer, cost float64, now time.Time) (ok bool, after time.Duration) {
	if c.Rate <= 0 {
		return true, 0
	}
	b := l.bucket(c.Name)
	limit := l.refill(c, b, now)
	if fleet := min(cost, limit.capacity); b.level < fleet {
		return false, wait(fleet-b.level, limit.rate)
	}
	b.level -= cost
	b.admitted += cost
	return true, 0
}

// bucketLimit has the rate and the capacity of the fleet's bucket, and the fraction of both
// that this VM's own bucket has.
type bucketLimit struct{ rate, capacity, fraction float64 }

// refill refills the buckets of a customer and returns their limit. It changes nothing but b.
func (l *Limiter) refill(c *policy.Customer, b *bucket, now time.Time) bucketLimit {
	rate, capacity := l.limits(c)
	fraction := min(1, shareGranted*l.share(c.Name, b, now))
	if b.filledAt.IsZero() {
		b.level += rate * initialFill.Seconds()
		b.own += fraction * rate * initialFill.Seconds()
		b.filledAt = l.started
	}
	b.fill(rate, capacity, fraction, now)
	return bucketLimit{rate, capacity, fraction}
}

// wait returns the time in which a rate refills a lack of tokens.
func wait(lack, rate float64) time.Duration {
	return time.Duration(max(0, lack) / rate * float64(time.Second))
}

// Refund credits the cost of a request that Take admitted but that has not run.
func (l *Limiter) Refund(c *policy.Customer, cost float64) {
	if c.Rate <= 0 {
		return
	}
	b := l.bucket(c.Name)
	b.level += cost
	b.own += cost
	b.admitted -= cost
}

// Level returns the content of the fleet's bucket of a customer, according to
// this VM's copy, and this VM's share of the demand.
func (l *Limiter) Level(customer string, now time.Time) (level, share float64) {
	b := l.bucket(customer)
	return b.level, l.share(customer, b, now)
}

func (l *Limiter) bucket(name string) *bucket {
	b := l.customers[name]
	if b == nil {
		b = &bucket{measuredAt: l.started}
		l.customers[name] = b
	}
	return b
}

// limits returns the refill rate and the capacity of the bucket that this VM
// shares with its live peers. An equal share is reserved for each silent peer.
func (l *Limiter) limits(c *policy.Customer) (rate, capacity float64) {
	reachable := float64(1+l.live) / float64(1+l.live+l.silent)
	slack := l.tolerance.Slack
	if !c.ByTokens {
		slack /= max(1, c.PlainCost)
	}
	over := 1 + overageUsed*l.tolerance.Overage
	rate = (c.Rate*over + slackInRate*slack/l.tolerance.Window.Seconds()) * reachable
	capacity = (c.Burst*over + slackInBurst*slack) * reachable
	return rate, capacity
}

// share returns this VM's share of the demand at itself and its live peers. A
// VM without demand still gets a share, see floorShare.
func (l *Limiter) share(customer string, b *bucket, now time.Time) float64 {
	b.updateDemand(now)
	peerDemand, live := l.peerDemand[customer], float64(1+l.live)
	floor := floorShare * (b.demand + peerDemand) / live
	total := b.demand + peerDemand + floor*live
	if total <= 0 {
		return 1 / live
	}
	return (b.demand + floor) / total
}

func (b *bucket) updateDemand(now time.Time) {
	d := now.Sub(b.measuredAt)
	if d < demandTimeConstant/10 {
		return
	}
	weight := 1 - math.Exp(-d.Seconds()/demandTimeConstant.Seconds())
	b.demand += weight * (b.requested/d.Seconds() - b.demand)
	b.requested, b.measuredAt = 0, now
}

// fill adds the refill since the last call to both buckets. This VM's own bucket
// gets the given fraction of the rate and of the capacity.
func (b *bucket) fill(rate, capacity, fraction float64, now time.Time) {
	elapsed := max(0, now.Sub(b.filledAt).Seconds())
	b.level = min(capacity, b.level+rate*elapsed)
	b.own = min(fraction*capacity, b.own+fraction*rate*elapsed)
	b.filledAt = now
}
