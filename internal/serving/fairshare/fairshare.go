// Package fairshare tells which requests of a customer exceed its share of the capacity
// of a pool of engines.
//
// The load pattern: one customer asks for several times its usual demand while a pool is
// short of capacity. If all requests are treated alike, the others lose as large a part of
// theirs as that customer. The capacity is therefore divided by max-min fairness on
// demand: customers that ask for less than an equal part get all, the others share the
// rest. The package performs no I/O.
package fairshare

import (
	"maps"
	"math"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/credit"
	"fireflypier.example/fireflypier/internal/serving/policy"
)

const (
	// timeConstant is that of the work that is requested and served. It is longer than
	// the time to first events of most routes, by which served work lags behind, and
	// short enough for a surge that lasts some seconds.
	timeConstant = 2 * time.Second
	// units is the number of units into which the demand of all customers is divided for
	// the allocation, which is in integers.
	units = 1 << 20
	// headroom is the part of the capacity that is not divided. If the shares took all of
	// it, queues that have grown before the shares took effect would not get shorter. As
	// large a lack of capacity is none: served work lags behind when the demand grows.
	headroom = 0.1
	// minShortage is the time for which capacity must be short before it is divided: a few
	// requests that come to a VM at once are served within it.
	minShortage = 400 * time.Millisecond
	// maxBalance bounds the balance of one rank of a customer, in requests of the current
	// size: a long time without requests, or of large ones, has no effect for long.
	maxBalance = 4
)

// Shares are the shares of customers in the capacity of one pool, as far as one VM serves
// it. Use New to create it. It is not safe for concurrent use.
type Shares struct {
	// requested and served are decaying sums of work as of updated.
	requested, served float64
	updated           time.Time
	demand            map[string]float64
	customers         map[string]*customer
	// fractions are the parts of customers' demands that are within their shares.
	fractions map[string]float64
	// shortSince is the time since which capacity has been short; zero if it is not.
	shortSince time.Time
}

// customer is the recent work of one customer at this VM.
type customer struct {
	// work is a decaying sum by rank as of updated, balance the work that is owed to the
	// requests of each rank.
	work, balance [policy.MaxRank + 1]float64
	updated       time.Time
}

// New returns shares without demand: no customer is above its share.
func New() *Shares { return &Shares{customers: make(map[string]*customer)} }

// SetDemand sets the demand at all VMs by customer, in work per second. What is known of
// other customers is forgotten.
func (s *Shares) SetDemand(demand map[string]float64, now time.Time) {
	s.demand = demand
	for name := range s.customers {
		if _, ok := demand[name]; !ok {
			delete(s.customers, name)
		}
	}
	s.decay(now)
	short := s.served < (1-headroom)*s.requested
	switch {
	case !short:
		s.shortSince = time.Time{}
	case s.shortSince.IsZero():
		s.shortSince = now
	}
	s.allocate(short && now.Sub(s.shortSince) >= minShortage)
}

// Serve records that work was served: the first event of a request has arrived.
func (s *Shares) Serve(work float64, now time.Time) {
	s.decay(now)
	s.served += work
}

// Request records that a request has arrived and reports whether it exceeds its
// customer's share. Among the requests of a customer the least urgent ones do first.
func (s *Shares) Request(name string, rank int, work float64, now time.Time) (over bool) {
	s.decay(now)
	s.requested += work
	if _, known := s.demand[name]; !known {
		return false
	}
	c := s.customers[name]
	if c == nil {
		c = &customer{updated: now}
		s.customers[name] = c
	}
	c.decay(now)
	c.work[rank] += work
	fraction := c.fraction(rank, s.fractions[name])
	b := &c.balance[rank]
	if fraction >= 1 {
		*b = 0 // what was owed in an earlier lack of capacity is not asked for
		return false
	}
	over = *b < 0
	if over {
		*b += fraction * work
	} else {
		*b -= (1 - fraction) * work
	}
	*b = min(max(*b, -maxBalance*work), maxBalance*work)
	return over
}

// Exceeds returns what Request would return, without recording the request.
func (s *Shares) Exceeds(name string, rank int, work float64, now time.Time) bool {
	if _, known := s.demand[name]; !known {
		return false
	}
	c := customer{updated: now}
	if known := s.customers[name]; known != nil {
		c = *known
	}
	c.decay(now)
	c.work[rank] += work
	return c.fraction(rank, s.fractions[name]) < 1 && c.balance[rank] < 0
}

// Above returns the number of customers that ask for more than their shares.
func (s *Shares) Above() int {
	n := 0
	for _, f := range s.fractions {
		if f < 1 {
			n++
		}
	}
	return n
}

// allocate divides the capacity, which is to the demand as served to requested work, if
// it is short.
func (s *Shares) allocate(short bool) {
	s.fractions = make(map[string]float64, len(s.demand))
	total := 0.0
	for name, d := range s.demand {
		s.fractions[name] = 1
		total += d
	}
	if len(s.demand) < 2 || total <= 0 || !short {
		return
	}
	names := slices.Sorted(maps.Keys(s.demand))
	demands := make([]int64, len(names))
	for i, name := range names {
		demands[i] = int64(s.demand[name] / total * units)
	}
	shares := make([]int64, len(demands))
	credit.Allocator{Capacity: int64((1 - headroom) * s.served / s.requested * units)}.Allocate(demands, shares)
	for i, name := range names {
		if demands[i] > shares[i] {
			s.fractions[name] = float64(shares[i]) / float64(demands[i])
		}
	}
}

// fraction returns the part of the work of a rank that is within a part of the work of
// all ranks, if the more urgent ranks come first.
func (c *customer) fraction(rank int, all float64) float64 {
	total, before := 0.0, 0.0
	for r, w := range c.work {
		total += w
		if r < rank {
			before += w
		}
	}
	return min(max((all*total-before)/c.work[rank], 0), 1)
}

func (c *customer) decay(now time.Time) {
	factor := decay(now.Sub(c.updated))
	for rank := range c.work {
		c.work[rank] *= factor
	}
	c.updated = now
}

func (s *Shares) decay(now time.Time) {
	factor := decay(now.Sub(s.updated))
	s.requested *= factor
	s.served *= factor
	s.updated = now
}

func decay(d time.Duration) float64 {
	return math.Exp(-max(0, d.Seconds()) / timeConstant.Seconds())
}
