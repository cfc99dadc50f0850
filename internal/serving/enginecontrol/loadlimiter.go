package enginecontrol

import (
	"math"
	"slices"
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/loadlimit"
	"fireflypier.example/fireflypier/internal/serving/policy"
)

// orderDelay covers the time from the permit for a load to its start at the engine, as
// long as the order is answered.
const orderDelay = 200 * time.Millisecond

// inheritedTime is the time before the end of another leader's term for which its loads
// are counted; it is above the usual window of the operators' bound.
const inheritedTime = 10 * time.Second

// loadLimiter limits the loads from the weight store for each pool: by the store's rate,
// with the loads of one second at once, and by the operators' bound in any window of
// time. It is safe for concurrent use, since orders to several engines are sent in parallel.
type loadLimiter struct {
	bound func() (window time.Duration, overage float64)

	mu     sync.Mutex
	byPool map[string]*poolLoads
	// inherited is the end of the last term of another leader; zero if there was none.
	inherited time.Time
}

// poolLoads are the recent loads of one pool.
type poolLoads struct {
	perSecond float64
	rate      *loadlimit.Limiter
	// starts are the times of the loads that count in the operators' window.
	starts []time.Time
}

func newLoadLimiter(bound func() (window time.Duration, overage float64)) *loadLimiter {
	return &loadLimiter{bound: bound, byPool: make(map[string]*poolLoads)}
}

// inherit counts the loads that another leader may have started until the time end, also
// for pools that are not known yet.
func (l *loadLimiter) inherit(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inherited = end
	for _, loads := range l.byPool {
		loads.inherit(end)
	}
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
		loads.starts = nil
		return free
	}
	loads.starts = slices.DeleteFunc(loads.starts, func(t time.Time) bool { return now.Sub(t) > window+orderDelay })
	most := max(1, int(pool.Engine.LoadsPerSecond*window.Seconds()*overage))
	return max(0, min(free, most-len(loads.starts)))
}

func (l *loadLimiter) loads(pool *policy.Pool) *poolLoads {
	loads := l.byPool[pool.Name]
	if loads == nil {
		loads = &poolLoads{perSecond: pool.Engine.LoadsPerSecond, rate: loadlimit.New()}
		loads.rate.SetLimits(pool.Engine.LoadsPerSecond, 0, 1)
		if !l.inherited.IsZero() {
			loads.inherit(l.inherited)
		}
		l.byPool[pool.Name] = loads
	}
	return loads
}

// inherit counts the loads that another leader may have started until the time end: those
// of one second at once, and before them as many as the rate allows.
func (p *poolLoads) inherit(end time.Time) {
	if p.perSecond <= 0 {
		return
	}
	burst := max(1, int(math.Ceil(p.perSecond)))
	for range burst {
		p.starts = append(p.starts, end)
	}
	spacing := time.Duration(float64(time.Second) / p.perSecond)
	for t := end; end.Sub(t) < inheritedTime; {
		t = t.Add(-spacing)
		p.starts = append(p.starts, t)
	}
}
