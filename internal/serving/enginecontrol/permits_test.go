package enginecontrol

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

// TestPermitsAtTheSameTime lets many engines ask at once; the race detector
// finds what is not guarded.
func TestPermitsAtTheSameTime(t *testing.T) {
	g := NewWithT(t)
	pool := &policy.Pool{Name: "p", Engine: &policy.Engine{LoadsPerSecond: 1}}
	p := newPermits()
	now := time.Unix(1000, 0)
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			if p.take(pool, now) {
				taken.Add(1)
			}
		})
	}
	wg.Wait()
	g.Expect(taken.Load()).To(Equal(int64(1)))
	g.Expect(p.available(pool, now)).To(BeZero())
	g.Expect(p.take(pool, now.Add(1100*time.Millisecond))).To(BeTrue())
}
