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

// mutation is a mechanism left out, to show that the check sees it.
type mutation int

const (
	whole mutation = iota
	// noLedgerWrite sends orders without recording them.
	noLedgerWrite
	// freeOnAnswer frees bytes when an unload is answered.
	freeOnAnswer
	// anyLife sends orders to whatever life of the engine is there.
	anyLife
)

const (
	physicalMemory = 8
	modelCount     = 5
)

// modelEngine is an engine of the model world.
type modelEngine struct {
	address  netip.AddrPort
	checks   bool
	boot     int
	fencing  int64
	sequence int64
	held     map[ledger.Weights]*heldWeights
	carried  []string
	history  []engine.Report
}

type heldWeights struct {
	bytes   int64
	loaded  bool
	retired bool
	orderID string
}

func (e *modelEngine) used() int64 {
	var total int64
	for _, h := range e.held {
		total += h.bytes
	}
	return total
}

func (e *modelEngine) bootID() string { return fmt.Sprintf("%s-%d", e.address, e.boot) }

func (e *modelEngine) remember() {
	e.sequence++
	r := engine.Report{
		BootID: e.bootID(), MemoryBytes: physicalMemory, UsedBytes: e.used(),
		Fencing: e.fencing, Sequence: e.sequence, Carried: slices.Clone(e.carried),
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

func (e *modelEngine) restart() {
	e.boot++
	e.fencing, e.sequence = 0, 0
	e.held, e.carried = map[ledger.Weights]*heldWeights{}, nil
	e.history = nil
	e.remember()
}

// copyInFlight is one copy of an order on its way.
type copyInFlight struct {
	engine *modelEngine
	boot   int
	order  engine.Order
}

// openSwap is a swap whose planner may stop at any point.
type openSwap struct {
	swap      *Swap
	lives     map[*Part]int
	committed bool
}

type modelPlanner struct {
	plan   *Plan
	demand *demand.Estimator
	open   []*openSwap
}

type world struct {
	t        *rapid.T
	mutation mutation
	now      time.Time
	ids      int
	store    *tablestore.Store
	objects  *object.Set
	engines  []*modelEngine
	planners []*modelPlanner
	flying   []copyInFlight
	// lostByRestart marks models that lost a replica to a restart since they
	// last had two.
	lostByRestart map[string]bool
	// removed marks models that operators have removed: a planner that has
	// not seen them added again may unload them.
	removed map[string]bool
}

func newWorld(t *rapid.T, m mutation) *world {
	w := &world{
		t: t, mutation: m, now: time.Unix(1_000_000, 0), store: tablestore.New(),
		lostByRestart: map[string]bool{}, removed: map[string]bool{},
		objects: (&object.Set{Pools: map[string]object.Pool{"p": {Kind: object.PoolEngines}}}).Clone(),
	}
	kind := rapid.IntRange(0, 2).Draw(t, "engine kinds")
	for i := range 4 {
		e := &modelEngine{
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			checks:  kind == 0 || kind == 2 && i%2 == 0,
		}
		e.restart()
		w.engines = append(w.engines, e)
		w.objects.Targets[fmt.Sprintf("e%d", i)] = object.Target{
			Pool: "p", Address: e.address, VM: fmt.Sprintf("vm%d", i), MemoryBytes: physicalMemory, ChecksFencing: e.checks,
		}
	}
	for i := range modelCount {
		w.objects.Models[fmt.Sprintf("m%d", i)] = object.Model{Pool: "p", Version: "1", MemoryBytes: int64(2 + i%2)}
	}
	w.objects.Adapters["a0"] = object.Adapter{Model: "m0", Version: "1", MemoryBytes: 1}
	w.startPlanner()
	if rapid.Bool().Draw(t, "loaded at the start") {
		w.quiet(12)
	}
	w.startPlanner()
	return w
}

func (w *world) work() Work {
	var targets []string
	for name := range w.objects.Targets {
		targets = append(targets, name)
	}
	var models []string
	for name := range w.objects.Models {
		models = append(models, name)
	}
	slices.Sort(models)
	return Work{Pool: "p", Objects: w.objects.Clone(), Targets: targets, Models: models, Shards: 1}
}

func (w *world) startPlanner() {
	p := &modelPlanner{demand: demand.New()}
	p.plan = New(func() string { w.ids++; return fmt.Sprint("o", w.ids) }, WithSettleTime(0))
	p.plan.Configure(w.work(), w.now)
	w.planners = append(w.planners, p)
}

// engineAt returns the engine of an address.
func (w *world) engineAt(a netip.AddrPort) *modelEngine {
	return w.engines[slices.IndexFunc(w.engines, func(e *modelEngine) bool { return e.address == a })]
}

// think lets a planner read rows and reports and decide.
func (w *world) think(p *modelPlanner, faulty bool) {
	for _, a := range p.plan.Unread() {
		row, err := w.store.Get(context.Background(), ledger.RowKey(a))
		if err != nil || p.plan.Read(a, row, w.now) != nil {
			w.t.Fatalf("row of %s not read", a)
		}
	}
	for _, e := range w.engines {
		if faulty {
			switch rapid.IntRange(0, 9).Draw(w.t, "report fault") {
			case 0:
				p.plan.Report(e.address, nil, w.now)
				continue
			case 1: // the planner goes on with the report it has
				continue
			}
		}
		back := 0
		if faulty {
			back = rapid.IntRange(0, min(4, len(e.history)-1)).Draw(w.t, "report lag")
		}
		r := e.history[len(e.history)-1-back]
		if w.mutation == freeOnAnswer {
			r = onlyRecorded(p, e, r)
		}
		p.plan.Report(e.address, &r, w.now)
	}
	for _, s := range p.plan.Next(p.demand, w.now) {
		w.connect(p, s)
	}
}

// onlyRecorded leaves out of a report what the planner's ledger does not
// list, so that only the answers to orders tell what is free.
func onlyRecorded(p *modelPlanner, e *modelEngine, r engine.Report) engine.Report {
	l := p.plan.engines[e.address].ledger
	r.Entries = slices.DeleteFunc(slices.Clone(r.Entries), func(held engine.Entry) bool {
		return l.Find(ledger.Weights{Kind: held.Kind, Name: held.Name, Version: held.Version}) == nil
	})
	return r
}

// connect opens the connections of a swap and gives it up where the engine
// lives another life.
func (w *world) connect(p *modelPlanner, s *Swap) {
	o := &openSwap{swap: s, lives: map[*Part]int{}}
	for _, part := range s.Parts {
		e := w.engineAt(part.Address)
		if part.HasOrders && e.bootID() != part.BootID && w.mutation != anyLife {
			p.plan.Abandon(s)
			return
		}
		o.lives[part] = e.boot
	}
	p.open = append(p.open, o)
}

// advance carries one open swap a step on.
func (w *world) advance(p *modelPlanner, i int, faulty bool) {
	o := p.open[i]
	if !o.committed {
		w.commit(p, o, faulty)
		return
	}
	p.open = slices.Delete(p.open, i, i+1)
	for _, part := range o.swap.Parts {
		w.send(p, o, part, faulty)
	}
}

func (w *world) commit(p *modelPlanner, o *openSwap, faulty bool) {
	o.committed = true
	writes := o.swap.Writes()
	var version int64
	var err error
	fault := -1
	if faulty {
		fault = rapid.IntRange(0, 19).Draw(w.t, "store fault")
	}
	switch {
	case w.mutation == noLedgerWrite:
	case fault == 0:
		err = failure.New(failure.StoreUnavailable, "out")
	case fault == 1:
		_, _ = w.store.Commit(context.Background(), table.NewTx(writes...))
		err = failure.New(failure.OutcomeUnknown, "lost")
	case fault == 2:
		w.store.SetFault(tablestore.Fault{LoseAnswers: 1})
		version, err = table.Commit(context.Background(), w.store, table.NewTx(writes...))
	default:
		version, err = table.Commit(context.Background(), w.store, table.NewTx(writes...))
	}
	p.plan.Committed(o.swap, version, err)
	if w.mutation == noLedgerWrite {
		for _, part := range o.swap.Parts {
			part.engine.ledger = nil
		}
	}
}

// send sends the orders of a part, each once, with faults on the way.
func (w *world) send(p *modelPlanner, o *openSwap, part *Part, faulty bool) {
	e := w.engineAt(part.Address)
	var closed []string
	for _, order := range part.Orders {
		c := copyInFlight{engine: e, boot: o.lives[part], order: order}
		if w.mutation == anyLife {
			c.boot = e.boot
		}
		fault := 0
		if faulty {
			fault = rapid.IntRange(0, 7).Draw(w.t, "order fault")
		}
		switch fault {
		case 1: // lost
		case 2: // late, its answer lost
			w.flying = append(w.flying, c)
		case 3: // doubled, its answer lost
			w.flying = append(w.flying, c, c)
		case 4: // carried out, its answer lost
			w.deliver(c)
		case 5: // doubled; at an engine that checks fencing it is answered
			w.flying = append(w.flying, c)
			if w.deliver(c) && e.checks {
				closed = append(closed, order.OrderID)
			}
		default:
			if w.deliver(c) {
				closed = append(closed, order.OrderID)
			}
		}
	}
	p.plan.Finished(part, closed)
	if w.mutation == freeOnAnswer && part.engine.ledger == part.ledger {
		part.ledger.Entries = slices.DeleteFunc(part.ledger.Entries, func(x ledger.Entry) bool {
			return x.State == ledger.Unloading && slices.Contains(closed, x.OrderID)
		})
	}
}

// deliver hands a copy to its engine and reports whether it was taken.
func (w *world) deliver(c copyInFlight) bool {
	e := c.engine
	w.t.Logf("%s gets %s %s@%s number %d order %s", e.address, c.order.Action, c.order.Name, c.order.Version, c.order.Fencing, c.order.OrderID)
	if e.boot != c.boot || e.checks && c.order.Fencing < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, c.order.Fencing)
	e.carried = append(e.carried, c.order.OrderID)
	weights := ledger.Weights{Kind: c.order.Kind, Name: c.order.Name, Version: c.order.Version}
	held, ok := e.held[weights]
	switch {
	case c.order.Action == engine.Load && !ok:
		e.held[weights] = &heldWeights{bytes: c.order.MemoryBytes, orderID: c.order.OrderID}
	case c.order.Action == engine.Unload && ok:
		wasServed := w.replicas(weights.Name) > 0
		held.loaded, held.retired = false, true
		w.checkReplicas(weights, wasServed)
	}
	e.remember()
	w.checkMemory()
	return true
}

func (w *world) checkMemory() {
	for _, e := range w.engines {
		if e.used() > physicalMemory {
			w.t.Fatalf("engine %s holds %d of %d bytes: %v", e.address, e.used(), physicalMemory, e.history[len(e.history)-1].Entries)
		}
	}
}

// replicas counts the engines that serve a model.
func (w *world) replicas(name string) int {
	n := 0
	for _, e := range w.engines {
		for weights, h := range e.held {
			if weights.Kind == object.KindModel && weights.Name == name && h.loaded {
				n++
				break
			}
		}
	}
	return n
}

// checkReplicas is called after an unload.
func (w *world) checkReplicas(weights ledger.Weights, wasServed bool) {
	if w.mutation != whole {
		return
	}
	if weights.Kind != object.KindModel || !wasServed || w.lostByRestart[weights.Name] || w.removed[weights.Name] {
		return
	}
	if w.replicas(weights.Name) == 0 {
		w.t.Fatalf("the last replica of %s was unloaded", weights.Name)
	}
}

// work at an engine: one load or unload ends.
func (w *world) finish(e *modelEngine, fail bool) {
	for weights, h := range sortedHeld(e) {
		switch {
		case h.loaded:
			continue
		case h.retired || fail:
			delete(e.held, weights)
		default:
			h.loaded = true
			w.t.Logf("%s has loaded %s", e.address, weights)
			if w.replicas(weights.Name) >= 2 {
				delete(w.lostByRestart, weights.Name)
			}
		}
		e.remember()
		return
	}
}

// sortedHeld yields what an engine holds in a fixed order.
func sortedHeld(e *modelEngine) func(yield func(ledger.Weights, *heldWeights) bool) {
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

// edit changes the configuration as operators do; planners see it at once or
// later.
func (w *world) edit() {
	set := w.objects.Clone()
	target := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(w.t, "target"))
	model := fmt.Sprintf("m%d", rapid.IntRange(0, modelCount-1).Draw(w.t, "model"))
	m, ok := set.Models[model]
	if !ok {
		m = object.Model{Pool: "p", Version: "1", MemoryBytes: 2}
	}
	set.Models[model] = m
	switch rapid.IntRange(0, 5).Draw(w.t, "edit") {
	case 0:
		m.MemoryBytes = rapid.Int64Range(1, 3).Draw(w.t, "size")
		set.Models[model] = m
	case 1:
		m.Version = fmt.Sprint(rapid.IntRange(1, 3).Draw(w.t, "version"))
		set.Models[model] = m
	case 2:
		t, ok := set.Targets[target]
		if ok {
			t.MemoryBytes = rapid.Int64Range(6, 10).Draw(w.t, "memory")
			set.Targets[target] = t
		}
	case 3: // the engine comes back under another name
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
		w.removed[model] = true
	}
	w.objects = set
	for _, p := range w.planners {
		if rapid.Bool().Draw(w.t, "seen") {
			p.plan.Configure(w.work(), w.now)
		}
	}
}
