package shardplan

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"fireflypier.example/fireflypier/internal/demand"
	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/table"
)

// settledPlan returns a plan of a shard with the given numbers of engines,
// models and adapters, in which two replicas of every model are loaded.
func settledPlan(engines, models, adapters int) (*Plan, *demand.Estimator, time.Time, map[netip.AddrPort]*engine.Report) {
	now := time.Unix(1_000_000, 0)
	objects := (&object.Set{Pools: map[string]object.Pool{"p": {Kind: object.PoolEngines}}}).Clone()
	cfg := Config{Pool: "p", Objects: objects, ShardCount: 1}
	d := demand.New()
	d.Add("g", "none", 0, 0, now.Add(-time.Hour))
	reports := map[netip.AddrPort]*engine.Report{}
	size := int64(engines) * 100 / int64(3*models)
	for i := range models {
		name := fmt.Sprintf("model-%03d", i)
		objects.Models[name] = object.Model{Pool: "p", Version: "1", MemoryBytes: min(size, 30)}
		cfg.Models = append(cfg.Models, name)
		d.Add("g", name, float64(1000+i*37%5000), 0, now)
	}
	for i := range adapters {
		objects.Adapters[fmt.Sprintf("adapter-%04d", i)] = object.Adapter{Model: cfg.Models[i%models], Version: "1", MemoryBytes: 1}
	}
	for i := range engines {
		name := fmt.Sprintf("engine-%04d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		objects.Targets[name] = object.Target{Pool: "p", Address: address, VM: name, DataCentre: fmt.Sprint(i % 6), MemoryBytes: 100, ChecksFencing: true}
		cfg.Targets = append(cfg.Targets, name)
		reports[address] = &engine.Report{BootID: name, MemoryBytes: 100}
	}
	ids := 0
	p := New(func() string { ids++; return fmt.Sprintf("%036d", ids) })
	p.Configure(cfg, now)
	for _, a := range p.UnreadRows() {
		_ = p.RecordRow(a, table.Row{}, now)
	}
	version := int64(0)
	for range 40 {
		now = now.Add(time.Second)
		for a, r := range reports {
			p.Report(a, r, now)
		}
		for _, tx := range p.NextTransactions(d, now) {
			version++
			p.RecordCommit(tx, version, nil)
			for _, update := range tx.Updates {
				executeOrders(p, update, reports[update.Address])
			}
		}
	}
	return p, d, now, reports
}

// executeOrders executes the orders of an update immediately.
func executeOrders(p *Plan, update *EngineUpdate, r *engine.Report) {
	var answered []string
	for _, o := range update.Orders {
		r.Fencing = o.Fencing
		if o.Action == engine.Load {
			r.Entries = append(r.Entries, engine.Entry{
				Kind: o.Kind, Name: o.Name, Version: o.Version, MemoryBytes: o.MemoryBytes, State: engine.Loaded, OrderID: o.OrderID,
			})
		}
		answered = append(answered, o.OrderID)
	}
	r.Sequence++
	p.RecordAnswers(update, answered)
}

// BenchmarkNextTransactions measures one decision of a plan without pending
// work, and reports the mean size of a ledger row.
func BenchmarkNextTransactions(b *testing.B) {
	for _, size := range []struct{ engines, models, adapters int }{
		{9, 17, 55}, {64, 16, 116}, {256, 65, 465}, {1100, 280, 2000},
	} {
		b.Run(fmt.Sprintf("engines=%d/models=%d/adapters=%d", size.engines, size.models, size.adapters), func(b *testing.B) {
			p, d, now, reports := settledPlan(size.engines, size.models, size.adapters)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				for a, r := range reports {
					p.Report(a, r, now)
				}
				for _, tx := range p.NextTransactions(d, now) {
					p.Abandon(tx)
					for _, update := range tx.Updates {
						update.engine.ledger = update.ledger
					}
				}
			}
			b.ReportMetric(rowBytes(p), "row-bytes")
		})
	}
}

// rowBytes returns the mean size of a ledger row with its key, in bytes.
func rowBytes(p *Plan) float64 {
	total := 0
	for _, e := range p.engines {
		if w, err := e.ledger.Write(); err == nil {
			total += len(w.Value) + len(ledger.RowKey(e.address))
		}
	}
	return float64(total) / float64(len(p.engines))
}
