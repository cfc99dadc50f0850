// Package ratelimit limits what one VM admits of each customer, so that all VMs
// together keep to the customer's rate. Every VM keeps a copy of a token bucket
// for the whole fleet: its own charges count at once, those of other VMs when
// their next digest reports them. A second bucket on each VM bounds what the VMs
// admit before these digests arrive; it gets slightly more of the rate than the
// VM's share of the demand. The package performs no I/O.
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
	// shareHeadroom is the factor by which a VM's own bucket exceeds its share
	// of the demand. What all VMs together admit in excess is deducted from
	// the fleet's bucket.
	shareHeadroom = 1.4
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
	// admitted is the total cost that this VM has admitted; peers holds the
	// totals that its peers have reported.
	admitted float64
	peers    map[string]peerTotal
}

// peerTotal is the total cost that a peer last reported as admitted.
type peerTotal struct {
	incarnation int64
	admitted    float64
}

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

// RecordPeerAdmitted records the total cost that a peer has admitted since its
// process began, and deducts the increase from the fleet's bucket. A change of
// incarnation means that the peer's total has restarted from zero.
func (l *Limiter) RecordPeerAdmitted(peer string, incarnation int64, customer string, admitted float64) {
	b := l.bucket(customer)
	last, known := b.peers[peer]
	switch {
	case !known:
		// What the peer admitted before its first report here is not deducted.
		last = peerTotal{incarnation: incarnation, admitted: admitted}
	case last.incarnation != incarnation:
		last = peerTotal{incarnation: incarnation}
	}
	b.level -= max(0, admitted-last.admitted)
	b.peers[peer] = peerTotal{incarnation: incarnation, admitted: max(admitted, last.admitted)}
}

// SetPeers sets the demand at the live peers by customer, the number of live
// peers, and the number of peers that are silent but may still admit requests.
func (l *Limiter) SetPeers(demand map[string]float64, live, silent int) {
	l.peerDemand, l.live, l.silent = demand, live, silent
}

// SetTolerance replaces the tolerance. The contents of the buckets stay.
func (l *Limiter) SetTolerance(t Tolerance) { l.tolerance = t }

// Take charges a cost to a customer if both buckets hold enough. If not, after
// is the time until they could hold it. Customers without a rate are not
// limited.
func (l *Limiter) Take(c *policy.Customer, cost float64, now time.Time) (ok bool, after time.Duration) {
	if c.Rate <= 0 {
		return true, 0
	}
	b := l.bucket(c.Name)
	b.requested += cost
	rate, capacity := l.limits(c)
	fraction := min(1, shareHeadroom*l.share(c.Name, b, now))
	if b.filledAt.IsZero() {
		b.level += rate * initialFill.Seconds()
		b.own += fraction * rate * initialFill.Seconds()
		b.filledAt = l.started
	}
	b.fill(rate, capacity, fraction, now)
	// A request that costs more than the bucket's capacity needs a full bucket.
	fleet := min(cost, capacity)
	own := min(cost, fraction*capacity)
	if b.level >= fleet && b.own >= own {
		b.level -= cost
		b.own -= cost
		b.admitted += cost
		return true, 0
	}
	wait := max((fleet-b.level)/rate, (own-b.own)/(fraction*rate))
	return false, time.Duration(wait * float64(time.Second))
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
		b = &bucket{measuredAt: l.started, peers: make(map[string]peerTotal)}
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
