// Package allowance bounds what one VM admits of each customer, so that all
// VMs together keep to the customer's rate. Every VM uses the part of the rate
// that is its part of the demand; a VM that cannot hear the others uses an
// equal part. It has no input or output.
package allowance

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
	floorShare = 0.2
	// overageUsed is the part of the operators' overage that is given out,
	// slackInRate and slackInBurst are the parts of their slack. The rest
	// covers parts that two VMs use at the same time while the demand moves,
	// and restarts.
	overageUsed  = 0.5
	slackInRate  = 0.5
	slackInBurst = 0.3
)

// Tolerance is what a customer may exceed its rate by, over all VMs.
type Tolerance struct {
	// Overage is a share of the rate and the burst, Slack an amount in a
	// Window.
	Overage, Slack float64
	Window         time.Duration
}

// Allowance is one VM's part of all customers' rates. It is not safe for
// concurrent use.
type Allowance struct {
	tolerance    Tolerance
	customers    map[string]*bucket
	others       map[string]float64
	live, silent int
}

// bucket is one customer's.
type bucket struct {
	level    float64
	filled   time.Time
	demand   float64
	measured time.Time
	asked    float64
}

// New returns an allowance without demand.
func New(t Tolerance) *Allowance {
	return &Allowance{tolerance: t, customers: make(map[string]*bucket)}
}

// Demand returns the demand for each customer, in units a second.
func (a *Allowance) Demand(now time.Time) map[string]float64 {
	demand := make(map[string]float64, len(a.customers))
	for name, b := range a.customers {
		b.measure(now)
		if b.demand >= 1 {
			demand[name] = b.demand
		}
	}
	return demand
}

// Others sets the demand at the live peers by customer, the number of live
// peers, and the number of those that are silent but may still admit requests.
func (a *Allowance) Others(demand map[string]float64, live, silent int) {
	a.others, a.live, a.silent = demand, live, silent
}

// SetTolerance replaces the tolerance.
func (a *Allowance) SetTolerance(t Tolerance) { a.tolerance = t }

// Take charges a cost to a customer. When it is refused, after tells when the
// cost could be there.
func (a *Allowance) Take(c *policy.Customer, cost float64, now time.Time) (ok bool, after time.Duration) {
	if c.Rate <= 0 {
		return true, 0
	}
	b := a.bucket(c.Name)
	b.asked += cost
	rate, capacity := a.limits(c, b, now)
	b.fill(rate, capacity, now)
	if b.level >= cost || (cost > capacity && b.level >= capacity) {
		b.level -= cost
		return true, 0
	}
	return false, time.Duration((cost - b.level) / rate * float64(time.Second))
}

// Refund returns the cost of a request that has not run.
func (a *Allowance) Refund(c *policy.Customer, cost float64) {
	if c.Rate > 0 {
		a.bucket(c.Name).level += cost
	}
}

// Share returns the part of a customer's rate that this VM uses.
func (a *Allowance) Share(customer string, now time.Time) float64 {
	return a.share(customer, a.bucket(customer), now)
}

func (a *Allowance) bucket(name string) *bucket {
	b := a.customers[name]
	if b == nil {
		b = &bucket{}
		a.customers[name] = b
	}
	return b
}

func (a *Allowance) limits(c *policy.Customer, b *bucket, now time.Time) (rate, capacity float64) {
	share := a.share(c.Name, b, now)
	slack := a.tolerance.Slack
	if !c.ByTokens {
		slack /= max(1, c.PlainCost)
	}
	over := 1 + overageUsed*a.tolerance.Overage
	rate = (c.Rate*over + slackInRate*slack/a.tolerance.Window.Seconds()) * share
	capacity = (c.Burst*over + slackInBurst*slack) * share
	return rate, capacity
}

// share divides the rate by demand among the VMs that hear each other; each
// silent one is left an equal part.
func (a *Allowance) share(customer string, b *bucket, now time.Time) float64 {
	b.measure(now)
	others, live := a.others[customer], float64(1+a.live)
	members := live + float64(a.silent)
	heard := live / members
	floor := floorShare * (b.demand + others) / live
	total := b.demand + others + floor*live
	if total <= 0 {
		return 1 / members
	}
	return heard * (b.demand + floor) / total
}

func (b *bucket) measure(now time.Time) {
	if b.measured.IsZero() {
		b.measured = now
		return
	}
	d := now.Sub(b.measured)
	if d < demandTime/10 {
		return
	}
	weight := 1 - math.Exp(-d.Seconds()/demandTime.Seconds())
	b.demand += weight * (b.asked/d.Seconds() - b.demand)
	b.asked, b.measured = 0, now
}

// firstFill is the time whose refill a bucket begins with; it is short, so
// that restarts do not multiply the burst.
const firstFill = 250 * time.Millisecond

// fill adds what has come since the last call.
func (b *bucket) fill(rate, capacity float64, now time.Time) {
	if b.filled.IsZero() {
		b.level, b.filled = rate*firstFill.Seconds(), now
		return
	}
	b.level = min(capacity, b.level+rate*max(0, now.Sub(b.filled).Seconds()))
	b.filled = now
}
