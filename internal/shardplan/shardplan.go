// Package shardplan plans the engines of one shard. It keeps their ledgers, runs
// placement, and returns the ledger rows to write and the orders to send after
// the write. It performs no I/O; package planner executes its transactions.
package shardplan

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/demand"
	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/loadlimit"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/placement"
	"fireflypier.example/fireflypier/internal/table"
)

const (
	defaultResendAfter = 5 * time.Second
	defaultDownAfter   = 3 * time.Second
	// defaultSettleTime is how long demand is observed before replicas are
	// moved for it.
	defaultSettleTime = 45 * time.Second
)

// Config describes the shard to plan.
type Config struct {
	// Pool is the name of the pool, Objects the configuration in force.
	Pool    string
	Objects *object.Set
	// Targets and Models are the names of those that belong to the shard.
	// Models of the pool that belong to other shards are not changed.
	Targets []string
	Models  []string
	// Leaving is the set of targets that are about to be removed. Their
	// replicas are loaded on other engines.
	Leaving map[string]bool
	// ShardCount is the number of shards of the pool. Each gets an equal part
	// of the limits on loads.
	ShardCount int
}

// Plan is the planning state of one shard. It is not safe for concurrent use.
type Plan struct {
	newID       func() string
	resendAfter time.Duration
	downAfter   time.Duration
	settleTime  time.Duration

	config      Config
	engines     map[netip.AddrPort]*engineState
	placement   *placement.Placement
	loadPermits *loadlimit.Limiter
	// reasons holds the reason of each order by order ID.
	reasons map[string]string
}

// engineState is the planning state of one engine.
type engineState struct {
	target  string
	address netip.AddrPort
	// ledger is nil until the row has been read.
	ledger *ledger.Ledger
	// dirty is set if the ledger has changes that have not been written.
	dirty bool
	// readAt is when the row was read. Reports requested before that time are
	// ignored.
	readAt time.Time
	// busy is set while a transaction or orders for the engine are in progress.
	busy bool
	// report is the latest report. reachable is set if the last request for a
	// report was answered; lastSeen is the time of the last one that was.
	report    *engine.Report
	reachable bool
	lastSeen  time.Time
	// mustWrite is set if the row must be written even if it is not dirty. The
	// rows of all engines with the same group are written in one transaction.
	mustWrite bool
	group     netip.AddrPort
	// unfinishedSince is when each order without effect was first observed.
	unfinishedSince map[orderKey]time.Time
}

// orderKey identifies an order and the fencing token of its ledger entry.
type orderKey struct {
	orderID string
	fencing int64
}

// Option configures a Plan.
type Option func(*Plan)

// WithResendAfter sets how long an order may show no effect before another copy
// is sent. It should exceed the delay of reports.
func WithResendAfter(d time.Duration) Option { return func(p *Plan) { p.resendAfter = d } }

// WithDownAfter sets how long an engine may fail to answer before its replicas
// are replaced on other engines.
func WithDownAfter(d time.Duration) Option { return func(p *Plan) { p.downAfter = d } }

// WithSettleTime sets how long demand is observed before replicas are moved for
// it.
func WithSettleTime(d time.Duration) Option { return func(p *Plan) { p.settleTime = d } }

// WithPlacement replaces the default placement.
func WithPlacement(pl *placement.Placement) Option { return func(p *Plan) { p.placement = pl } }

// New returns a Plan without engines; call Configure before other methods. newID
// must return a unique order ID at each call.
func New(newID func() string, opts ...Option) *Plan {
	p := &Plan{
		newID: newID, resendAfter: defaultResendAfter, downAfter: defaultDownAfter,
		settleTime: defaultSettleTime, engines: map[netip.AddrPort]*engineState{},
		placement: placement.New(), loadPermits: loadlimit.New(), reasons: map[string]string{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Configure replaces the configuration. It removes the state of engines that are
// no longer targets; their ledger rows stay in the table. Targets and models that
// are missing from cfg.Objects are ignored.
func (p *Plan) Configure(cfg Config, now time.Time) {
	cfg.Targets = existing(cfg.Targets, cfg.Objects.Targets)
	cfg.Models = existing(cfg.Models, cfg.Objects.Models)
	p.config = cfg
	pool := cfg.Objects.Pools[cfg.Pool]
	p.loadPermits.SetLimits(pool.LoadsPerSecond, pool.LoadsAtOnce, cfg.ShardCount)
	configured := map[netip.AddrPort]bool{}
	for _, name := range cfg.Targets {
		address := cfg.Objects.Targets[name].Address
		configured[address] = true
		e, ok := p.engines[address]
		if !ok {
			e = &engineState{address: address, lastSeen: now, unfinishedSince: map[orderKey]time.Time{}}
			p.engines[address] = e
		}
		e.target = name
	}
	maps.DeleteFunc(p.engines, func(a netip.AddrPort, _ *engineState) bool { return !configured[a] })
}

// existing returns the names that are keys of objects.
func existing[V any](names []string, objects map[string]V) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		_, ok := objects[name]
		return !ok
	})
}

// UnreadRows returns the addresses of the engines whose ledger rows must be read
// and passed to RecordRow.
func (p *Plan) UnreadRows() []netip.AddrPort {
	var unread []netip.AddrPort
	for _, e := range p.sortedEngines() {
		if e.ledger == nil {
			unread = append(unread, e.address)
		}
	}
	return unread
}

// sortedEngines returns the engines sorted by address.
func (p *Plan) sortedEngines() []*engineState {
	engines := slices.Collect(maps.Values(p.engines))
	slices.SortFunc(engines, func(a, b *engineState) int { return a.address.Compare(b.address) })
	return engines
}

// RecordRow records the ledger row of the engine at addr, read at the time now.
// It fails if the row cannot be decoded. Rows of unknown engines, and of engines
// whose ledger has already been read, are ignored.
func (p *Plan) RecordRow(addr netip.AddrPort, row table.Row, now time.Time) error {
	e, ok := p.engines[addr]
	if !ok || e.ledger != nil {
		return nil
	}
	l, err := ledger.Decode(addr, row)
	if err != nil {
		return err
	}
	e.ledger = l
	e.dirty = false
	e.readAt = now
	e.report = nil
	return nil
}

// Report records the report of an engine and the time at which it was requested.
// A nil report means that the engine did not answer.
func (p *Plan) Report(addr netip.AddrPort, r *engine.Report, requestedAt time.Time) {
	e, ok := p.engines[addr]
	if !ok {
		return
	}
	e.reachable = r != nil
	if r == nil {
		return
	}
	e.lastSeen = requestedAt
	if !requestedAt.Before(e.readAt) {
		e.report = r
	}
}

// Transaction is a table transaction to commit, and the orders that may be sent
// after the commit.
type Transaction struct {
	// Updates are the ledger rows to write, one per engine.
	Updates []*EngineUpdate
}

// EngineUpdate is the ledger row of one engine in a transaction, with the orders
// for that engine.
type EngineUpdate struct {
	// Target and Address identify the engine, BootID the boot that the orders
	// are for. Orders must be sent over a connection that was opened to that
	// boot before the row is written.
	Target  string
	Address netip.AddrPort
	BootID  string
	// HasOrders is set if there are orders to send after the commit.
	HasOrders bool
	// Orders may be sent, each once. RecordCommit sets them.
	Orders []engine.Order

	write  table.Write
	engine *engineState
	ledger *ledger.Ledger
}

// Writes returns the writes of the transaction.
func (tx *Transaction) Writes() []table.Write {
	writes := make([]table.Write, 0, len(tx.Updates))
	for _, update := range tx.Updates {
		writes = append(writes, update.write)
	}
	return writes
}

// NextTransactions applies the reports to the ledgers, runs placement, and
// returns the transactions to commit. Each of them must be passed to
// RecordCommit or Abandon.
func (p *Plan) NextTransactions(d *demand.Estimator, now time.Time) []*Transaction {
	for _, e := range p.sortedEngines() {
		e.group = e.address
		e.mustWrite = false
		if e.ready() {
			p.applyReport(e, now)
		}
	}
	p.decide(d, now)
	var txs []*Transaction
	groups := map[netip.AddrPort]*Transaction{}
	for _, e := range p.sortedEngines() {
		update := e.update()
		if update == nil {
			continue
		}
		tx, ok := groups[e.group]
		if !ok {
			tx = &Transaction{}
			groups[e.group] = tx
			txs = append(txs, tx)
		}
		tx.Updates = append(tx.Updates, update)
	}
	return txs
}

// ready reports whether the ledger may be changed now: it has been read, the
// engine has answered, and nothing is in progress.
func (e *engineState) ready() bool {
	return e.ledger != nil && !e.busy && e.report != nil && e.reachable
}

// applyReport updates the ledger of e from its report, and resends orders if the
// engine has not restarted.
func (p *Plan) applyReport(e *engineState, now time.Time) {
	target := p.config.Objects.Targets[e.target]
	cfg := ledger.Engine{MemoryBytes: target.MemoryBytes, ChecksFencing: target.ChecksFencing}
	if e.ledger.Observe(e.report, cfg) {
		e.dirty = true
	}
	if e.report.BootID == e.ledger.BootID {
		p.resend(e, now)
	}
}

// resend records another copy of each order that has shown no effect for
// resendAfter, including loads of weights that the engine has lost.
func (p *Plan) resend(e *engineState, now time.Time) {
	unfinishedSince := map[orderKey]time.Time{}
	for i := range e.ledger.Entries {
		entry := &e.ledger.Entries[i]
		if entry.State == ledger.Loaded || entry.MemoryBytes == 0 || e.inProgress(entry) {
			continue
		}
		key := orderKey{entry.OrderID, entry.Fencing}
		at, ok := e.unfinishedSince[key]
		if !ok {
			at = now
		}
		unfinishedSince[key] = at
		if now.Sub(at) >= p.resendAfter && e.ledger.Resend(entry.Weights) {
			delete(unfinishedSince, key)
			e.dirty = true
		}
	}
	e.unfinishedSince = unfinishedSince
}

// inProgress reports whether the report shows that the engine is executing the
// order of entry.
func (e *engineState) inProgress(entry *ledger.Entry) bool {
	present := slices.ContainsFunc(e.report.Entries, func(held engine.Entry) bool {
		return held.Kind == entry.Kind && held.Name == entry.Name && held.Version == entry.Version
	})
	if entry.State == ledger.Unloading {
		return present && slices.Contains(e.report.ExecutedOrders, entry.OrderID)
	}
	return present && entry.State == ledger.Loading
}

// update returns the update of the engine's row and marks the engine as busy, or
// returns nil if there is nothing to write.
func (e *engineState) update() *EngineUpdate {
	if !e.ready() || !e.dirty && !e.mustWrite || e.report.BootID != e.ledger.BootID {
		return nil
	}
	write, err := e.ledger.Write()
	if err != nil {
		e.invalidateLedger()
		return nil
	}
	e.busy = true
	return &EngineUpdate{
		Target: e.target, Address: e.address, BootID: e.ledger.BootID,
		HasOrders: e.ledger.HasOrders(), write: write, engine: e, ledger: e.ledger,
	}
}

// invalidateLedger discards the ledger, so that the row is read again.
func (e *engineState) invalidateLedger() {
	e.ledger = nil
	e.dirty = false
	e.busy = false
}

// Abandon discards a transaction for which no commit was tried.
func (p *Plan) Abandon(tx *Transaction) {
	for _, update := range tx.Updates {
		update.engine.invalidateLedger()
	}
}

// RecordCommit records the outcome of a commit and sets the orders that may be
// sent now; call RecordAnswers after they have been sent. If err is not nil, no
// order may be sent, even if the rows may have been written.
func (p *Plan) RecordCommit(tx *Transaction, version int64, err error) {
	if err != nil {
		p.Abandon(tx)
		return
	}
	p.pruneReasons()
	for _, update := range tx.Updates {
		update.Orders = update.ledger.Written(version)
		update.engine.dirty = false
	}
}

// maxReasons is the number of stored reasons above which those of finished
// orders are removed.
const maxReasons = 4096

// pruneReasons removes the reasons of orders that are in no ledger, once there
// are maxReasons.
func (p *Plan) pruneReasons() {
	if len(p.reasons) < maxReasons {
		return
	}
	kept := map[string]string{}
	for _, e := range p.engines {
		if e.ledger == nil {
			continue
		}
		for i := range e.ledger.Entries {
			id := e.ledger.Entries[i].OrderID
			kept[id] = p.reasons[id]
		}
	}
	p.reasons = kept
}

// RecordAnswers records the IDs of the orders of an update that were answered.
// The other orders may still take effect.
func (p *Plan) RecordAnswers(update *EngineUpdate, answered []string) {
	e := update.engine
	e.busy = false
	if e.ledger != update.ledger {
		return
	}
	for _, id := range answered {
		if e.ledger.Answered(id) {
			e.dirty = true
		}
	}
}
