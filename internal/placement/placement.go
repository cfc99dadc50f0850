// Package placement decides which engines load or unload which models and
// adapters. It keeps at least one confirmed replica of every model and
// distributes the remaining memory by demand, if the gain of a move exceeds a
// threshold.
package placement

import (
	"time"

	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
)

// Engine describes an engine to place models on.
type Engine struct {
	// Target is the name of the engine; VM and DataCentre are its location.
	Target     string
	VM         string
	DataCentre string
	// Ledger records the memory reservations of the engine. It is read only.
	Ledger *ledger.Ledger
	// Reachable is set if the engine answered the last request for a report.
	// Down is set if the engine is leaving or has not answered for so long
	// that its replicas no longer count.
	Reachable bool
	Down      bool
	// Busy is set if the engine cannot take orders now.
	Busy bool
}

// Model is a model to place.
type Model struct {
	// Name, Version and MemoryBytes describe the weights.
	Name        string
	Version     string
	MemoryBytes int64
	// Replicas is the minimum number of replicas; zero means two if memory
	// allows.
	Replicas int
	// TokensPerSecond is the demand, Waiting the number of requests that wait
	// for a replica.
	TokensPerSecond float64
	Waiting         int
}

// Adapter is an adapter of a model, loaded on demand.
type Adapter struct {
	// Name, Version and MemoryBytes describe the weights; Model is the name of
	// the base model.
	Name        string
	Model       string
	Version     string
	MemoryBytes int64
	// TokensPerSecond is the demand, Waiting the number of requests that wait
	// for a replica.
	TokensPerSecond float64
	Waiting         int
}

// Input is the state on which one decision is based.
type Input struct {
	// Engines, Models and Adapters are sorted by name.
	Engines  []Engine
	Models   []Model
	Adapters []Adapter
	// MaxLoads and MaxAdapterLoads limit the loads of models and of adapters
	// that may start now.
	MaxLoads        int
	MaxAdapterLoads int
	// DemandSettled is set once demand has been observed for long enough to
	// move replicas for it.
	DemandSettled bool
	// Now is the time of the decision.
	Now time.Time
}

// Action is a Load or an Unload.
type Action interface{ action() }

// Load is the decision to load weights on an engine.
type Load struct {
	// Target is the name of the engine.
	Target      string
	Weights     ledger.Weights
	MemoryBytes int64
	// Reason is one of the Reason constants; it is shown to operators.
	Reason string
}

// Unload is the decision to unload weights from an engine.
type Unload struct {
	// Target is the name of the engine.
	Target  string
	Weights ledger.Weights
	// Reason is one of the Reason constants; it is shown to operators.
	Reason string
}

func (Load) action()   {}
func (Unload) action() {}

// Reasons for actions, as shown to operators.
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
	// defaultMinGain is the minimum decrease of the balance cost for which a
	// replica is moved, as a fraction of the cost of an even distribution.
	defaultMinGain = 0.01
	// defaultCoolDown is the minimum time between two moves of one model for
	// demand, unless the gain exceeds urgentGainFactor times the threshold.
	defaultCoolDown  = time.Minute
	urgentGainFactor = 5
)

// Placement decides on the models of one shard. It performs no I/O and is not
// safe for concurrent use.
type Placement struct {
	minGain   float64
	coolDown  time.Duration
	lastMoved map[string]time.Time
}

// Option configures a Placement.
type Option func(*Placement)

// WithMinGain sets the minimum gain of a move; see defaultMinGain.
func WithMinGain(gain float64) Option { return func(p *Placement) { p.minGain = gain } }

// WithCoolDown sets the minimum time between two moves of one model for demand.
func WithCoolDown(d time.Duration) Option { return func(p *Placement) { p.coolDown = d } }

// New returns a Placement with default settings, changed by opts.
func New(opts ...Option) *Placement {
	p := &Placement{minGain: defaultMinGain, coolDown: defaultCoolDown, lastMoved: map[string]time.Time{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Decide returns the actions to start now, the most urgent first.
func (p *Placement) Decide(in *Input) []Action {
	v := newView(in)
	v.unloadStale()
	v.enforceMemoryLimit()
	for desired := 1; desired <= v.maxDesired(); desired++ {
		for _, m := range v.byUrgency() {
			v.ensureReplicas(m, desired)
		}
		if desired == 1 {
			v.rollOut()
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

// desired returns the number of replicas that the model should have,
// regardless of demand.
func (m *Model) desired() int {
	if m.Replicas == 0 {
		return defaultReplicas
	}
	return m.Replicas
}
