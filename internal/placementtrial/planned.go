package placementtrial

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"fireflypier.example/fireflypier/internal/demand"
	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/placement"
	"fireflypier.example/fireflypier/internal/shardplan"
	"fireflypier.example/fireflypier/internal/standin/tablestore"
	"fireflypier.example/fireflypier/internal/table"
)

const planEvery = 500 * time.Millisecond

// Planned places models by the controller's planning code.
type Planned struct {
	plan   *shardplan.Plan
	demand *demand.Estimator
	store  *tablestore.Store
	opts   []shardplan.Option
	begun  bool
	ids    int
	state  []*plannedEngine
}

// plannedEngine is what an engine reports.
type plannedEngine struct {
	address  netip.AddrPort
	fencing  int64
	sequence int64
	carried  []string
}

// NewPlanned returns the controller's placement.
func NewPlanned() *Planned { return newPlanned() }

// NewStatic returns the controller's placement without moves for demand.
func NewStatic() *Planned {
	return newPlanned(shardplan.WithSettleTime(100 * 365 * 24 * time.Hour))
}

// NewGreedy returns the controller's placement without hysteresis: each
// improvement by the present demand is carried out at once.
func NewGreedy() *Planned {
	return newPlanned(shardplan.WithPlacement(placement.New(placement.WithMinGain(0), placement.WithCoolDown(0))))
}

func newPlanned(opts ...shardplan.Option) *Planned {
	return &Planned{demand: demand.New(), store: tablestore.New(), opts: opts}
}

// Commits returns the transactions that the planner has written.
func (p *Planned) Commits() int64 { return p.store.Counts().Commits }

func (p *Planned) begin(w *Simulation) {
	p.begun = true
	objects := (&object.Set{Pools: map[string]object.Pool{"engines": {
		Kind: object.PoolEngines, LoadsPerSecond: w.Deployment.LoadsPerSecond, LoadsAtOnce: w.Deployment.LoadsAtOnce,
	}}}).Clone()
	work := shardplan.Config{Pool: "engines", Objects: objects, ShardCount: 1}
	for i := range w.engines {
		name := fmt.Sprintf("engine-%03d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		p.state = append(p.state, &plannedEngine{address: address})
		objects.Targets[name] = object.Target{
			Pool: "engines", Address: address, VM: name, DataCentre: strconv.Itoa(i % 3),
			MemoryBytes: engineMemory, ChecksFencing: i%2 == 0,
		}
		work.Targets = append(work.Targets, name)
	}
	for i, size := range w.Sizes {
		objects.Models[modelName(i)] = object.Model{Pool: "engines", Version: "1", MemoryBytes: size}
		work.Models = append(work.Models, modelName(i))
	}
	p.plan = shardplan.New(func() string { p.ids++; return strconv.Itoa(p.ids) }, p.opts...)
	p.plan.Configure(work, w.Now)
}

func modelName(i int) string { return fmt.Sprintf("model-%03d", i) }

// OnRequest records demand.
func (p *Planned) OnRequest(w *Simulation, model int, tokens float64) {
	p.demand.Add("gateway", modelName(model), tokens, 0, w.Now)
}

// Step plans and carries the plan out.
func (p *Planned) Step(w *Simulation) {
	if !p.begun {
		p.begin(w)
	}
	if w.Now.Sub(w.start)%planEvery != 0 {
		return
	}
	for _, address := range p.plan.UnreadRows() {
		row, _ := p.store.Get(context.Background(), ledger.RowKey(address))
		_ = p.plan.RecordRow(address, row, w.Now)
	}
	for i := range p.state {
		p.plan.Report(p.state[i].address, p.report(w, i), w.Now)
	}
	for _, s := range p.plan.NextTransactions(p.demand, w.Now) {
		version, err := table.Commit(context.Background(), p.store, table.NewTx(s.Writes()...))
		p.plan.RecordCommit(s, version, err)
		for _, part := range s.Updates {
			p.carryOut(w, part)
		}
	}
}

func (p *Planned) report(w *Simulation, i int) *engine.Report {
	e := p.state[i]
	e.sequence++
	r := &engine.Report{
		BootID: e.address.String(), MemoryBytes: engineMemory, Fencing: e.fencing, Sequence: e.sequence, Carried: e.carried,
	}
	for model, h := range w.engines[i].held {
		state := engine.Loaded
		if h.ready.After(w.Now) {
			state = engine.Loading
		}
		r.Entries = append(r.Entries, engine.Entry{
			Kind: object.KindModel, Name: modelName(model), Version: "1", MemoryBytes: w.Sizes[model], State: state,
		})
	}
	return r
}

func (p *Planned) carryOut(w *Simulation, part *shardplan.EngineUpdate) {
	var answered []string
	for _, o := range part.Orders {
		for i, e := range p.state {
			if e.address == part.Address {
				p.order(w, i, &o)
			}
		}
		answered = append(answered, o.OrderID)
	}
	p.plan.RecordAnswers(part, answered)
}

func (p *Planned) order(w *Simulation, i int, o *engine.Order) {
	e := p.state[i]
	e.fencing = max(e.fencing, o.Fencing)
	e.carried = append(e.carried, o.OrderID)
	var model int
	_, _ = fmt.Sscanf(o.Name, "model-%d", &model)
	if o.Action == engine.Unload {
		delete(w.engines[i].held, model)
		return
	}
	w.load(i, model)
}
