package shardplan

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/demand"
	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/standin/tablestore"
	"fireflypier.example/fireflypier/internal/table"
)

// mutation disables a safety mechanism, to show that the test detects its
// absence.
type mutation int

const (
	noMutation mutation = iota
	// noLedgerWrite sends orders without recording them.
	noLedgerWrite
	// freeOnAnswer frees memory when an unload is answered.
	freeOnAnswer
	// anyBoot sends orders to the engine even if it has restarted.
	anyBoot
)

const (
	physicalMemory = 8
	modelCount     = 5
)

// simEngine is a simulated engine.
type simEngine struct {
	address       netip.AddrPort
	checksFencing bool
	boot          int
	fencing       int64
	sequence      int64
	held          map[ledger.Weights]*heldWeights
	executed      []string
	history       []engine.Report
}

// heldWeights are weights in the memory of a simulated engine.
type heldWeights struct {
	bytes     int64
	loaded    bool
	unloading bool
	orderID   string
}

func (e *simEngine) used() int64 {
	var total int64
	for _, h := range e.held {
		total += h.bytes
	}
	return total
}

func (e *simEngine) bootID() string { return fmt.Sprintf("%s-%d", e.address, e.boot) }

// recordReport appends the current state to the history of reports. Planners may
// receive an older one.
func (e *simEngine) recordReport() {
	e.sequence++
	r := engine.Report{
		BootID: e.bootID(), MemoryBytes: physicalMemory, UsedBytes: e.used(),
		Fencing: e.fencing, Sequence: e.sequence, ExecutedOrders: slices.Clone(e.executed),
	}
	for w, h := range e.held {
		state := engine.Loading
		if h.loaded {
			state = engine.Loaded
		}
		r.Entries = append(r.Entries, engine.Entry{
			Kind: w.Kind, Name: w.Name, Version: w.Version, MemoryBytes: h.bytes, State: state, OrderID: h.orderID,
		})
	}
	e.history = append(e.history, r)
}

// restart starts a new boot with empty memory.
func (e *simEngine) restart() {
	e.boot++
	e.fencing, e.sequence = 0, 0
	e.held, e.executed = map[ledger.Weights]*heldWeights{}, nil
	e.history = nil
	e.recordReport()
}

// orderCopy is one copy of an order in flight.
type orderCopy struct {
	engine *simEngine
	boot   int
	order  engine.Order
}

// openTransaction is a transaction in progress. Its planner may stop at any
// point.
type openTransaction struct {
	transaction *Transaction
	boots       map[*EngineUpdate]int
	committed   bool
}

// simPlanner is a simulated planner with its unfinished transactions.
type simPlanner struct {
	plan   *Plan
	demand *demand.Estimator
	open   []*openTransaction
}

// simulation runs planners and engines against one table, with faults drawn by
// rapid.
type simulation struct {
	t        *rapid.T
	mutation mutation
	now      time.Time
	ids      int
	store    *tablestore.Store
	objects  *object.Set
	engines  []*simEngine
	planners []*simPlanner
	inFlight []orderCopy
	// lostByRestart is the set of models that lost a replica in a restart and
	// have not had two replicas since.
	lostByRestart map[string]bool
	// removed is the set of models that operators have removed at any time. A
	// planner with an old configuration may unload them even after they have
	// been added again.
	removed map[string]bool
}

func newSimulation(t *rapid.T, m mutation) *simulation {
	sim := &simulation{
		t: t, mutation: m, now: time.Unix(1_000_000, 0), store: tablestore.New(),
		lostByRestart: map[string]bool{}, removed: map[string]bool{},
		objects: (&object.Set{Pools: map[string]object.Pool{"p": {Kind: object.PoolEngines}}}).Clone(),
	}
	kind := rapid.IntRange(0, 2).Draw(t, "engine kinds")
	for i := range 4 {
		e := &simEngine{
			address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			checksFencing: kind == 0 || kind == 2 && i%2 == 0,
		}
		e.restart()
		sim.engines = append(sim.engines, e)
		sim.objects.Targets[fmt.Sprintf("e%d", i)] = object.Target{
			Pool: "p", Address: e.address, VM: fmt.Sprintf("vm%d", i), MemoryBytes: physicalMemory, ChecksFencing: e.checksFencing,
		}
	}
	for i := range modelCount {
		sim.objects.Models[fmt.Sprintf("m%d", i)] = object.Model{Pool: "p", Version: "1", MemoryBytes: int64(2 + i%2)}
	}
	sim.objects.Adapters["a0"] = object.Adapter{Model: "m0", Version: "1", MemoryBytes: 1}
	sim.startPlanner()
	if rapid.Bool().Draw(t, "loaded at the start") {
		sim.runWithoutFaults(12)
	}
	sim.startPlanner()
	return sim
}

func (sim *simulation) config() Config {
	var targets []string
	for name := range sim.objects.Targets {
		targets = append(targets, name)
	}
	var models []string
	for name := range sim.objects.Models {
		models = append(models, name)
	}
	slices.Sort(models)
	return Config{Pool: "p", Objects: sim.objects.Clone(), Targets: targets, Models: models, ShardCount: 1}
}

func (sim *simulation) startPlanner() {
	p := &simPlanner{demand: demand.New()}
	p.plan = New(func() string { sim.ids++; return fmt.Sprint("o", sim.ids) }, WithSettleTime(0))
	p.plan.Configure(sim.config(), sim.now)
	sim.planners = append(sim.planners, p)
}

// engineAt returns the engine with an address.
func (sim *simulation) engineAt(a netip.AddrPort) *simEngine {
	return sim.engines[slices.IndexFunc(sim.engines, func(e *simEngine) bool { return e.address == a })]
}

// runPlanner passes rows and reports to a planner and opens the transactions
// that it returns.
func (sim *simulation) runPlanner(p *simPlanner, withFaults bool) {
	for _, a := range p.plan.UnreadRows() {
		row, err := sim.store.Get(context.Background(), ledger.RowKey(a))
		if err != nil || p.plan.RecordRow(a, row, sim.now) != nil {
			sim.t.Fatalf("cannot read ledger row of %s", a)
		}
	}
	for _, e := range sim.engines {
		if withFaults {
			switch rapid.IntRange(0, 9).Draw(sim.t, "report fault") {
			case 0:
				p.plan.Report(e.address, nil, sim.now)
				continue
			case 1: // the planner keeps its previous report
				continue
			}
		}
		lag := 0
		if withFaults {
			lag = rapid.IntRange(0, min(4, len(e.history)-1)).Draw(sim.t, "report lag")
		}
		r := e.history[len(e.history)-1-lag]
		if sim.mutation == freeOnAnswer {
			r = withoutUnrecorded(p, e, r)
		}
		p.plan.Report(e.address, &r, sim.now)
	}
	for _, tx := range p.plan.NextTransactions(p.demand, sim.now) {
		sim.connect(p, tx)
	}
}

// withoutUnrecorded removes the entries from a report that the ledger of the
// planner does not list, so that memory counts as free as soon as an unload is
// answered.
func withoutUnrecorded(p *simPlanner, e *simEngine, r engine.Report) engine.Report {
	l := p.plan.engines[e.address].ledger
	r.Entries = slices.DeleteFunc(slices.Clone(r.Entries), func(held engine.Entry) bool {
		return l.Find(ledger.Weights{Kind: held.Kind, Name: held.Name, Version: held.Version}) == nil
	})
	return r
}

// connect opens the connections of a transaction, or abandons it if an engine has
// restarted.
func (sim *simulation) connect(p *simPlanner, tx *Transaction) {
	o := &openTransaction{transaction: tx, boots: map[*EngineUpdate]int{}}
	for _, update := range tx.Updates {
		e := sim.engineAt(update.Address)
		if update.HasOrders && e.bootID() != update.BootID && sim.mutation != anyBoot {
			p.plan.Abandon(tx)
			return
		}
		o.boots[update] = e.boot
	}
	p.open = append(p.open, o)
}

// advance executes the next step of an open transaction: the commit, or sending
// the orders.
func (sim *simulation) advance(p *simPlanner, i int, withFaults bool) {
	o := p.open[i]
	if !o.committed {
		sim.commit(p, o, withFaults)
		return
	}
	p.open = slices.Delete(p.open, i, i+1)
	for _, update := range o.transaction.Updates {
		sim.send(p, o, update, withFaults)
	}
}

func (sim *simulation) commit(p *simPlanner, o *openTransaction, withFaults bool) {
	o.committed = true
	writes := o.transaction.Writes()
	var version int64
	var err error
	fault := -1
	if withFaults {
		fault = rapid.IntRange(0, 19).Draw(sim.t, "store fault")
	}
	switch {
	case sim.mutation == noLedgerWrite:
	case fault == 0:
		err = failure.New(failure.StoreUnavailable, "simulated store failure")
	case fault == 1:
		_, _ = sim.store.Commit(context.Background(), table.NewTx(writes...))
		err = failure.New(failure.OutcomeUnknown, "simulated loss of the commit answer")
	case fault == 2:
		sim.store.SetFault(tablestore.Fault{LoseAnswers: 1})
		version, err = table.Commit(context.Background(), sim.store, table.NewTx(writes...))
	default:
		version, err = table.Commit(context.Background(), sim.store, table.NewTx(writes...))
	}
	p.plan.RecordCommit(o.transaction, version, err)
	if sim.mutation == noLedgerWrite {
		for _, update := range o.transaction.Updates {
			update.engine.ledger = nil
		}
	}
}

// send sends each order of an update once; with faults, copies may be lost,
// delayed or duplicated, and answers lost.
func (sim *simulation) send(p *simPlanner, o *openTransaction, update *EngineUpdate, withFaults bool) {
	e := sim.engineAt(update.Address)
	var answered []string
	for _, order := range update.Orders {
		c := orderCopy{engine: e, boot: o.boots[update], order: order}
		if sim.mutation == anyBoot {
			c.boot = e.boot
		}
		fault := 0
		if withFaults {
			fault = rapid.IntRange(0, 7).Draw(sim.t, "order fault")
		}
		switch fault {
		case 1: // lost
		case 2: // delayed, its answer lost
			sim.inFlight = append(sim.inFlight, c)
		case 3: // delayed and duplicated, its answer lost
			sim.inFlight = append(sim.inFlight, c, c)
		case 4: // executed, its answer lost
			sim.deliver(c)
		case 5: // duplicated, its answer lost unless the engine checks fencing
			sim.inFlight = append(sim.inFlight, c)
			if sim.deliver(c) && e.checksFencing {
				answered = append(answered, order.OrderID)
			}
		default:
			if sim.deliver(c) {
				answered = append(answered, order.OrderID)
			}
		}
	}
	p.plan.RecordAnswers(update, answered)
	if sim.mutation == freeOnAnswer && update.engine.ledger == update.ledger {
		update.ledger.Entries = slices.DeleteFunc(update.ledger.Entries, func(x ledger.Entry) bool {
			return x.State == ledger.Unloading && slices.Contains(answered, x.OrderID)
		})
	}
}

// deliver delivers a copy to its engine and reports whether the engine accepted
// it.
func (sim *simulation) deliver(c orderCopy) bool {
	e := c.engine
	sim.t.Logf("%s receives %s %s@%s fencing token %d order %s", e.address, c.order.Action, c.order.Name, c.order.Version, c.order.Fencing, c.order.OrderID)
	if e.boot != c.boot || e.checksFencing && c.order.Fencing < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, c.order.Fencing)
	e.executed = append(e.executed, c.order.OrderID)
	weights := ledger.Weights{Kind: c.order.Kind, Name: c.order.Name, Version: c.order.Version}
	held, ok := e.held[weights]
	switch {
	case c.order.Action == engine.Load && !ok:
		e.held[weights] = &heldWeights{bytes: c.order.MemoryBytes, orderID: c.order.OrderID}
	case c.order.Action == engine.Unload && ok:
		wasServed := sim.replicas(weights.Name) > 0
		held.loaded, held.unloading = false, true
		sim.checkReplicas(weights, wasServed)
	}
	e.recordReport()
	sim.checkMemory()
	return true
}

func (sim *simulation) checkMemory() {
	for _, e := range sim.engines {
		if e.used() > physicalMemory {
			sim.t.Fatalf("engine %s holds %d of %d bytes: %v", e.address, e.used(), physicalMemory, e.history[len(e.history)-1].Entries)
		}
	}
}

// replicas returns the number of engines that serve a model.
func (sim *simulation) replicas(name string) int {
	n := 0
	for _, e := range sim.engines {
		for weights, h := range e.held {
			if weights.Kind == object.KindModel && weights.Name == name && h.loaded {
				n++
				break
			}
		}
	}
	return n
}

// checkReplicas checks after an unload that the model still has a replica, if it
// had one before. Models in lostByRestart or removed are exempt.
func (sim *simulation) checkReplicas(weights ledger.Weights, wasServed bool) {
	if sim.mutation != noMutation {
		return
	}
	if weights.Kind != object.KindModel || !wasServed || sim.lostByRestart[weights.Name] || sim.removed[weights.Name] {
		return
	}
	if sim.replicas(weights.Name) == 0 {
		sim.t.Fatalf("the last replica of %s was unloaded", weights.Name)
	}
}

// finishOne finishes the first load or unload in progress on an engine. If fail
// is set, a load fails.
func (sim *simulation) finishOne(e *simEngine, fail bool) {
	for weights, h := range sortedHeld(e) {
		switch {
		case h.loaded:
			continue
		case h.unloading || fail:
			delete(e.held, weights)
		default:
			h.loaded = true
			sim.t.Logf("%s finished loading %s", e.address, weights)
			if sim.replicas(weights.Name) >= 2 {
				delete(sim.lostByRestart, weights.Name)
			}
		}
		e.recordReport()
		return
	}
}

// sortedHeld yields the weights that an engine holds in a fixed order.
func sortedHeld(e *simEngine) func(yield func(ledger.Weights, *heldWeights) bool) {
	keys := make([]ledger.Weights, 0, len(e.held))
	for weights := range e.held {
		keys = append(keys, weights)
	}
	slices.SortFunc(keys, func(a, b ledger.Weights) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return func(yield func(ledger.Weights, *heldWeights) bool) {
		for _, k := range keys {
			if !yield(k, e.held[k]) {
				return
			}
		}
	}
}

// editConfig changes the configuration as operators do. Each planner applies the
// change at once or together with a later one.
func (sim *simulation) editConfig() {
	set := sim.objects.Clone()
	target := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(sim.t, "target"))
	model := fmt.Sprintf("m%d", rapid.IntRange(0, modelCount-1).Draw(sim.t, "model"))
	m, ok := set.Models[model]
	if !ok {
		m = object.Model{Pool: "p", Version: "1", MemoryBytes: 2}
	}
	set.Models[model] = m
	switch rapid.IntRange(0, 5).Draw(sim.t, "edit") {
	case 0:
		m.MemoryBytes = rapid.Int64Range(1, 3).Draw(sim.t, "size")
		set.Models[model] = m
	case 1:
		m.Version = fmt.Sprint(rapid.IntRange(1, 3).Draw(sim.t, "version"))
		set.Models[model] = m
	case 2:
		t, ok := set.Targets[target]
		if ok {
			t.MemoryBytes = rapid.Int64Range(6, 10).Draw(sim.t, "memory")
			set.Targets[target] = t
		}
	case 3: // the engine is added again under another name
		t, ok := set.Targets[target]
		if ok {
			delete(set.Targets, target)
			set.Targets[target+"-again"] = t
		}
	case 4:
		t, ok := set.Targets[target+"-again"]
		if ok {
			delete(set.Targets, target+"-again")
			set.Targets[target] = t
		}
	case 5:
		delete(set.Models, model)
		sim.removed[model] = true
	}
	sim.objects = set
	for _, p := range sim.planners {
		if rapid.Bool().Draw(sim.t, "seen") {
			p.plan.Configure(sim.config(), sim.now)
		}
	}
}
