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

const planInterval = 500 * time.Millisecond

// Planned places models with the controller's planning code.
type Planned struct {
	plan        *shardplan.Plan
	demand      *demand.Estimator
	store       *tablestore.Store
	opts        []shardplan.Option
	configured  bool
	lastOrderID int
	state       []*plannedEngine
}

// plannedEngine is the state that an engine reports, except its entries.
type plannedEngine struct {
	address  netip.AddrPort
	fencing  int64
	sequence int64
	executed []string
}

// NewPlanned returns the placement policy of the controller.
func NewPlanned() *Planned { return newPlanned() }

// NewStatic returns the placement policy of the controller without moves for
// demand: its settle time is longer than any simulation.
func NewStatic() *Planned {
	return newPlanned(shardplan.WithSettleTime(100 * 365 * 24 * time.Hour))
}

// NewGreedy returns the placement policy of the controller without hysteresis:
// every improvement for the present demand is made at once.
func NewGreedy() *Planned {
	return newPlanned(shardplan.WithPlacement(placement.New(placement.WithMinGain(0), placement.WithCoolDown(0))))
}

func newPlanned(opts ...shardplan.Option) *Planned {
	return &Planned{demand: demand.New(), store: tablestore.New(), opts: opts}
}

// Commits returns the number of transactions that the planner has committed.
func (p *Planned) Commits() int64 { return p.store.Counts().Commits }

// configure creates the plan for the deployment.
func (p *Planned) configure(sim *Simulation) {
	p.configured = true
	objects := (&object.Set{Pools: map[string]object.Pool{"engines": {
		Kind: object.PoolEngines, LoadsPerSecond: sim.Deployment.LoadsPerSecond, LoadsAtOnce: sim.Deployment.LoadsAtOnce,
	}}}).Clone()
	work := shardplan.Config{Pool: "engines", Objects: objects, ShardCount: 1}
	for i := range sim.engines {
		name := fmt.Sprintf("engine-%03d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		p.state = append(p.state, &plannedEngine{address: address})
		objects.Targets[name] = object.Target{
			Pool: "engines", Address: address, VM: name, DataCentre: strconv.Itoa(i % 3),
			MemoryBytes: engineMemory, ChecksFencing: i%2 == 0,
		}
		work.Targets = append(work.Targets, name)
	}
	for i, size := range sim.Sizes {
		objects.Models[modelName(i)] = object.Model{Pool: "engines", Version: "1", MemoryBytes: size}
		work.Models = append(work.Models, modelName(i))
	}
	p.plan = shardplan.New(func() string { p.lastOrderID++; return strconv.Itoa(p.lastOrderID) }, p.opts...)
	p.plan.Configure(work, sim.Now)
}

func modelName(i int) string { return fmt.Sprintf("model-%03d", i) }

// OnRequest records the demand for the model.
func (p *Planned) OnRequest(sim *Simulation, model int, tokens float64) {
	p.demand.Add("gateway", modelName(model), tokens, 0, sim.Now)
}

// Step makes a plan every planInterval, from the reports of the engines, and
// executes its orders at once.
func (p *Planned) Step(sim *Simulation) {
	if !p.configured {
		p.configure(sim)
	}
	if sim.Now.Sub(sim.start)%planInterval != 0 {
		return
	}
	for _, address := range p.plan.UnreadRows() {
		row, _ := p.store.Get(context.Background(), ledger.RowKey(address))
		_ = p.plan.RecordRow(address, row, sim.Now)
	}
	for i := range p.state {
		p.plan.Report(p.state[i].address, p.report(sim, i), sim.Now)
	}
	for _, tx := range p.plan.NextTransactions(p.demand, sim.Now) {
		version, err := table.Commit(context.Background(), p.store, table.NewTx(tx.Writes()...))
		p.plan.RecordCommit(tx, version, err)
		for _, update := range tx.Updates {
			p.executeOrders(sim, update)
		}
	}
}

func (p *Planned) report(sim *Simulation, i int) *engine.Report {
	e := p.state[i]
	e.sequence++
	r := &engine.Report{
		BootID: e.address.String(), MemoryBytes: engineMemory, Fencing: e.fencing, Sequence: e.sequence, ExecutedOrders: e.executed,
	}
	for model, h := range sim.engines[i].held {
		state := engine.Loaded
		if h.ready.After(sim.Now) {
			state = engine.Loading
		}
		r.Entries = append(r.Entries, engine.Entry{
			Kind: object.KindModel, Name: modelName(model), Version: "1", MemoryBytes: sim.Sizes[model], State: state,
		})
	}
	return r
}

func (p *Planned) executeOrders(sim *Simulation, update *shardplan.EngineUpdate) {
	var answered []string
	for _, o := range update.Orders {
		for i, e := range p.state {
			if e.address == update.Address {
				p.executeOrder(sim, i, &o)
			}
		}
		answered = append(answered, o.OrderID)
	}
	p.plan.RecordAnswers(update, answered)
}

func (p *Planned) executeOrder(sim *Simulation, i int, o *engine.Order) {
	e := p.state[i]
	e.fencing = max(e.fencing, o.Fencing)
	e.executed = append(e.executed, o.OrderID)
	var model int
	_, _ = fmt.Sscanf(o.Name, "model-%d", &model)
	if o.Action == engine.Unload {
		delete(sim.engines[i].held, model)
		return
	}
	sim.load(i, model)
}
