package shardplan

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/demand"
	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/standin/tablestore"
	"fireflypier.example/fireflypier/internal/table"
)

// pair is two engines that both serve model x, over one table.
type pair struct {
	store   *tablestore.Store
	objects *object.Set
	reports map[netip.AddrPort]*engine.Report
	now     time.Time
}

func newPair() *pair {
	p := &pair{
		store:   tablestore.New(),
		objects: (&object.Set{Pools: map[string]object.Pool{"p": {Kind: object.PoolEngines}}}).Clone(),
		reports: map[netip.AddrPort]*engine.Report{},
		now:     time.Unix(1_000_000, 0),
	}
	p.objects.Models["x"] = object.Model{Pool: "p", Version: "1", MemoryBytes: 5}
	for i, name := range []string{"a", "b"} {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		p.objects.Targets[name] = object.Target{Pool: "p", Address: address, VM: name, MemoryBytes: 10, ChecksFencing: true}
		p.reports[address] = &engine.Report{BootID: name, MemoryBytes: 10, Entries: []engine.Entry{
			{Kind: object.KindModel, Name: "x", Version: "1", MemoryBytes: 5, State: engine.Loaded},
		}}
	}
	return p
}

// planner returns a plan that has read the rows and recorded what the engines
// hold; lowered names an engine whose memory it believes to be too small.
func (p *pair) planner(lowered string) *Plan {
	objects := p.objects.Clone()
	if t, ok := objects.Targets[lowered]; ok {
		t.MemoryBytes = 2
		objects.Targets[lowered] = t
	}
	ids := 0
	plan := New(func() string { ids++; return fmt.Sprint(lowered, ids) })
	plan.Configure(Config{Pool: "p", Objects: objects, Targets: []string{"a", "b"}, Models: []string{"x"}, ShardCount: 1}, p.now)
	for _, address := range plan.UnreadRows() {
		row, err := p.store.Get(context.Background(), ledger.RowKey(address))
		Expect(err).NotTo(HaveOccurred())
		Expect(plan.RecordRow(address, row, p.now)).To(Succeed())
	}
	for address, r := range p.reports {
		plan.Report(address, r, p.now)
	}
	return plan
}

func (p *pair) commit(writes []table.Write) error {
	_, err := table.Commit(context.Background(), p.store, table.NewTx(writes...))
	return err
}

// ordersOnly returns the writes of the rows that have orders.
func ordersOnly(s *Transaction) []table.Write {
	var writes []table.Write
	for _, part := range s.Updates {
		if part.HasOrders {
			writes = append(writes, part.write)
		}
	}
	return writes
}

var _ = Describe("a shard's plan", func() {
	swapsOf := func() (p *pair, first, second []*Transaction) {
		p = newPair()
		for _, s := range p.planner("").NextTransactions(demand.New(), p.now) {
			Expect(p.commit(s.Writes())).To(Succeed())
		}
		one, two := p.planner("a"), p.planner("b")
		return p, one.NextTransactions(demand.New(), p.now), two.NextTransactions(demand.New(), p.now)
	}

	It("does not let two planners unload each other's last replica", func() {
		p, first, second := swapsOf()
		Expect(first).To(HaveLen(1))
		Expect(second).To(HaveLen(1))
		Expect(p.commit(first[0].Writes())).To(Succeed())
		Expect(failure.Is(p.commit(second[0].Writes()), failure.Conflict)).To(BeTrue())
	})

	It("would let them without the other replica's row in the transaction", func() {
		p, first, second := swapsOf()
		Expect(p.commit(ordersOnly(first[0]))).To(Succeed())
		Expect(p.commit(ordersOnly(second[0]))).To(Succeed())
	})

	It("leaves out models and targets that the objects no longer hold", func() {
		p := newPair()
		plan := New(func() string { return "o" })
		plan.Configure(Config{Pool: "p", Objects: p.objects, Targets: []string{"a", "gone"}, Models: []string{"gone", "x"}, ShardCount: 1}, p.now)
		Expect(plan.UnreadRows()).To(HaveLen(1))
		Expect(plan.Status(demand.New(), p.now).Models).To(HaveLen(1))
	})

	It("unloads the older of two versions that only one engine holds, for a third", func() {
		p := newPair()
		for _, name := range []string{"y", "z"} {
			p.objects.Models[name] = object.Model{Pool: "p", Version: "1", MemoryBytes: 5}
		}
		p.objects.Models["x"] = object.Model{Pool: "p", Version: "3", MemoryBytes: 5}
		held := map[string][]ledger.Weights{
			"a": {{Kind: object.KindModel, Name: "x", Version: "1"}, {Kind: object.KindModel, Name: "x", Version: "2"}},
			"b": {{Kind: object.KindModel, Name: "y", Version: "1"}, {Kind: object.KindModel, Name: "z", Version: "1"}},
		}
		for _, r := range p.reports {
			r.Entries = nil
			for _, w := range held[r.BootID] {
				r.Entries = append(r.Entries, engine.Entry{Kind: w.Kind, Name: w.Name, Version: w.Version, MemoryBytes: 5, State: engine.Loaded})
			}
		}
		plan := p.planner("")
		plan.config.Models = []string{"x", "y", "z"}
		swaps := plan.NextTransactions(demand.New(), p.now)
		var orders []engine.Order
		for _, s := range swaps {
			plan.RecordCommit(s, 1, nil)
			for _, part := range s.Updates {
				orders = append(orders, part.Orders...)
			}
		}
		Expect(orders).To(ConsistOf(And(HaveField("Action", engine.Unload), HaveField("Name", "x"), HaveField("Version", "1"))))
	})

	It("shows operators what is where, what is moving and why, and what is at risk", func() {
		p := newPair()
		p.objects.Models["y"] = object.Model{Pool: "p", Version: "1", MemoryBytes: 3}
		plan := p.planner("")
		plan.config.Models = []string{"x", "y"}
		plan.NextTransactions(demand.New(), p.now)
		status := plan.Status(demand.New(), p.now)
		Expect(status.Models).To(HaveLen(2))
		Expect(status.Models[0].AtRisk).To(BeFalse())
		Expect(status.Models[1].Unreachable).To(BeTrue())
		Expect(status.Engines[0].ReservedBytes).To(BeEquivalentTo(8))
		Expect(status.Engines[0].Moving).To(ContainElement(HaveField("Reason", "model has no replica")))
	})
})
