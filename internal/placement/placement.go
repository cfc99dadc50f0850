// Package placement decides which engine should load or unload which model
// and adapter. Every model keeps a confirmed replica; what memory is left
// follows demand, where a move earns more than it costs.
package placement

import (
	"time"

	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
)

// Engine is an engine that placement may use.
type Engine struct {
	// Target names the engine, VM and DataCentre tell where it is.
	Target     string
	VM         string
	DataCentre string
	// Ledger is the record of its memory; it is not changed.
	Ledger *ledger.Ledger
	// Reachable engines answered their last report; Down engines are leaving,
	// or have not answered for long enough to be given up.
	Reachable bool
	Down      bool
	// Busy engines take no orders now.
	Busy bool
}

// Model is a model to place.
type Model struct {
	// Name, Version and MemoryBytes describe the weights.
	Name        string
	Version     string
	MemoryBytes int64
	// Replicas is the number wanted at least; zero means two where memory
	// allows.
	Replicas int
	// TokensPerSecond is the demand, Waiting the requests without a replica.
	TokensPerSecond float64
	Waiting         int
}

// Adapter is an adapter that is loaded on demand.
type Adapter struct {
	// Name, Model, Version and MemoryBytes describe the weights.
	Name        string
	Model       string
	Version     string
	MemoryBytes int64
	// TokensPerSecond is the demand, Waiting the requests without a replica.
	TokensPerSecond float64
	Waiting         int
}

// Input is what one decision stands on.
type Input struct {
	// Engines, Models and Adapters are sorted by name.
	Engines  []Engine
	Models   []Model
	Adapters []Adapter
	// MaxLoads and AdapterLoads bound the loads that may begin now.
	MaxLoads        int
	MaxAdapterLoads int
	// DemandSettled is false while demand has not been observed long enough to
	// move anything for it.
	DemandSettled bool
	// Now is the time of the decision.
	Now time.Time
}

// Action is an order that placement asks for: a Load or an Unload.
type Action interface{ action() }

// Load asks an engine to load weights.
type Load struct {
	// Target names the engine, Weights what to load.
	Target      string
	Weights     ledger.Weights
	MemoryBytes int64
	// Reason tells operators why.
	Reason string
}

// Unload asks an engine to unload weights.
type Unload struct {
	// Target names the engine, Weights what to unload.
	Target  string
	Weights ledger.Weights
	// Reason tells operators why.
	Reason string
}

func (Load) action()   {}
func (Unload) action() {}

// The reasons of actions.
const (
	ReasonUnreachable     = "model has no replica"
	ReasonAtRisk          = "model has one replica"
	ReasonUnderReplicated = "model has fewer replicas than wanted"
	ReasonDemand          = "demand"
	ReasonRollout         = "new version"
	ReasonRemoved         = "not configured"
	ReasonEviction        = "room for another model"
	ReasonMemoryReduced   = "memory was lowered"
	ReasonAdapterDemand   = "requests need the adapter"
	ReasonOrphan          = "the adapter's model is not loaded here"
)

const (
	defaultReplicas = 2
	// defaultMinGain is the least improvement of the balance for which a
	// replica is moved, as a part of the cost of an even balance.
	defaultMinGain = 0.01
	// defaultCoolDown is the time between two moves for the demand of one
	// model, unless the gain is urgentGain times the least one.
	defaultCoolDown = time.Minute
	urgentGain      = 5
)

// Placement decides for the models of one shard. It has no input or output
// and belongs to one goroutine.
type Placement struct {
	minGain  float64
	coolDown time.Duration
	moved    map[string]time.Time
}

// Option changes a Placement under construction.
type Option func(*Placement)

// WithMinGain sets the least gain of a move; see defaultMinGain.
func WithMinGain(gain float64) Option { return func(p *Placement) { p.minGain = gain } }

// WithCoolDown sets the time between two moves for one model.
func WithCoolDown(d time.Duration) Option { return func(p *Placement) { p.coolDown = d } }

// New returns a placement.
func New(opts ...Option) *Placement {
	p := &Placement{minGain: defaultMinGain, coolDown: defaultCoolDown, moved: map[string]time.Time{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Decide returns the orders to begin now, the most pressing first.
func (p *Placement) Decide(in *Input) []Action {
	v := newView(in)
	v.dropUnwanted()
	v.shrink()
	for wanted := 1; wanted <= v.mostWanted(); wanted++ {
		for _, m := range v.byUrgency() {
			v.ensure(m, wanted)
		}
		if wanted == 1 {
			v.roll()
		}
	}
	v.loadAdapters()
	if in.DemandSettled {
		p.balance(v)
	}
	return v.actions
}

func (m *Model) weights() ledger.Weights {
	return ledger.Weights{Kind: object.KindModel, Name: m.Name, Version: m.Version}
}

func (a *Adapter) weights() ledger.Weights {
	return ledger.Weights{Kind: object.KindAdapter, Name: a.Name, Version: a.Version}
}

// wanted returns the replicas that the model should have, demand aside.
func (m *Model) wanted() int {
	if m.Replicas == 0 {
		return defaultReplicas
	}
	return m.Replicas
}
