package bodymemory_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/bodymemory"
)

func TestBodyMemory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "body memory")
}

var start = time.Unix(1_000_000, 0)

// garbage collects when a spec says so. It is safe for concurrent use.
type garbage struct {
	mu          sync.Mutex
	freed       []func()
	collections atomic.Int64
}

func (g *garbage) track(_ []byte, freed func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freed = append(g.freed, freed)
}

// free frees all buffers.
func (g *garbage) free() {
	g.mu.Lock()
	freed := g.freed
	g.freed = nil
	g.mu.Unlock()
	for _, f := range freed {
		f()
	}
}

// newBudget returns a budget of 10,000 bytes, and its garbage.
func newBudget() (*bodymemory.Budget, *garbage) {
	g := &garbage{}
	return bodymemory.New(10_000, bodymemory.WithCollector(func() { g.collections.Add(1) }, g.track)), g
}

// upload is a body with what has become of it.
type upload struct {
	*bodymemory.Body
	evictions int
}

func open(b *bodymemory.Budget, now time.Time) *upload {
	u := &upload{}
	u.Body = b.Open(now, func() { u.evictions++ })
	return u
}

// reserves reserves memory without having to wait.
func (u *upload) reserves(n int64, now time.Time) bool {
	buffer, wait := u.Allocate(n, now)
	return buffer != nil && wait == nil
}

var _ = Describe("a budget for bodies", func() {
	// Guards against ordinary bodies that are refused for as long as others keep the memory.
	It("gives up a stalled body for another one, which waits until it is released and collected", func() {
		b, g := newBudget()
		stalled := open(b, start)
		Expect(stalled.reserves(8_000, start)).To(BeTrue())
		now := start.Add(time.Second)
		other := open(b, now)
		buffer, wait := other.Allocate(6_000, now)
		Expect(buffer).To(BeNil())
		Expect(wait).NotTo(BeClosed())
		Expect(stalled.evictions).To(Equal(1))
		Expect(stalled.reserves(100, now)).To(BeFalse())
		Expect(stalled.Whole()).To(BeFalse())
		Expect(b.Usage().Memory).To(Equal(int64(8_000)))
		stalled.Release()
		Expect(wait).To(BeClosed())
		Expect(other.reserves(6_000, now)).To(BeFalse())
		g.free()
		Expect(other.reserves(6_000, now)).To(BeTrue())
		Expect(other.Whole()).To(BeTrue())
		other.Release()
		Expect(b.Usage().Memory).To(BeZero())
	})

	It("gives up a body that goes on arriving for much longer than ordinary ones", func() {
		b, _ := newBudget()
		slow := open(b, start)
		Expect(slow.reserves(8_000, start)).To(BeTrue())
		now := start.Add(4 * time.Second)
		slow.Received(now)
		_, wait := open(b, now).Allocate(6_000, now)
		Expect(wait).NotTo(BeNil())
		Expect(slow.evictions).To(Equal(1))
	})

	// Guards against more ordinary callers than there is memory for, none of whom can end.
	It("lets bodies that arrive end, and refuses new ones at once", func() {
		b, _ := newBudget()
		first := open(b, start)
		Expect(first.reserves(8_000, start)).To(BeTrue())
		now := start.Add(time.Second)
		first.Received(now)
		for range 10 {
			next := open(b, now)
			buffer, wait := next.Allocate(6_000, now)
			Expect(buffer).To(BeNil())
			Expect(wait).To(BeNil())
			next.Release()
		}
		Expect(first.Whole()).To(BeTrue())
		Expect(first.evictions).To(BeZero())
	})

	It("gives up no body that has arrived, and none in vain", func() {
		b, _ := newBudget()
		whole, stalled := open(b, start), open(b, start)
		Expect(whole.reserves(7_000, start)).To(BeTrue())
		Expect(whole.Whole()).To(BeTrue())
		Expect(stalled.reserves(2_000, start)).To(BeTrue())
		now := start.Add(time.Hour)
		other := open(b, now)
		Expect(other.reserves(4_000, now)).To(BeFalse())
		Expect(whole.evictions + stalled.evictions).To(BeZero())
		Expect(other.reserves(1_000, now)).To(BeTrue())
	})

	// Guards against bodies that end at once and fill the process with garbage.
	It("counts what bodies have released until it is collected", func() {
		b, g := newBudget()
		for range 2 {
			ended := open(b, start)
			Expect(ended.reserves(4_000, start)).To(BeTrue())
			Expect(ended.Whole()).To(BeTrue())
			ended.Release()
		}
		Expect(b.Usage().Memory).To(BeZero())
		Expect(b.Usage().Garbage).To(Equal(int64(8_000)))
		next := open(b, start)
		buffer, wait := next.Allocate(4_000, start)
		Expect(buffer).To(BeNil())
		Eventually(g.collections.Load).Should(BeNumerically(">", 0))
		g.free()
		Expect(wait).To(BeClosed())
		Expect(next.reserves(4_000, start)).To(BeTrue())
		Expect(b.Usage().Garbage).To(BeZero())
	})

	It("starts a collection before garbage takes all of it", func() {
		b, g := newBudget()
		first := open(b, start)
		Expect(first.reserves(6_000, start)).To(BeTrue())
		Expect(g.collections.Load()).To(BeZero())
		first.Release()
		Eventually(g.collections.Load).Should(Equal(int64(1)))
	})

	It("learns from the runtime what has been collected", func() {
		b := bodymemory.New(1 << 20)
		for range 100 { // 25 times the budget
			body := b.Open(start, func() {})
			Eventually(func() bool {
				buffer, _ := body.Allocate(256<<10, start)
				return buffer != nil
			}, "30s").Should(BeTrue())
			body.Release()
		}
		Eventually(func() int64 {
			runtime.GC()
			return b.Usage().Garbage
		}, "30s").Should(BeZero())
	})

	It("keeps a single slow body, however long it takes", func() {
		b, _ := newBudget()
		only := open(b, start)
		for s := range 100 {
			Expect(only.reserves(100, start.Add(time.Duration(s)*time.Minute))).To(BeTrue())
		}
		Expect(only.Whole()).To(BeTrue())
	})
})
