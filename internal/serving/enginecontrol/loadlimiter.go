package enginecontrol

import (
	"slices"
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/loadlimit"
	"fireflypier.example/fireflypier/internal/serving/policy"
)

// orderDelay is the maximum time between the permit for a load and its start at the
// engine that is usual.
const orderDelay = 200 * time.Millisecond

// loadLimiter limits the loads from the weight store for each pool: by the store's rate,
// with the loads of one second at once, and by the operators' bound in any window of
// time. It is safe for concurrent use, since orders to several engines are sent in parallel.
type loadLimiter struct {
	bound func() (window time.Duration, overage float64)

	mu     sync.Mutex
	byPool map[string]*poolLoads
}

// poolLoads are the recent loads of one pool.
type poolLoads struct {
	rate *loadlimit.Limiter
	// starts are the times of the loads in the window.
	starts []time.Time
}

func newLoadLimiter(bound func() (window time.Duration, overage float64)) *loadLimiter {
	return &loadLimiter{bound: bound, byPool: make(map[string]*poolLoads)}
}

// available returns the number of loads that may start now.
func (l *loadLimiter) available(pool *policy.Pool, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.free(pool, now)
}

// allow reports whether a load may start now, and counts it if so.
func (l *loadLimiter) allow(pool *policy.Pool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free(pool, now) == 0 {
		return false
	}
	loads := l.loads(pool)
	loads.rate.Take(1)
	loads.starts = append(loads.starts, now)
	return true
}

// free returns the number of loads that may start now. The caller holds l.mu.
func (l *loadLimiter) free(pool *policy.Pool, now time.Time) int {
	loads := l.loads(pool)
	free := loads.rate.Available(now, 0)
	window, overage := l.bound()
	if window <= 0 || overage <= 0 || pool.Engine.LoadsPerSecond <= 0 {
		return free
	}
	loads.starts = slices.DeleteFunc(loads.starts, func(t time.Time) bool { return now.Sub(t) > window+orderDelay })
	most := max(1, int(pool.Engine.LoadsPerSecond*window.Seconds()*overage))
	return max(0, min(free, most-len(loads.starts)))
}

func (l *loadLimiter) loads(pool *policy.Pool) *poolLoads {
	loads := l.byPool[pool.Name]
	if loads == nil {
		loads = &poolLoads{rate: loadlimit.New()}
		loads.rate.SetLimits(pool.Engine.LoadsPerSecond, 0, 1)
		l.byPool[pool.Name] = loads
	}
	return loads
}
