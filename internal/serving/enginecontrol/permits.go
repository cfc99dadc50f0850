package enginecontrol

import (
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/permit"
	"fireflypier.example/fireflypier/internal/serving/policy"
)

// permits bounds the loads from the weight store, by pool. Orders to several
// engines ask for them at the same time.
type permits struct {
	mu     sync.Mutex
	byPool map[string]*permit.Permit
}

func newPermits() *permits { return &permits{byPool: make(map[string]*permit.Permit)} }

// available returns the loads that may begin now.
func (p *permits) available(pool *policy.Pool, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(pool).Available(now, 0)
}

// take reports whether a load may begin now, and counts it.
func (p *permits) take(pool *policy.Pool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pm := p.of(pool)
	if pm.Available(now, 0) == 0 {
		return false
	}
	pm.Take(1)
	return true
}

func (p *permits) of(pool *policy.Pool) *permit.Permit {
	pm := p.byPool[pool.Name]
	if pm == nil {
		pm = permit.New()
		pm.SetLimits(pool.Engine.LoadsPerSecond, 0, 1)
		p.byPool[pool.Name] = pm
	}
	return pm
}
