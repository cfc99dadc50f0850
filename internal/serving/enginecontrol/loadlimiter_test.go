package enginecontrol

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

// loadBound is the operators' usual bound.
func loadBound() (window time.Duration, overage float64) { return 5 * time.Second, 1.1 }

// TestLoadLimiterConcurrentUse calls the limiter from many goroutines, as orders
// to several engines do; the race detector reports unguarded access.
func TestLoadLimiterConcurrentUse(t *testing.T) {
	g := NewWithT(t)
	pool := &policy.Pool{Name: "p", Engine: &policy.Engine{LoadsPerSecond: 1}}
	l := newLoadLimiter(loadBound)
	now := time.Unix(1000, 0)
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			if l.allow(pool, now) {
				taken.Add(1)
			}
		})
	}
	wg.Wait()
	g.Expect(taken.Load()).To(Equal(int64(1)))
	g.Expect(l.available(pool, now)).To(BeZero())
	g.Expect(l.allow(pool, now.Add(1100*time.Millisecond))).To(BeTrue())
}

// TestLoadLimiterWindow has more models to load than the limit permits, after a pause.
func TestLoadLimiterWindow(t *testing.T) {
	g := NewWithT(t)
	const perSecond = 23.0
	// tolerance is what operators tolerate of the rate.
	window, tolerance := loadBound()
	pool := &policy.Pool{Name: "p", Engine: &policy.Engine{LoadsPerSecond: perSecond}}
	l := newLoadLimiter(loadBound)
	start := time.Unix(1000, 0)
	l.available(pool, start)
	start = start.Add(time.Minute)
	loads := 0
	for now := start; now.Before(start.Add(window)); now = now.Add(planInterval) {
		for l.allow(pool, now) {
			loads++
		}
	}
	most := tolerance * perSecond * window.Seconds()
	g.Expect(float64(loads)).To(BeNumerically("<=", most))
	g.Expect(loads).To(BeNumerically(">=", int(perSecond*(window-planInterval).Seconds())), "the rate is used")
}

// TestLoadLimiterAnyWindow guards against too many loads in some window (CEILING), at the
// rates of small and large sites and with any pauses between the loads.
func TestLoadLimiterAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 30).Draw(t, "loads a second")
		pool := &policy.Pool{Name: "p", Engine: &policy.Engine{LoadsPerSecond: perSecond}}
		l := newLoadLimiter(loadBound)
		window, tolerance := loadBound()
		now := time.Unix(1000, 0)
		var starts []time.Time
		for range 100 {
			pause := rapid.IntRange(1, 20).Draw(t, "pause")
			now = now.Add(time.Duration(pause) * planInterval)
			for l.allow(pool, now) {
				starts = append(starts, now)
			}
		}
		most := max(1, tolerance*perSecond*window.Seconds())
		first := 0
		for i, last := range starts {
			for last.Sub(starts[first]) >= window {
				first++
			}
			if n := i - first + 1; float64(n) > most {
				t.Fatalf("%d loads in %v, at most %v", n, window, most)
			}
		}
	})
}

// TestLoadLimiterInherits guards against a new leader that adds a burst to the loads of its
// predecessor (CEILING).
func TestLoadLimiterInherits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 30).Draw(t, "loads a second")
		pool := &policy.Pool{Name: "p", Engine: &policy.Engine{LoadsPerSecond: perSecond}}
		window, tolerance := loadBound()
		start := time.Unix(1000, 0)
		former, successor := newLoadLimiter(loadBound), newLoadLimiter(loadBound)
		former.available(pool, start)
		end := start.Add(time.Minute)
		quiet := time.Duration(rapid.IntRange(0, 4000).Draw(t, "quiet ms")) * time.Millisecond
		vacancy := time.Duration(rapid.IntRange(0, 5000).Draw(t, "vacancy ms")) * time.Millisecond
		var starts []time.Time
		use := func(l *loadLimiter, from, to time.Time) {
			for now := from; now.Before(to); now = now.Add(planInterval) {
				for l.allow(pool, now) {
					starts = append(starts, now)
				}
			}
		}
		use(former, end.Add(-5*time.Second).Add(quiet), end)
		successor.inherit(end)
		const windows = 5
		begin := end.Add(vacancy).Add(window)
		use(successor, end.Add(vacancy), begin.Add(windows*window))
		most := tolerance*perSecond*window.Seconds() + 1
		first := 0
		for i, last := range starts {
			for last.Sub(starts[first]) >= window {
				first++
			}
			if n := i - first + 1; float64(n) > most {
				t.Fatalf("%d loads in %v, at most %v", n, window, most)
			}
		}
		// One window can hold one whole load less than its share of the rate, all together cannot.
		share, total := 0.8*perSecond*window.Seconds(), 0
		for i := range windows {
			from := begin.Add(time.Duration(i) * window)
			used := 0
			for _, s := range starts {
				if !s.Before(from) && s.Before(from.Add(window)) {
					used++
				}
			}
			if used < int(share) {
				t.Fatalf("only %d loads in window %d after that of the former leader", used, i)
			}
			total += used
		}
		if float64(total) < windows*share {
			t.Fatalf("only %d loads in %d windows", total, windows)
		}
	})
}
