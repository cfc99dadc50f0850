package bodymemory_test

import (
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
	ok, wait := u.Reserve(n, now)
	return ok && wait == nil
}

var _ = Describe("a budget for bodies", func() {
	// Guards against ordinary bodies that are refused for as long as others keep the memory.
	It("gives up a stalled body for another one, which waits until it is released", func() {
		b := bodymemory.New(100)
		stalled := open(b, start)
		Expect(stalled.reserves(80, start)).To(BeTrue())
		now := start.Add(time.Second)
		other := open(b, now)
		ok, wait := other.Reserve(60, now)
		Expect(ok).To(BeFalse())
		Expect(wait).NotTo(BeClosed())
		Expect(stalled.evictions).To(Equal(1))
		Expect(stalled.reserves(1, now)).To(BeFalse())
		Expect(stalled.Whole()).To(BeFalse())
		Expect(b.Usage().Memory).To(Equal(int64(80)))
		stalled.Release()
		Expect(wait).To(BeClosed())
		Expect(other.reserves(60, now)).To(BeTrue())
		Expect(other.Whole()).To(BeTrue())
		other.Release()
		Expect(b.Usage().Memory).To(BeZero())
	})

	It("gives up a body that goes on arriving for much longer than ordinary ones", func() {
		b := bodymemory.New(100)
		slow := open(b, start)
		Expect(slow.reserves(80, start)).To(BeTrue())
		now := start.Add(4 * time.Second)
		slow.Received(now)
		_, wait := open(b, now).Reserve(60, now)
		Expect(wait).NotTo(BeNil())
		Expect(slow.evictions).To(Equal(1))
	})

	// Guards against more ordinary callers than there is memory for, none of whom can end.
	It("lets bodies that arrive end, and refuses new ones at once", func() {
		b := bodymemory.New(100)
		first := open(b, start)
		Expect(first.reserves(80, start)).To(BeTrue())
		now := start.Add(time.Second)
		first.Received(now)
		for range 10 {
			next := open(b, now)
			ok, wait := next.Reserve(60, now)
			Expect(ok).To(BeFalse())
			Expect(wait).To(BeNil())
			next.Release()
		}
		Expect(first.Whole()).To(BeTrue())
		Expect(first.evictions).To(BeZero())
	})

	It("gives up no body that has arrived, and none in vain", func() {
		b := bodymemory.New(100)
		whole, stalled := open(b, start), open(b, start)
		Expect(whole.reserves(70, start)).To(BeTrue())
		Expect(whole.Whole()).To(BeTrue())
		Expect(stalled.reserves(20, start)).To(BeTrue())
		now := start.Add(time.Hour)
		other := open(b, now)
		Expect(other.reserves(40, now)).To(BeFalse())
		Expect(whole.evictions + stalled.evictions).To(BeZero())
		Expect(other.reserves(10, now)).To(BeTrue())
	})

	It("keeps a single slow body, however long it takes", func() {
		b := bodymemory.New(100)
		only := open(b, start)
		for s := range 100 {
			Expect(only.reserves(1, start.Add(time.Duration(s)*time.Minute))).To(BeTrue())
		}
		Expect(only.Whole()).To(BeTrue())
	})
})
