// Package shardplan plans the engines of one shard: it keeps their ledgers,
// asks placement what to do, and tells which rows to write and which orders
// may be sent after that. It has no input or output; package planner carries
// it out.
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
	// defaultSettleTime is how long demand is observed before it moves
	// replicas.
	defaultSettleTime = 45 * time.Second
)

// Work is what a shard has to plan.
type Work struct {
	// Pool names the pool, Objects the configuration in force.
	Pool    string
	Objects *object.Set
	// Targets and Models belong to the shard. Models of the pool that belong
	// to other shards are left alone.
	Targets []string
	Models  []string
	// Leaving names targets that are about to go: their replicas are loaded
	// elsewhere.
	Leaving map[string]bool
	// Shards is the number of shards of the pool, among which the load
	// permits are split.
	Shards int
}

// Plan is the state of one planner. It belongs to one goroutine.
type Plan struct {
	newID       func() string
	resendAfter time.Duration
	downAfter   time.Duration
	settleTime  time.Duration

	work      Work
	engines   map[netip.AddrPort]*engineState
	placement *placement.Placement
	loads     *loadlimit.Limiter
	reasons   map[string]string
}

// engineState is what the planner knows of one engine.
type engineState struct {
	target  string
	address netip.AddrPort
	// ledger is nil until the row has been read.
	ledger *ledger.Ledger
	// dirty ledgers have changes that were not written.
	dirty bool
	// readAt is when the row was read; reports asked for before it are not
	// used.
	readAt time.Time
	// busy engines have a swap or orders under way.
	busy bool
	// report is the last one; reachable tells whether the last call worked
	// and heard when one did.
	report    *engine.Report
	reachable bool
	heard     time.Time
	// linked engines are written although they are not dirty; engines of one
	// group are written in one transaction.
	linked bool
	group  netip.AddrPort
	// noted is when an order was first seen unfinished, by id and number.
	noted map[note]time.Time
}

type note struct {
	orderID string
	fencing int64
}

// Option changes a Plan under construction.
type Option func(*Plan)

// WithResendAfter sets how long an order that shows no effect waits before
// another copy is sent; it should exceed the lag of reports.
func WithResendAfter(d time.Duration) Option { return func(p *Plan) { p.resendAfter = d } }

// WithDownAfter sets how long an engine may be silent before its replicas are
// replaced elsewhere.
func WithDownAfter(d time.Duration) Option { return func(p *Plan) { p.downAfter = d } }

// WithSettleTime sets how long demand is observed before it moves replicas.
func WithSettleTime(d time.Duration) Option { return func(p *Plan) { p.settleTime = d } }

// WithPlacement replaces the placement.
func WithPlacement(pl *placement.Placement) Option { return func(p *Plan) { p.placement = pl } }

// New returns a plan without work. newID returns a fresh order id at each
// call.
func New(newID func() string, opts ...Option) *Plan {
	p := &Plan{
		newID: newID, resendAfter: defaultResendAfter, downAfter: defaultDownAfter,
		settleTime: defaultSettleTime, engines: map[netip.AddrPort]*engineState{},
		placement: placement.New(), loads: loadlimit.New(), reasons: map[string]string{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Configure replaces the work. Engines that are no longer named are
// forgotten; their rows stay. Targets and models that the objects do not hold
// are left out.
func (p *Plan) Configure(w Work, now time.Time) {
	w.Targets = existing(w.Targets, w.Objects.Targets)
	w.Models = existing(w.Models, w.Objects.Models)
	p.work = w
	pool := w.Objects.Pools[w.Pool]
	p.loads.SetLimits(pool.LoadsPerSecond, pool.LoadsAtOnce, w.Shards)
	wanted := map[netip.AddrPort]bool{}
	for _, name := range w.Targets {
		address := w.Objects.Targets[name].Address
		wanted[address] = true
		e, ok := p.engines[address]
		if !ok {
			e = &engineState{address: address, heard: now, noted: map[note]time.Time{}}
			p.engines[address] = e
		}
		e.target = name
	}
	maps.DeleteFunc(p.engines, func(a netip.AddrPort, _ *engineState) bool { return !wanted[a] })
}

// existing returns the names that objects hold.
func existing[V any](names []string, objects map[string]V) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		_, ok := objects[name]
		return !ok
	})
}

// Unread returns the engines whose ledger rows must be read.
func (p *Plan) Unread() []netip.AddrPort {
	var unread []netip.AddrPort
	for _, e := range p.sorted() {
		if e.ledger == nil {
			unread = append(unread, e.address)
		}
	}
	return unread
}

func (p *Plan) sorted() []*engineState {
	engines := slices.Collect(maps.Values(p.engines))
	slices.SortFunc(engines, func(a, b *engineState) int { return a.address.Compare(b.address) })
	return engines
}

// Read records a ledger row that was read at the time now.
func (p *Plan) Read(addr netip.AddrPort, row table.Row, now time.Time) error {
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

// Report records an engine's report and when it was asked for; nil means that
// the engine did not answer.
func (p *Plan) Report(addr netip.AddrPort, r *engine.Report, asked time.Time) {
	e, ok := p.engines[addr]
	if !ok {
		return
	}
	e.reachable = r != nil
	if r == nil {
		return
	}
	e.heard = asked
	if !asked.Before(e.readAt) {
		e.report = r
	}
}

// Swap is a transaction to commit and the orders that may be sent after it.
type Swap struct {
	// Parts are the engines whose rows are written.
	Parts []*Part
}

// Part is one engine's row in a swap.
type Part struct {
	// Target and Address name the engine, BootID the life that the orders
	// are for: they must be sent over a connection that was made to that
	// life before the row is written.
	Target  string
	Address netip.AddrPort
	BootID  string
	// HasOrders tells whether orders follow.
	HasOrders bool
	// Orders may be sent, each once; Committed sets them.
	Orders []engine.Order

	write  table.Write
	engine *engineState
	ledger *ledger.Ledger
}

// Writes returns the writes of the transaction.
func (s *Swap) Writes() []table.Write {
	writes := make([]table.Write, 0, len(s.Parts))
	for _, part := range s.Parts {
		writes = append(writes, part.write)
	}
	return writes
}

// Next brings the ledgers up to the reports, decides, and returns the
// transactions to commit. Each swap must be given back to Committed or
// Abandon.
func (p *Plan) Next(d *demand.Demand, now time.Time) []*Swap {
	for _, e := range p.sorted() {
		e.group = e.address
		e.linked = false
		if e.ready() {
			p.observe(e, now)
		}
	}
	p.decide(d, now)
	var swaps []*Swap
	groups := map[netip.AddrPort]*Swap{}
	for _, e := range p.sorted() {
		part := e.part()
		if part == nil {
			continue
		}
		s, ok := groups[e.group]
		if !ok {
			s = &Swap{}
			groups[e.group] = s
			swaps = append(swaps, s)
		}
		s.Parts = append(s.Parts, part)
	}
	return swaps
}

// ready reports whether the engine's ledger may be changed now.
func (e *engineState) ready() bool {
	return e.ledger != nil && !e.busy && e.report != nil && e.reachable
}

func (p *Plan) observe(e *engineState, now time.Time) {
	target := p.work.Objects.Targets[e.target]
	cfg := ledger.Engine{MemoryBytes: target.MemoryBytes, ChecksFencing: target.ChecksFencing}
	if e.ledger.Observe(e.report, cfg) {
		e.dirty = true
	}
	if e.report.BootID == e.ledger.BootID {
		p.resend(e, now)
	}
}

// resend records another copy of orders that have shown no effect for too
// long, and loads again what the engine has lost.
func (p *Plan) resend(e *engineState, now time.Time) {
	noted := map[note]time.Time{}
	for i := range e.ledger.Entries {
		entry := &e.ledger.Entries[i]
		if entry.State == ledger.Loaded || entry.MemoryBytes == 0 || e.underWay(entry) {
			continue
		}
		key := note{entry.OrderID, entry.Fencing}
		at, ok := e.noted[key]
		if !ok {
			at = now
		}
		noted[key] = at
		if now.Sub(at) >= p.resendAfter && e.ledger.Resend(entry.Weights) {
			delete(noted, key)
			e.dirty = true
		}
	}
	e.noted = noted
}

// underWay reports whether the engine shows that it carries the entry's order
// out.
func (e *engineState) underWay(entry *ledger.Entry) bool {
	present := slices.ContainsFunc(e.report.Entries, func(held engine.Entry) bool {
		return held.Kind == entry.Kind && held.Name == entry.Name && held.Version == entry.Version
	})
	if entry.State == ledger.Unloading {
		return present && slices.Contains(e.report.Carried, entry.OrderID)
	}
	return present && entry.State == ledger.Loading
}

// part returns the engine's part of a swap, or nil when nothing is to be
// written.
func (e *engineState) part() *Part {
	if !e.ready() || !e.dirty && !e.linked || e.report.BootID != e.ledger.BootID {
		return nil
	}
	write, err := e.ledger.Write()
	if err != nil {
		e.forget()
		return nil
	}
	e.busy = true
	return &Part{
		Target: e.target, Address: e.address, BootID: e.ledger.BootID,
		HasOrders: e.ledger.HasOrders(), write: write, engine: e, ledger: e.ledger,
	}
}

// forget drops the ledger, so that the row is read again.
func (e *engineState) forget() {
	e.ledger = nil
	e.dirty = false
	e.busy = false
}

// Abandon gives a swap back that was not tried.
func (p *Plan) Abandon(s *Swap) {
	for _, part := range s.Parts {
		part.engine.forget()
	}
}

// Committed records the outcome of a swap and sets the orders that may be
// sent now; call Finished after that. An error means that none may be sent,
// whatever became of the rows.
func (p *Plan) Committed(s *Swap, version int64, err error) {
	if err != nil {
		p.Abandon(s)
		return
	}
	p.forgetReasons()
	for _, part := range s.Parts {
		part.Orders = part.ledger.Written(version)
		part.engine.dirty = false
	}
}

// maxReasons bounds the reasons kept for orders that have ended.
const maxReasons = 4096

// forgetReasons drops the reasons of orders that no ledger names.
func (p *Plan) forgetReasons() {
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

// Finished records how the orders of a part ended: the ids of those whose
// answer closes them. The rest may still take effect.
func (p *Plan) Finished(part *Part, closed []string) {
	e := part.engine
	e.busy = false
	if e.ledger != part.ledger {
		return
	}
	for _, id := range closed {
		if e.ledger.Answered(id) {
			e.dirty = true
		}
	}
}
