package forward

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/serving/fairshare"
)

// shares are the shares of customers in the capacity of pools, by pool.
type shares struct {
	mu     sync.Mutex
	byPool map[string]*fairshare.Shares
	// demand is the latest demand of all VMs by customer, in tokens a second.
	demand map[string]float64
}

func newShares() *shares { return &shares{byPool: make(map[string]*fairshare.Shares)} }

// of returns those of a pool. The caller holds s.mu.
func (s *shares) of(pool string, now time.Time) *fairshare.Shares {
	p := s.byPool[pool]
	if p == nil {
		p = fairshare.New()
		p.SetDemand(s.demand, now)
		s.byPool[pool] = p
	}
	return p
}

// setShares divides the capacity of the pools by the demand at this VM and at the others.
// What a customer asks for above its rate does not count: it is refused before.
func (f *Forwarder) setShares(peers map[string]float64, now time.Time) {
	p := f.Policy()
	if p == nil {
		return
	}
	own := f.Rates.UsageByCustomer(now)
	demand := make(map[string]float64)
	for i := range p.Customers {
		c := &p.Customers[i]
		d := own[c.Name].PerSecond + peers[c.Name]
		if c.Rate > 0 {
			d = min(d, c.Rate)
		}
		if !c.ByTokens {
			d *= max(1, c.PlainCost)
		}
		if d > 0 {
			demand[c.Name] = d
		}
	}
	s := f.shares
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand = demand
	for name, pool := range s.byPool {
		if !p.Divided(name) {
			delete(s.byPool, name)
			f.Metrics.aboveShare.DeleteLabelValues(name)
			continue
		}
		pool.SetDemand(demand, now)
		f.Metrics.aboveShare.WithLabelValues(name).Set(float64(pool.Above()))
	}
}

// checkShare records that the request has arrived, once, and whether it exceeds the share
// of its customer.
func (j *job) checkShare(now time.Time) {
	if j.counted {
		return
	}
	j.counted = true
	s := j.f.shares
	s.mu.Lock()
	defer s.mu.Unlock()
	j.overShare = s.of(j.pool.Name, now).Request(j.customerName(), j.want.Rank, j.work(), now)
}

// exceeds reports whether a request exceeds the share of its customer, without recording it.
func (s *shares) exceeds(j *job, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byPool[j.pool.Name]
	return p != nil && p.Exceeds(j.customerName(), j.want.Rank, j.work(), now)
}

// recordServed records that the first event of the request has arrived.
func (j *job) recordServed(now time.Time) {
	if !j.counted {
		return
	}
	s := j.f.shares
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of(j.pool.Name, now).Serve(j.work(), now)
}

func newAboveShare() *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "fireflypier_serving_customers_above_share",
		Help: "Customers that ask for more than their shares of the capacity of a pool that is short of it.",
	}, []string{"pool"})
}
