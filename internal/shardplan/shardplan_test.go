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

// enginePair simulates two engines that both serve model x, and one table.
type enginePair struct {
	store   *tablestore.Store
	objects *object.Set
	reports map[netip.AddrPort]*engine.Report
	now     time.Time
}

func newEnginePair() *enginePair {
	p := &enginePair{
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

// planner returns a plan with the rows and reports of both engines. In its
// configuration the memory of the engine called lowered is too small for x.
func (p *enginePair) planner(lowered string) *Plan {
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

func (p *enginePair) commit(writes []table.Write) error {
	_, err := table.Commit(context.Background(), p.store, table.NewTx(writes...))
	return err
}

// writesWithOrders returns the writes of the rows that have orders.
func writesWithOrders(tx *Transaction) []table.Write {
	var writes []table.Write
	for _, update := range tx.Updates {
		if update.HasOrders {
			writes = append(writes, update.write)
		}
	}
	return writes
}

var _ = Describe("a shard's plan", func() {
	concurrentTransactions := func() (p *enginePair, first, second []*Transaction) {
		p = newEnginePair()
		for _, tx := range p.planner("").NextTransactions(demand.New(), p.now) {
			Expect(p.commit(tx.Writes())).To(Succeed())
		}
		one, two := p.planner("a"), p.planner("b")
		return p, one.NextTransactions(demand.New(), p.now), two.NextTransactions(demand.New(), p.now)
	}

	It("does not let two planners unload each other's last replica", func() {
		p, first, second := concurrentTransactions()
		Expect(first).To(HaveLen(1))
		Expect(second).To(HaveLen(1))
		Expect(p.commit(first[0].Writes())).To(Succeed())
		Expect(failure.Is(p.commit(second[0].Writes()), failure.Conflict)).To(BeTrue())
	})

	It("would commit both unloads if the transactions omitted the other replica's row", func() {
		p, first, second := concurrentTransactions()
		Expect(p.commit(writesWithOrders(first[0]))).To(Succeed())
		Expect(p.commit(writesWithOrders(second[0]))).To(Succeed())
	})

	It("ignores models and targets that are missing from the objects", func() {
		p := newEnginePair()
		plan := New(func() string { return "o" })
		plan.Configure(Config{Pool: "p", Objects: p.objects, Targets: []string{"a", "missing"}, Models: []string{"missing", "x"}, ShardCount: 1}, p.now)
		Expect(plan.UnreadRows()).To(HaveLen(1))
		Expect(plan.Status(demand.New(), p.now).Models).To(HaveLen(1))
	})

	It("unloads the older of two versions on the only engine with the model, to load a third", func() {
		p := newEnginePair()
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
		txs := plan.NextTransactions(demand.New(), p.now)
		var orders []engine.Order
		for _, tx := range txs {
			plan.RecordCommit(tx, 1, nil)
			for _, update := range tx.Updates {
				orders = append(orders, update.Orders...)
			}
		}
		Expect(orders).To(ConsistOf(And(HaveField("Action", engine.Unload), HaveField("Name", "x"), HaveField("Version", "1"))))
	})

	It("reports replicas, operations in progress with their reason, and models at risk", func() {
		p := newEnginePair()
		p.objects.Models["y"] = object.Model{Pool: "p", Version: "1", MemoryBytes: 3}
		plan := p.planner("")
		plan.config.Models = []string{"x", "y"}
		plan.NextTransactions(demand.New(), p.now)
		status := plan.Status(demand.New(), p.now)
		Expect(status.Models).To(HaveLen(2))
		Expect(status.Models[0].AtRisk).To(BeFalse())
		Expect(status.Models[1].Unreachable).To(BeTrue())
		Expect(status.Engines[0].ReservedBytes).To(BeEquivalentTo(8))
		Expect(status.Engines[0].Operations).To(ContainElement(HaveField("Reason", "model has no replica")))
	})
})
