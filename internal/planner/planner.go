// Package planner carries out placement: it records each order in the
// engine's ledger row and only then sends it.
package planner

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/collector"
	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/placement"
	"fireflypier.example/fireflypier/internal/table"
)

const defaultLoadsAtOnce = 2

// Engines carries out orders; engine.Client implements it.
type Engines interface {
	// Order sends an order; see engine.Client.
	Order(ctx context.Context, addr netip.AddrPort, o *engine.Order) error
}

// Planner plans the pools that belong to this controller.
type Planner struct {
	table    table.Table
	engines  Engines
	reports  func() map[string]collector.Collected
	objects  func() *object.Set
	owns     func(pool string) bool
	clock    clockwork.Clock
	logger   hclog.Logger
	interval time.Duration
	done     chan struct{}
}

// Parts are what a planner stands on.
type Parts struct {
	// Table keeps the ledgers; Engines carries out orders.
	Table   table.Table
	Engines Engines
	// Reports returns the engines' last reports, Objects the configuration
	// in force, Owns whether this controller plans a pool.
	Reports func() map[string]collector.Collected
	Objects func() *object.Set
	Owns    func(pool string) bool
	// Interval is the time between two plans.
	Interval time.Duration
	Clock    clockwork.Clock
	Logger   hclog.Logger
}

// New returns a planner.
func New(p Parts) *Planner {
	return &Planner{
		table: p.Table, engines: p.Engines, reports: p.Reports, objects: p.Objects,
		owns: p.Owns, clock: p.Clock, logger: p.Logger, interval: p.Interval,
		done: make(chan struct{}),
	}
}

// Run plans until ctx ends. It may be called once.
func (p *Planner) Run(ctx context.Context) {
	defer close(p.done)
	ticker := p.clock.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.planAll(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed when Run has returned.
func (p *Planner) Done() <-chan struct{} { return p.done }

func (p *Planner) planAll(ctx context.Context) {
	objects := p.objects()
	for name, pool := range objects.Pools {
		if pool.Kind != object.PoolEngines || !p.owns(name) {
			continue
		}
		if err := p.plan(ctx, objects, name, &pool); err != nil && ctx.Err() == nil {
			p.logger.Warn("pool not planned", "pool", name, "error", err)
		}
	}
}

// plan makes one plan for a pool and carries it out.
func (p *Planner) plan(ctx context.Context, objects *object.Set, name string, pool *object.Pool) error {
	ledgers, err := p.observe(ctx, objects, name)
	if err != nil {
		return err
	}
	limit := pool.LoadsAtOnce
	if limit == 0 {
		limit = defaultLoadsAtOnce
	}
	limit -= loading(ledgers)
	for _, load := range placement.New(objects, name).Next(ledgers, limit) {
		if err := p.carryOut(ctx, ledgers[load.Target], objects.Targets[load.Target].Address, load); err != nil {
			return err
		}
	}
	return nil
}

func loading(ledgers map[string]*ledger.Ledger) int {
	n := 0
	for _, l := range ledgers {
		for _, e := range l.Entries {
			if e.State == ledger.Loading {
				n++
			}
		}
	}
	return n
}

// observe reads the ledgers of a pool's reachable engines and brings them up
// to the last reports.
func (p *Planner) observe(ctx context.Context, objects *object.Set, pool string) (map[string]*ledger.Ledger, error) {
	reports := p.reports()
	ledgers := map[string]*ledger.Ledger{}
	for _, target := range objects.PoolTargets(pool) {
		collected, ok := reports[target]
		if !ok || !collected.Reachable {
			continue
		}
		row, err := p.table.Get(ctx, ledger.RowKey(target))
		if err != nil {
			return nil, err
		}
		l, err := ledger.Decode(target, row)
		if err != nil {
			return nil, err
		}
		if l.Observe(collected.Report, objects.Targets[target].MemoryBytes) {
			if err := p.write(ctx, l); err != nil {
				return nil, err
			}
		}
		ledgers[target] = l
	}
	return ledgers, nil
}

func (p *Planner) write(ctx context.Context, l *ledger.Ledger) error {
	w, err := l.Write()
	if err != nil {
		return err
	}
	version, err := table.Commit(ctx, p.table, table.NewTx(w))
	if err != nil {
		return err
	}
	l.Written(version)
	return nil
}

func (p *Planner) carryOut(ctx context.Context, l *ledger.Ledger, addr netip.AddrPort, load placement.Load) error {
	order, ok := l.Reserve(uuid.NewString(), object.KindModel, load.Model, load.Version, load.MemoryBytes)
	if !ok {
		return nil
	}
	if err := p.write(ctx, l); err != nil {
		return err
	}
	p.logger.Info("order sent", "target", load.Target, "action", order.Action, "model", load.Model, "order_id", order.OrderID, "fencing", order.Fencing)
	return p.engines.Order(ctx, addr, &order)
}
