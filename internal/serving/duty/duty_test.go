package duty_test

import (
	"context"
	"flag"
	"net/netip"
	"sort"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/serving/duty"
	"fireflypier.example/fireflypier/internal/serving/fakestore"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

func TestDuty(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "duty")
}

const gap = 3 * time.Second

// site runs the steps of all VMs in simulated time.
type site struct {
	clock *clockwork.FakeClock
	start time.Time
	store *fakestore.Store
}

func newSite() *site {
	clock := clockwork.NewFakeClock()
	return &site{clock: clock, start: clock.Now(), store: fakestore.New(clock)}
}

func (s *site) boot() time.Duration { return s.clock.Since(s.start) }

func (s *site) duty(i int, incarnation int64) *duty.Duty {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7600)
	contend := func() (bool, int) { return true, 0 }
	return duty.New(s.store, addr, incarnation, gap, contend, hclog.NewNullLogger(), duty.WithClocks(s.clock, s.boot))
}

var _ = Describe("the order duty", func() {
	var s *site
	ctx := context.Background()
	BeforeEach(func() { s = newSite() })

	It("is taken by one VM, which renews it", func() {
		a, b := s.duty(1, 1), s.duty(2, 1)
		a.Step(ctx)
		b.Step(ctx)
		Expect(a.Term()).NotTo(BeNil())
		Expect(b.Term()).To(BeNil())
		fence := a.Fence()
		for range 20 {
			s.clock.Advance(700 * time.Millisecond)
			a.Step(ctx)
			b.Step(ctx)
		}
		Expect(a.Fence()).To(Equal(fence))
		Expect(b.Term()).To(BeNil())
	})

	It("ends by the holder's own clock while the store is silent", func() {
		a := s.duty(1, 1)
		a.Step(ctx)
		term := a.Term()
		s.store.Fail(fakestore.Silent)
		s.clock.Advance(2100 * time.Millisecond)
		Expect(term.Valid()).To(BeFalse())
		Expect(a.Term()).To(BeNil())
	})

	It("goes to a successor only when the gap has passed", func() {
		a, b := s.duty(1, 1), s.duty(2, 1)
		a.Step(ctx)
		term := a.Term()
		var ended time.Duration
		for b.Term() == nil {
			if term.Valid() {
				ended = s.boot()
			}
			s.clock.Advance(100 * time.Millisecond)
			b.Step(ctx)
			Expect(s.boot()).To(BeNumerically("<", 10*time.Second))
		}
		Expect(s.boot() - ended).To(BeNumerically(">=", gap))
		Expect(b.Fence()).To(BeNumerically(">", term.Fence))
	})

	It("is resumed at once by the next process of the same VM, with a higher number", func() {
		a := s.duty(1, 1)
		a.Step(ctx)
		again := s.duty(1, 2)
		again.Step(ctx)
		Expect(again.Fence()).To(BeNumerically(">", a.Term().Fence))
	})

	It("survives a renewal whose answer is lost", func() {
		a := s.duty(1, 1)
		a.Step(ctx)
		fence := a.Fence()
		s.store.Fail(fakestore.Lost)
		s.clock.Advance(700 * time.Millisecond)
		a.Step(ctx)
		s.store.Fail(fakestore.None)
		for range 4 {
			s.clock.Advance(150 * time.Millisecond)
			a.Step(ctx)
		}
		s.clock.Advance(1400 * time.Millisecond)
		Expect(a.Fence()).To(Equal(fence))
	})

	It("does not believe a row that cannot be read to be free", func() {
		s.store.Put(rowstore.Duties, "orders", []byte("{"))
		a := s.duty(1, 1)
		a.Step(ctx)
		Expect(a.Term()).To(BeNil())
	})
})

// order is one order that a VM could have sent.
type order struct {
	at    time.Duration
	vm    int
	fence int64
}

// TestTurns lets VMs freeze, restart and lose the store at random, and checks
// that the orders of two VMs always lie the gap apart and that fencing
// numbers never go back.
func TestTurns(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "271828"); err != nil {
			t.Fatal(err)
		}
	}
	RegisterTestingT(t)
	rapid.Check(t, func(rt *rapid.T) {
		s := newSite()
		ctx := context.Background()
		vms := make([]*duty.Duty, 4)
		frozen := make([]time.Duration, len(vms))
		incarnation := int64(1)
		for i := range vms {
			vms[i] = s.duty(i, incarnation)
		}
		var orders []order
		for range 400 {
			s.clock.Advance(time.Duration(rapid.IntRange(10, 200).Draw(rt, "step")) * time.Millisecond)
			i := rapid.IntRange(0, len(vms)-1).Draw(rt, "vm")
			switch rapid.IntRange(0, 40).Draw(rt, "event") {
			case 0:
				frozen[i] = s.boot() + time.Duration(rapid.IntRange(1, 9).Draw(rt, "seconds"))*time.Second
			case 1:
				incarnation++
				vms[i] = s.duty(i, incarnation)
			case 2:
				s.store.Fail(fakestore.Failure(rapid.IntRange(0, 3).Draw(rt, "failure")))
			case 3, 4, 5:
				s.store.Fail(fakestore.None)
			}
			if s.boot() < frozen[i] {
				continue
			}
			if term := vms[i].Term(); term.Valid() {
				orders = append(orders, order{s.boot(), i, term.Fence})
			}
			vms[i].Step(ctx)
		}
		sort.SliceStable(orders, func(i, j int) bool { return orders[i].at < orders[j].at })
		for i := 1; i < len(orders); i++ {
			last, next := orders[i-1], orders[i]
			if next.vm != last.vm && next.at-last.at < gap {
				rt.Fatalf("VM %d ordered %v after VM %d", next.vm, next.at-last.at, last.vm)
			}
			if next.fence < last.fence {
				rt.Fatalf("fencing number %d after %d", next.fence, last.fence)
			}
		}
	})
}
