package election_test

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

	"fireflypier.example/fireflypier/internal/serving/election"
	"fireflypier.example/fireflypier/internal/serving/fakestore"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

func TestElection(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "election")
}

const orderGap = 3 * time.Second

// simulation runs the elections of several VMs on a fake clock.
type simulation struct {
	clock *clockwork.FakeClock
	start time.Time
	store *fakestore.Store
}

func newSimulation() *simulation {
	clock := clockwork.NewFakeClock()
	return &simulation{clock: clock, start: clock.Now(), store: fakestore.New(clock)}
}

func (s *simulation) boot() time.Duration { return s.clock.Since(s.start) }

func (s *simulation) election(i int, incarnation int64) *election.Election {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7600)
	candidate := func() (bool, int) { return true, 0 }
	return election.New(s.store, addr, incarnation, orderGap, candidate, hclog.NewNullLogger(), election.WithClocks(s.clock, s.boot))
}

var _ = Describe("leadership", func() {
	var s *simulation
	ctx := context.Background()
	BeforeEach(func() { s = newSimulation() })

	It("is acquired by one VM, which renews it", func() {
		a, b := s.election(1, 1), s.election(2, 1)
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

	It("ends by the leader's own clock while the store does not answer", func() {
		a := s.election(1, 1)
		a.Step(ctx)
		term := a.Term()
		s.store.Fail(fakestore.RequestLost)
		s.clock.Advance(2100 * time.Millisecond)
		Expect(term.Valid()).To(BeFalse())
		Expect(a.Term()).To(BeNil())
	})

	It("passes to a successor only after the order gap", func() {
		a, b := s.election(1, 1), s.election(2, 1)
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
		Expect(s.boot() - ended).To(BeNumerically(">=", orderGap))
		Expect(b.Fence()).To(BeNumerically(">", term.Fence))
	})

	It("is acquired at once by the next process of the same VM, with a higher fencing token", func() {
		a := s.election(1, 1)
		a.Step(ctx)
		next := s.election(1, 2)
		next.Step(ctx)
		Expect(next.Fence()).To(BeNumerically(">", a.Term().Fence))
	})

	It("tells how long ago another leader's term ended", func() {
		a, b := s.election(1, 1), s.election(2, 1)
		a.Step(ctx)
		Expect(a.Term().Inherited).To(BeFalse())
		for b.Term() == nil {
			s.clock.Advance(100 * time.Millisecond)
			b.Step(ctx)
			Expect(s.boot()).To(BeNumerically("<", 10*time.Second))
		}
		s.clock.Advance(700 * time.Millisecond)
		b.Step(ctx)
		Expect(b.Term().Inherited).To(BeTrue(), "also after a renewal")
		Expect(b.Term().Vacancy).To(BeNumerically(">=", orderGap))
		Expect(b.Term().Vacancy).To(BeNumerically("<", orderGap+time.Second))
		next := s.election(2, 2)
		next.Step(ctx)
		Expect(next.Term().Inherited).To(BeTrue())
		Expect(next.Term().Vacancy).To(BeZero(), "the term before had not ended")
	})

	It("continues after a renewal whose answer is lost", func() {
		a := s.election(1, 1)
		a.Step(ctx)
		fence := a.Fence()
		s.store.Fail(fakestore.AnswerLost)
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

	It("is taken again at once by the leader after the store was restored, with a higher fencing token", func() {
		a, b := s.election(1, 1), s.election(2, 1)
		c := s.store.Copy()
		a.Step(ctx)
		fence := a.Fence()
		s.clock.Advance(700 * time.Millisecond)
		s.store.Restore(c)
		a.Step(ctx)
		a.Step(ctx)
		Expect(a.Fence()).To(BeNumerically(">", fence))
		for range 20 {
			s.clock.Advance(700 * time.Millisecond)
			a.Step(ctx)
			b.Step(ctx)
			Expect(a.Term()).NotTo(BeNil())
			Expect(b.Term()).To(BeNil())
		}
	})

	// Guards against two leaders, and loads of the former one that are forgotten, after the
	// row of the duty has become older (ONE, CEILING).
	It("passes to a successor only after all lost terms and the order gap", func() {
		a, b := s.election(1, 1), s.election(2, 1)
		b.Step(ctx)
		s.clock.Advance(2100 * time.Millisecond)
		c := s.store.Copy() // its row tells of a term of b that has ended
		for a.Term() == nil {
			s.clock.Advance(100 * time.Millisecond)
			a.Step(ctx)
		}
		fence, term := a.Fence(), a.Term()
		s.store.Restore(c)
		began := s.boot()
		for b.Term() == nil {
			Expect(s.boot() - began).To(BeNumerically("<", 10*time.Second))
			b.Step(ctx)
			s.clock.Advance(100 * time.Millisecond)
		}
		Expect(term.Valid()).To(BeFalse())
		Expect(s.boot() - began).To(BeNumerically(">=", 2*time.Second+orderGap))
		Expect(b.Fence()).To(BeNumerically(">", fence))
		Expect(b.Term().Inherited).To(BeTrue())
		Expect(b.Term().Vacancy).To(BeNumerically("~", orderGap, 500*time.Millisecond))
	})

	It("is not acquired while the row cannot be decoded", func() {
		s.store.Put(rowstore.Duties, "orders", []byte("{"))
		a := s.election(1, 1)
		a.Step(ctx)
		Expect(a.Term()).To(BeNil())
	})
})

// sentOrder is an order that a VM could have sent: its term was valid.
type sentOrder struct {
	at    time.Duration
	vm    int
	fence int64
}

// TestOrderGapBetweenLeaders freezes and restarts VMs, fails calls to the store and
// restores it from older copies at random. It checks that orders of two VMs are at least orderGap apart and that
// fencing tokens never decrease.
func TestOrderGapBetweenLeaders(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "271828"); err != nil {
			t.Fatal(err)
		}
	}
	RegisterTestingT(t)
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation()
		ctx := context.Background()
		vms := make([]*election.Election, 4)
		frozen := make([]time.Duration, len(vms))
		incarnation := int64(1)
		for i := range vms {
			vms[i] = s.election(i, incarnation)
		}
		var orders []sentOrder
		copies := []*fakestore.Copy{s.store.Copy()}
		for range 400 {
			s.clock.Advance(time.Duration(rapid.IntRange(10, 200).Draw(rt, "step")) * time.Millisecond)
			i := rapid.IntRange(0, len(vms)-1).Draw(rt, "vm")
			switch rapid.IntRange(0, 40).Draw(rt, "event") {
			case 0:
				frozen[i] = s.boot() + time.Duration(rapid.IntRange(1, 9).Draw(rt, "seconds"))*time.Second
			case 1:
				incarnation++
				vms[i] = s.election(i, incarnation)
			case 2:
				s.store.Fail(fakestore.Failure(rapid.IntRange(0, 3).Draw(rt, "failure")))
			case 3, 4, 5:
				s.store.Fail(fakestore.None)
			case 6, 7:
				copies = append(copies, s.store.Copy())
			case 8:
				s.store.Restore(copies[rapid.IntRange(0, len(copies)-1).Draw(rt, "copy")])
				copies = []*fakestore.Copy{s.store.Copy()}
			}
			if s.boot() < frozen[i] {
				continue
			}
			if term := vms[i].Term(); term.Valid() {
				orders = append(orders, sentOrder{s.boot(), i, term.Fence})
			}
			vms[i].Step(ctx)
		}
		sort.SliceStable(orders, func(i, j int) bool { return orders[i].at < orders[j].at })
		for i := 1; i < len(orders); i++ {
			last, next := orders[i-1], orders[i]
			if next.vm != last.vm && next.at-last.at < orderGap {
				rt.Fatalf("VM %d sent an order %v after VM %d", next.vm, next.at-last.at, last.vm)
			}
			if next.fence < last.fence {
				rt.Fatalf("fencing token %d after %d", next.fence, last.fence)
			}
		}
	})
}
