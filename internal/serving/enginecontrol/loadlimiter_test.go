package enginecontrol

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

// TestLoadLimiterConcurrentUse calls the limiter from many goroutines, as orders
// to several engines do; the race detector reports unguarded access.
func TestLoadLimiterConcurrentUse(t *testing.T) {
	g := NewWithT(t)
	pool := &policy.Pool{Name: "p", Engine: &policy.Engine{LoadsPerSecond: 1}}
	l := newLoadLimiter()
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
