// Package planner carries out the plans of the shards that belong to this
// controller: it records each order in the engine's ledger row and only then
// sends it.
package planner

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/collector"
	"fireflypier.example/fireflypier/internal/demand"
	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/lease"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/rendezvous"
	"fireflypier.example/fireflypier/internal/shard"
	"fireflypier.example/fireflypier/internal/shardplan"
	"fireflypier.example/fireflypier/internal/table"
)

const (
	// leaseInterval is the time between two looks at a lease; a holder renews
	// it at every second one.
	leaseInterval = 500 * time.Millisecond
	// candidates is the number of controllers that watch a shard's lease.
	candidates = 3
	// releaseTimeout bounds the release of leases at the end.
	releaseTimeout = time.Second
)

// Engines opens connections to engines; engine.Client implements it.
type Engines interface {
	// Open connects to one life of an engine; see engine.Client.
	Open(ctx context.Context, addr netip.AddrPort, bootID string) (*engine.Session, error)
}

// Parts are what a planner stands on.
type Parts struct {
	// Name names the controller, Incarnation this start of it.
	Name        string
	Incarnation string
	// Table keeps the ledgers and leases; Engines carries out orders.
	Table   table.Table
	Engines Engines
	// Reports returns the engines' last reports, Objects the configuration
	// in force, Controllers the names of the live controllers.
	Reports     func() map[string]collector.Collected
	Objects     func() *object.Set
	Controllers func() []string
	// Interval is the time between two plans.
	Interval time.Duration
	Clock    clockwork.Clock
	Logger   hclog.Logger
	Metrics  *Metrics
}

// Planner plans the shards whose lease this controller holds. Its methods may
// be called at the same time.
type Planner struct {
	parts Parts
	wake  chan struct{}
	done  chan struct{}

	mu      sync.Mutex
	shards  map[string]*shardState
	demand  *demand.Demand
	leaving map[string]bool
}

// shardState is a shard that this controller is a candidate for. The
// planner's mutex guards the plan; the lease belongs to the lease goroutine.
type shardState struct {
	shard shard.Shard
	lease *lease.Lease
	held  bool
	plan  *shardplan.Plan
}

// New returns a planner.
func New(p Parts) *Planner {
	return &Planner{
		parts: p, wake: make(chan struct{}, 1), done: make(chan struct{}),
		shards: map[string]*shardState{}, demand: demand.New(),
	}
}

// Run plans until ctx ends, then gives its leases up. It may be called once.
func (p *Planner) Run(ctx context.Context) {
	defer close(p.done)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.keepLeases(ctx) })
	ticker := p.parts.Clock.NewTicker(p.parts.Interval)
	defer ticker.Stop()
	for {
		p.planAll(ctx, &wg)
		select {
		case <-ticker.Chan():
		case <-p.wake:
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed when Run has returned.
func (p *Planner) Done() <-chan struct{} { return p.done }

// Wake makes the planner plan now.
func (p *Planner) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Demand records what a gateway has received for a model or adapter since its
// last message, and how many requests wait for the weights there.
func (p *Planner) Demand(gateway, name string, tokens float64, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.Add(gateway, name, tokens, waiting, p.parts.Clock.Now())
}

// SetLeaving names the targets that are about to go; their models are loaded
// elsewhere.
func (p *Planner) SetLeaving(targets map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = targets
}

// Targets returns the engines of the shards that this controller holds.
func (p *Planner) Targets() map[string]object.Target {
	objects := p.parts.Objects()
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := map[string]object.Target{}
	for _, s := range p.shards {
		if !s.held {
			continue
		}
		for _, name := range s.shard.Targets {
			if t, ok := objects.Targets[name]; ok {
				targets[name] = t
			}
		}
	}
	return targets
}

// planAll plans every held shard once.
func (p *Planner) planAll(ctx context.Context, wg *conc.WaitGroup) {
	objects := p.parts.Objects()
	reports := p.parts.Reports()
	for _, s := range p.held() {
		if err := p.plan(ctx, wg, s, objects, reports); err != nil && ctx.Err() == nil {
			p.parts.Logger.Warn("shard not planned", "shard", s.shard.Key, "error", err)
		}
	}
	p.parts.Metrics.observe(p.Status())
}

func (p *Planner) held() []*shardState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var held []*shardState
	for _, key := range slices.Sorted(maps.Keys(p.shards)) {
		if p.shards[key].held {
			held = append(held, p.shards[key])
		}
	}
	return held
}

// plan makes one plan for a shard and begins to carry it out.
func (p *Planner) plan(ctx context.Context, wg *conc.WaitGroup, s *shardState, objects *object.Set, reports map[string]collector.Collected) error {
	p.mu.Lock()
	s.plan.Configure(shardplan.Work{
		Pool: s.shard.Pool, Objects: objects, Targets: s.shard.Targets, Models: s.shard.Models, Shards: s.shard.Of, Leaving: p.leaving,
	}, p.parts.Clock.Now())
	unread := s.plan.Unread()
	p.mu.Unlock()
	if err := p.read(ctx, s, unread); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	start := p.parts.Clock.Now()
	for _, name := range s.shard.Targets {
		if c, ok := reports[name]; ok {
			tell(&c, s.plan, objects.Targets[name].Address)
		}
	}
	swaps := s.plan.Next(p.demand, p.parts.Clock.Now())
	p.parts.Metrics.decided(p.parts.Clock.Since(start))
	for _, swap := range swaps {
		wg.Go(func() { p.carryOut(ctx, s, swap) })
	}
	return nil
}

// read reads the ledger rows that the plan does not know.
func (p *Planner) read(ctx context.Context, s *shardState, unread []netip.AddrPort) error {
	for _, addr := range unread {
		now := p.parts.Clock.Now()
		row, err := p.parts.Table.Get(ctx, ledgerKey(addr))
		if err != nil {
			return err
		}
		p.mu.Lock()
		err = s.plan.Read(addr, row, now)
		p.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// carryOut connects to the engines of a swap, commits it and sends its
// orders. Nothing is sent unless the commit is certain.
func (p *Planner) carryOut(ctx context.Context, s *shardState, swap *shardplan.Swap) {
	sessions, err := p.connect(ctx, swap)
	defer closeAll(sessions)
	if err != nil {
		p.parts.Logger.Info("orders put off", "shard", s.shard.Key, "reason", err)
		p.locked(func() { s.plan.Abandon(swap) })
		return
	}
	version, err := table.Commit(ctx, p.parts.Table, table.NewTx(swap.Writes()...))
	p.parts.Metrics.committed(err)
	if err != nil {
		p.parts.Logger.Warn("ledger not written", "shard", s.shard.Key, "error", err)
	}
	p.locked(func() { s.plan.Committed(swap, version, err) })
	if err != nil {
		return
	}
	var wg conc.WaitGroup
	for _, part := range swap.Parts {
		wg.Go(func() { p.send(ctx, s, part, sessions[part]) })
	}
	wg.Wait()
}

func (p *Planner) locked(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// connect opens a session for each part with orders, all at once.
func (p *Planner) connect(ctx context.Context, swap *shardplan.Swap) (map[*shardplan.Part]*engine.Session, error) {
	var mu sync.Mutex
	var first error
	sessions := map[*shardplan.Part]*engine.Session{}
	var wg conc.WaitGroup
	for _, part := range swap.Parts {
		if !part.HasOrders {
			continue
		}
		wg.Go(func() {
			session, err := p.parts.Engines.Open(ctx, part.Address, part.BootID)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				first = err
				return
			}
			sessions[part] = session
		})
	}
	wg.Wait()
	return sessions, first
}

func closeAll(sessions map[*shardplan.Part]*engine.Session) {
	for _, s := range sessions {
		s.Close()
	}
}

// send sends the orders of a part, each once.
func (p *Planner) send(ctx context.Context, s *shardState, part *shardplan.Part, session *engine.Session) {
	var answered []string
	for i := range part.Orders {
		o := &part.Orders[i]
		err := session.Order(ctx, o)
		p.parts.Metrics.ordered(o, err)
		p.parts.Logger.Info("order sent", "target", part.Target, "action", o.Action, "kind", o.Kind, "name", o.Name,
			"version", o.Version, "order_id", o.OrderID, "fencing", o.Fencing, "error", err)
		if err == nil {
			answered = append(answered, o.OrderID)
		}
	}
	p.locked(func() { s.plan.Finished(part, answered) })
}

// keepLeases renews and takes the leases of shards until ctx ends.
func (p *Planner) keepLeases(ctx context.Context) {
	ticker := p.parts.Clock.NewTicker(leaseInterval)
	defer ticker.Stop()
	for renew := true; ; renew = !renew {
		p.stepLeases(ctx, renew)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			p.release()
			return
		}
	}
}

func (p *Planner) stepLeases(ctx context.Context, renew bool) {
	names := p.parts.Controllers()
	if !slices.Contains(names, p.parts.Name) {
		names = append(names, p.parts.Name)
	}
	mine := map[string]bool{}
	for _, sh := range shard.Divide(p.parts.Objects()) {
		order := rendezvous.Order(sh.Key, names)
		rank := slices.Index(order, p.parts.Name)
		if rank >= candidates {
			continue
		}
		mine[sh.Key] = true
		if s := p.state(sh); renew || !s.lease.Held() {
			p.stepLease(ctx, s, rank)
		}
	}
	p.drop(ctx, mine)
}

func (p *Planner) stepLease(ctx context.Context, s *shardState, rank int) {
	held, err := s.lease.AcquireOrRenew(ctx, p.parts.Clock.Now(), rank)
	if err != nil && ctx.Err() == nil {
		p.parts.Logger.Debug("lease not settled", "shard", s.shard.Key, "error", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if held == s.held {
		return
	}
	s.held = held
	if held {
		s.plan = shardplan.New(uuid.NewString)
	}
	p.parts.Logger.Info("planner of a shard changed", "shard", s.shard.Key, "held", held)
}

// state returns the state of a shard, brought up to its present division.
func (p *Planner) state(sh shard.Shard) *shardState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.shards[sh.Key]
	if !ok {
		s = &shardState{
			lease: lease.New(p.parts.Table, sh.Key, p.parts.Incarnation),
			plan:  shardplan.New(uuid.NewString),
		}
		p.shards[sh.Key] = s
	}
	s.shard = sh
	return s
}

// drop gives up the shards that are no longer this controller's.
func (p *Planner) drop(ctx context.Context, mine map[string]bool) {
	p.mu.Lock()
	var dropped []*shardState
	for key, s := range p.shards {
		if !mine[key] {
			dropped = append(dropped, s)
			delete(p.shards, key)
		}
	}
	p.mu.Unlock()
	for _, s := range dropped {
		_ = s.lease.Release(ctx)
	}
}

// release gives every lease up at the end.
func (p *Planner) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	p.drop(ctx, nil)
}
