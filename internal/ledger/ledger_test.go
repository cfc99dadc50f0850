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

// newLedger returns the ledger of an engine with ten bytes, after the report of its
// first boot.
func newLedger(checksFencing bool) *ledger.Ledger {
	l, err := ledger.Decode(addr, table.Row{})
	Expect(err).NotTo(HaveOccurred())
	l.Observe(&engine.Report{BootID: "boot-1", MemoryBytes: 10}, ledger.Engine{MemoryBytes: 10, ChecksFencing: checksFencing})
	return l
}

// reportOf returns a report of the first boot that lists the weights as loaded,
// with five bytes each.
func reportOf(sequence, fencing int64, executed []string, loaded ...ledger.Weights) *engine.Report {
	r := &engine.Report{BootID: "boot-1", MemoryBytes: 10, Sequence: sequence, Fencing: fencing, ExecutedOrders: executed}
	for _, w := range loaded {
		r.Entries = append(r.Entries, engine.Entry{Kind: w.Kind, Name: w.Name, Version: w.Version, MemoryBytes: 5, State: engine.Loaded})
	}
	return r
}

var _ = Describe("Ledger", func() {
	for _, checksFencing := range []bool{true, false} {
		cfg := ledger.Engine{MemoryBytes: 10, ChecksFencing: checksFencing}

		It("reserves the bytes of a load when it is recorded and rejects a load that does not fit", func() {
			l := newLedger(checksFencing)
			Expect(l.Load("o1", x, 6)).To(BeTrue())
			Expect(l.Load("o2", y, 5)).To(BeFalse())
			Expect(l.Free()).To(BeEquivalentTo(4))
			orders := l.Written(1)
			Expect(orders).To(HaveLen(1))
			Expect(orders[0].Fencing).To(BeEquivalentTo(1))
		})

		It("frees the bytes of an unload only when a report proves it", func() {
			l := newLedger(checksFencing)
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

		It("discards its entries when the engine has restarted", func() {
			l := newLedger(checksFencing)
			l.Load("o1", x, 5)
			l.Written(1)
			l.Observe(&engine.Report{BootID: "boot-2", MemoryBytes: 10}, cfg)
			Expect(l.Entries).To(BeEmpty())
			Expect(l.Fencing).To(BeEquivalentTo(1))
		})

		It("adds entries for weights in memory that are not recorded", func() {
			l := newLedger(checksFencing)
			l.Observe(reportOf(1, 7, nil, y), cfg)
			Expect(l.Reserved()).To(BeEquivalentTo(5))
			Expect(l.Fencing).To(BeEquivalentTo(7))
		})

		It("is the same after encoding and decoding", func() {
			l := newLedger(checksFencing)
			l.Load("o1", x, 5)
			w, err := l.Write()
			Expect(err).NotTo(HaveOccurred())
			decoded, err := ledger.Decode(addr, table.Row{Key: w.Key, Version: 3, Value: w.Value})
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded.Entries).To(Equal(l.Entries))
			Expect(decoded.Version()).To(BeEquivalentTo(3))
		})
	}

	It("pins the bytes of an unanswered load on an engine that ignores fencing", func() {
		l := newLedger(false)
		cfg := ledger.Engine{MemoryBytes: 10}
		l.Load("o1", x, 5)
		l.Written(1)
		Expect(l.Resend(x)).To(BeTrue())
		l.Written(2)
		Expect(l.Answered("o1")).To(BeFalse(), "one of two copies was answered")
		l.Observe(reportOf(2, 2, []string{"o1"}, x), cfg)
		Expect(l.Unload("o2", x)).To(BeFalse())
		Expect(l.Pinned(l.Find(x))).To(BeTrue())
	})

	It("rejects a load while an unload of the same weights may still arrive", func() {
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

	It("frees a lost load after a higher fencing token on an engine that checks fencing", func() {
		l := newLedger(true)
		cfg := ledger.Engine{MemoryBytes: 10, ChecksFencing: true}
		l.Load("o1", x, 5)
		l.Written(1)
		l.Observe(reportOf(2, 1, nil), cfg)
		Expect(l.Reserved()).To(BeEquivalentTo(5), "its own fencing token does not free it")
		l.Observe(reportOf(3, 2, nil), cfg)
		Expect(l.Reserved()).To(BeZero())
	})

	It("sends one order per weights in a batch", func() {
		l := newLedger(true)
		l.Load("o1", x, 5)
		l.Written(1)
		l.Resend(x)
		Expect(l.Unload("o2", x)).To(BeTrue())
		Expect(l.Written(2)).To(ConsistOf(HaveField("Action", engine.Unload)))
	})

	It("uses the minimum of the configured and the reported memory", func() {
		l := newLedger(true)
		l.Observe(reportOf(2, 0, nil, x), ledger.Engine{MemoryBytes: 4, ChecksFencing: true})
		Expect(l.Free()).To(BeEquivalentTo(-1))
		l.Observe(reportOf(3, 0, nil, x), ledger.Engine{MemoryBytes: 100, ChecksFencing: true})
		Expect(l.Free()).To(BeEquivalentTo(5))
	})
})
