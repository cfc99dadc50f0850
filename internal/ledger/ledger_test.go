package ledger_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/table"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

var (
	addr = netip.MustParseAddrPort("10.0.0.1:80")
	x    = ledger.Weights{Kind: object.KindModel, Name: "x", Version: "1"}
	y    = ledger.Weights{Kind: object.KindModel, Name: "y", Version: "1"}
)

// newLedger returns the ledger of an engine with ten bytes in its first life.
func newLedger(checks bool) *ledger.Ledger {
	l, err := ledger.Decode(addr, table.Row{})
	Expect(err).NotTo(HaveOccurred())
	l.Observe(&engine.Report{BootID: "life-1", MemoryBytes: 10}, ledger.Engine{MemoryBytes: 10, ChecksFencing: checks})
	return l
}

// reportOf returns a report of the first life that shows the weights loaded.
func reportOf(sequence, fencing int64, carried []string, loaded ...ledger.Weights) *engine.Report {
	r := &engine.Report{BootID: "life-1", MemoryBytes: 10, Sequence: sequence, Fencing: fencing, ExecutedOrders: carried}
	for _, w := range loaded {
		r.Entries = append(r.Entries, engine.Entry{Kind: w.Kind, Name: w.Name, Version: w.Version, MemoryBytes: 5, State: engine.Loaded})
	}
	return r
}

var _ = Describe("a ledger", func() {
	for _, checks := range []bool{true, false} {
		cfg := ledger.Engine{MemoryBytes: 10, ChecksFencing: checks}

		It("counts a load from its record on and refuses what does not fit", func() {
			l := newLedger(checks)
			Expect(l.Load("o1", x, 6)).To(BeTrue())
			Expect(l.Load("o2", y, 5)).To(BeFalse())
			Expect(l.Free()).To(BeEquivalentTo(4))
			orders := l.Written(1)
			Expect(orders).To(HaveLen(1))
			Expect(orders[0].Fencing).To(BeEquivalentTo(1))
		})

		It("frees an unload only when a report proves it", func() {
			l := newLedger(checks)
			l.Load("o1", x, 5)
			l.Written(1)
			l.Answered("o1")
			l.Observe(reportOf(2, 1, []string{"o1"}, x), cfg)
			Expect(l.Find(x).State).To(Equal(ledger.Loaded))
			Expect(l.Unload("o2", x)).To(BeTrue())
			l.Written(2)
			l.Answered("o2")
			l.Observe(reportOf(1, 1, nil), cfg)
			Expect(l.Reserved()).To(BeEquivalentTo(5), "an older report")
			l.Observe(reportOf(3, 2, []string{"o1", "o2"}, x), cfg)
			Expect(l.Reserved()).To(BeEquivalentTo(5), "still in memory")
			l.Observe(reportOf(4, 2, []string{"o1", "o2"}), cfg)
			Expect(l.Entries).To(BeEmpty())
		})

		It("forgets its entries when the engine has restarted", func() {
			l := newLedger(checks)
			l.Load("o1", x, 5)
			l.Written(1)
			l.Observe(&engine.Report{BootID: "life-2", MemoryBytes: 10}, cfg)
			Expect(l.Entries).To(BeEmpty())
			Expect(l.Fencing).To(BeEquivalentTo(1))
		})

		It("counts what the engine holds without a record", func() {
			l := newLedger(checks)
			l.Observe(reportOf(1, 7, nil, y), cfg)
			Expect(l.Reserved()).To(BeEquivalentTo(5))
			Expect(l.Fencing).To(BeEquivalentTo(7))
		})

		It("survives its row", func() {
			l := newLedger(checks)
			l.Load("o1", x, 5)
			w, err := l.Write()
			Expect(err).NotTo(HaveOccurred())
			again, err := ledger.Decode(addr, table.Row{Key: w.Key, Version: 3, Value: w.Value})
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Entries).To(Equal(l.Entries))
			Expect(again.Version()).To(BeEquivalentTo(3))
		})
	}

	It("keeps the bytes of an order without an answer where fencing is ignored", func() {
		l := newLedger(false)
		cfg := ledger.Engine{MemoryBytes: 10}
		l.Load("o1", x, 5)
		l.Written(1)
		Expect(l.Resend(x)).To(BeTrue())
		l.Written(2)
		Expect(l.Answered("o1")).To(BeFalse(), "one of two copies")
		l.Observe(reportOf(2, 2, []string{"o1"}, x), cfg)
		Expect(l.Unload("o2", x)).To(BeFalse())
		Expect(l.Pinned(l.Find(x))).To(BeTrue())
	})

	It("keeps weights from being loaded again while an unload may still arrive", func() {
		l := newLedger(false)
		cfg := ledger.Engine{MemoryBytes: 10}
		l.Load("o1", x, 5)
		l.Written(1)
		l.Answered("o1")
		l.Observe(reportOf(2, 1, []string{"o1"}, x), cfg)
		l.Unload("o2", x)
		l.Written(2)
		l.Observe(reportOf(3, 2, []string{"o1", "o2"}), cfg)
		Expect(l.Reserved()).To(BeZero())
		Expect(l.Load("o3", x, 5)).To(BeFalse())
	})

	It("voids a lost load with a higher number where fencing is checked", func() {
		l := newLedger(true)
		cfg := ledger.Engine{MemoryBytes: 10, ChecksFencing: true}
		l.Load("o1", x, 5)
		l.Written(1)
		l.Observe(reportOf(2, 1, nil), cfg)
		Expect(l.Reserved()).To(BeEquivalentTo(5), "its own number does not void it")
		l.Observe(reportOf(3, 2, nil), cfg)
		Expect(l.Reserved()).To(BeZero())
	})

	It("sends one order for each weights of a batch", func() {
		l := newLedger(true)
		l.Load("o1", x, 5)
		l.Written(1)
		l.Resend(x)
		Expect(l.Unload("o2", x)).To(BeTrue())
		Expect(l.Written(2)).To(ConsistOf(HaveField("Action", engine.Unload)))
	})

	It("uses no more than operators and the engine allow", func() {
		l := newLedger(true)
		l.Observe(reportOf(2, 0, nil, x), ledger.Engine{MemoryBytes: 4, ChecksFencing: true})
		Expect(l.Free()).To(BeEquivalentTo(-1))
		l.Observe(reportOf(3, 0, nil, x), ledger.Engine{MemoryBytes: 100, ChecksFencing: true})
		Expect(l.Free()).To(BeEquivalentTo(5))
	})
})
