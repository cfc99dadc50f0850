// Package planner runs the placement of the shards whose lease this controller
// holds. It records each order in the ledger row of the engine before it sends
// the order.
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
	// leaseInterval is the time between two checks of a lease. A holder renews
	// its lease at every second check.
	leaseInterval = 500 * time.Millisecond
	// leaseCandidates is the number of controllers that may acquire the lease of
	// a shard.
	leaseCandidates = 3
	// releaseTimeout limits the release of all leases at shutdown.
	releaseTimeout = time.Second
)

// Engines opens sessions with engines. It is implemented by engine.Client.
type Engines interface {
	// Open connects to the engine at addr. It fails if the boot ID of the engine
	// is not bootID; see engine.Client.Open.
	Open(ctx context.Context, addr netip.AddrPort, bootID string) (*engine.Session, error)
}

// Config holds the settings and dependencies of a Planner. All fields are
// required.
type Config struct {
	// Name is the name of the controller. Incarnation is unique to this run of
	// its process and identifies it as the holder of leases.
	Name        string
	Incarnation string
	// Table stores the ledgers and leases; Engines connects to the engines that
	// execute the orders.
	Table   table.Table
	Engines Engines
	// Reports returns the latest report of each engine by target name, Objects
	// the configuration in force, and Controllers the names of the live
	// controllers.
	Reports     func() map[string]collector.LastReport
	Objects     func() *object.Set
	Controllers func() []string
	// Interval is the time between two rounds of planning.
	Interval time.Duration
	Clock    clockwork.Clock
	Logger   hclog.Logger
	Metrics  *Metrics
}

// Planner plans the shards whose lease this controller holds. Its methods are
// safe for concurrent use.
type Planner struct {
	cfg  Config
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	shards  map[string]*shardState
	demand  *demand.Estimator
	leaving map[string]bool
}

// shardState is the state of a shard whose lease this controller may acquire.
// The mutex of the planner guards the plan; only the lease goroutine uses the
// lease.
type shardState struct {
	shard shard.Shard
	lease *lease.Lease
	held  bool
	plan  *shardplan.Plan
}

// New returns a Planner. Run starts it.
func New(c Config) *Planner {
	return &Planner{
		cfg: c, wake: make(chan struct{}, 1), done: make(chan struct{}),
		shards: map[string]*shardState{}, demand: demand.New(),
	}
}

// Run plans until ctx ends, then releases all leases. It may be called once.
func (p *Planner) Run(ctx context.Context) {
	defer close(p.done)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.runLeases(ctx) })
	ticker := p.cfg.Clock.NewTicker(p.cfg.Interval)
	defer ticker.Stop()
	for {
		p.planShards(ctx, &wg)
		select {
		case <-ticker.Chan():
		case <-p.wake:
		case <-ctx.Done():
			return
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (p *Planner) Done() <-chan struct{} { return p.done }

// Wake starts a round of planning without waiting for the interval to pass. It
// does not block.
func (p *Planner) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// RecordDemand records how many tokens of work a gateway has received for a
// model or adapter since its last report, and how many requests wait at the
// gateway for the weights to be loaded.
func (p *Planner) RecordDemand(gateway, name string, tokens float64, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.Add(gateway, name, tokens, waiting, p.cfg.Clock.Now())
}

// SetLeaving replaces the set of targets that are about to be removed. Their
// models are loaded on other engines.
func (p *Planner) SetLeaving(targets map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = targets
}

// Targets returns the engines, by target name, of the shards whose lease this
// controller holds.
func (p *Planner) Targets() map[string]object.Target {
	objects := p.cfg.Objects()
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

// planShards runs one round of planning for every shard whose lease is held.
func (p *Planner) planShards(ctx context.Context, wg *conc.WaitGroup) {
	objects := p.cfg.Objects()
	reports := p.cfg.Reports()
	for _, s := range p.held() {
		if err := p.plan(ctx, wg, s, objects, reports); err != nil && ctx.Err() == nil {
			p.cfg.Logger.Warn("shard planning failed", "shard", s.shard.Key, "error", err)
		}
	}
	p.cfg.Metrics.setGauges(p.Status())
}

// held returns the shards whose lease this controller holds, sorted by key.
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

// plan runs one round of planning for a shard and starts to execute the
// resulting transactions.
func (p *Planner) plan(ctx context.Context, wg *conc.WaitGroup, s *shardState, objects *object.Set, reports map[string]collector.LastReport) error {
	p.mu.Lock()
	s.plan.Configure(shardplan.Config{
		Pool: s.shard.Pool, Objects: objects, Targets: s.shard.Targets, Models: s.shard.Models, ShardCount: s.shard.PoolShards, Leaving: p.leaving,
	}, p.cfg.Clock.Now())
	unread := s.plan.UnreadRows()
	p.mu.Unlock()
	if err := p.readRows(ctx, s, unread); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	start := p.cfg.Clock.Now()
	for _, name := range s.shard.Targets {
		if c, ok := reports[name]; ok {
			recordReport(&c, s.plan, objects.Targets[name].Address)
		}
	}
	txs := s.plan.NextTransactions(p.demand, p.cfg.Clock.Now())
	p.cfg.Metrics.observeDecision(p.cfg.Clock.Since(start))
	for _, tx := range txs {
		wg.Go(func() { p.execute(ctx, s, tx) })
	}
	return nil
}

// readRows reads the given ledger rows from the table into the plan.
func (p *Planner) readRows(ctx context.Context, s *shardState, unread []netip.AddrPort) error {
	for _, addr := range unread {
		now := p.cfg.Clock.Now()
		row, err := p.cfg.Table.Get(ctx, ledgerKey(addr))
		if err != nil {
			return err
		}
		p.mu.Lock()
		err = s.plan.RecordRow(addr, row, now)
		p.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// execute connects to the engines of a transaction, commits it and sends its
// orders. It sends no order unless the commit is known to have succeeded.
func (p *Planner) execute(ctx context.Context, s *shardState, tx *shardplan.Transaction) {
	sessions, err := p.connect(ctx, tx)
	defer closeSessions(sessions)
	if err != nil {
		p.cfg.Logger.Info("orders deferred", "shard", s.shard.Key, "reason", err)
		p.withLock(func() { s.plan.Abandon(tx) })
		return
	}
	version, err := table.Commit(ctx, p.cfg.Table, table.NewTx(tx.Writes()...))
	p.cfg.Metrics.countCommit(err)
	if err != nil {
		p.cfg.Logger.Warn("ledger commit failed", "shard", s.shard.Key, "error", err)
	}
	p.withLock(func() { s.plan.RecordCommit(tx, version, err) })
	if err != nil {
		return
	}
	var wg conc.WaitGroup
	for _, update := range tx.Updates {
		wg.Go(func() { p.sendOrders(ctx, s, update, sessions[update]) })
	}
	wg.Wait()
}

func (p *Planner) withLock(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// connect opens a session for each update with orders, all concurrently. On
// error, the caller must still close the returned sessions.
func (p *Planner) connect(ctx context.Context, tx *shardplan.Transaction) (map[*shardplan.EngineUpdate]*engine.Session, error) {
	var mu sync.Mutex
	var openErr error
	sessions := map[*shardplan.EngineUpdate]*engine.Session{}
	var wg conc.WaitGroup
	for _, update := range tx.Updates {
		if !update.HasOrders {
			continue
		}
		wg.Go(func() {
			session, err := p.cfg.Engines.Open(ctx, update.Address, update.BootID)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				openErr = err
				return
			}
			sessions[update] = session
		})
	}
	wg.Wait()
	return sessions, openErr
}

func closeSessions(sessions map[*shardplan.EngineUpdate]*engine.Session) {
	for _, s := range sessions {
		s.Close()
	}
}

// sendOrders sends each order of an update once.
func (p *Planner) sendOrders(ctx context.Context, s *shardState, update *shardplan.EngineUpdate, session *engine.Session) {
	var answered []string
	for i := range update.Orders {
		o := &update.Orders[i]
		err := session.Order(ctx, o)
		p.cfg.Metrics.countOrder(o, err)
		p.cfg.Logger.Info("order sent", "target", update.Target, "action", o.Action, "kind", o.Kind, "name", o.Name,
			"version", o.Version, "order_id", o.OrderID, "fencing", o.Fencing, "error", err)
		if err == nil {
			answered = append(answered, o.OrderID)
		}
	}
	p.withLock(func() { s.plan.RecordAnswers(update, answered) })
}

// runLeases acquires and renews the leases of shards until ctx ends, then
// releases them.
func (p *Planner) runLeases(ctx context.Context) {
	ticker := p.cfg.Clock.NewTicker(leaseInterval)
	defer ticker.Stop()
	for renew := true; ; renew = !renew {
		p.updateLeases(ctx, renew)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			p.releaseAll()
			return
		}
	}
}

// updateLeases checks the leases of all shards for which this controller is a
// candidate by rendezvous hashing, and releases the others. It renews held
// leases only if renew is set.
func (p *Planner) updateLeases(ctx context.Context, renew bool) {
	names := p.cfg.Controllers()
	if !slices.Contains(names, p.cfg.Name) {
		names = append(names, p.cfg.Name)
	}
	own := map[string]bool{}
	for _, sh := range shard.Partition(p.cfg.Objects()) {
		order := rendezvous.Order(sh.Key, names)
		rank := slices.Index(order, p.cfg.Name)
		if rank >= leaseCandidates {
			continue
		}
		own[sh.Key] = true
		if s := p.stateFor(sh); renew || !s.lease.Held() {
			p.updateLease(ctx, s, rank)
		}
	}
	p.releaseExcept(ctx, own)
}

// updateLease renews the lease of s or tries to acquire it. After the lease is
// acquired, the plan starts empty and reads all ledger rows again.
func (p *Planner) updateLease(ctx context.Context, s *shardState, rank int) {
	held, err := s.lease.AcquireOrRenew(ctx, p.cfg.Clock.Now(), rank)
	if err != nil && ctx.Err() == nil {
		p.cfg.Logger.Debug("lease update failed", "shard", s.shard.Key, "error", err)
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
	p.cfg.Logger.Info("shard lease changed", "shard", s.shard.Key, "held", held)
}

// stateFor returns the state of a shard, creating it if necessary, with the
// targets and models that the shard has now.
func (p *Planner) stateFor(sh shard.Shard) *shardState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.shards[sh.Key]
	if !ok {
		s = &shardState{
			lease: lease.New(p.cfg.Table, sh.Key, p.cfg.Incarnation),
			plan:  shardplan.New(uuid.NewString),
		}
		p.shards[sh.Key] = s
	}
	s.shard = sh
	return s
}

// releaseExcept removes all shards that are not in own and releases their
// leases.
func (p *Planner) releaseExcept(ctx context.Context, own map[string]bool) {
	p.mu.Lock()
	var dropped []*shardState
	for key, s := range p.shards {
		if !own[key] {
			dropped = append(dropped, s)
			delete(p.shards, key)
		}
	}
	p.mu.Unlock()
	for _, s := range dropped {
		_ = s.lease.Release(ctx)
	}
}

// releaseAll releases all leases, within releaseTimeout.
func (p *Planner) releaseAll() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	p.releaseExcept(ctx, nil)
}
