package shardplan

import (
	"time"

	"fireflypier.example/fireflypier/internal/demand"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
)

// Status is the state of a shard, as shown to operators.
type Status struct {
	// Shard is the key of the shard, Pool the name of its pool.
	Shard string `json:"shard"`
	Pool  string `json:"pool"`
	// Engines lists the engines with their memory, Models the models with their
	// replicas.
	Engines []EngineStatus `json:"engines"`
	Models  []ModelStatus  `json:"models"`
}

// EngineStatus is the state of an engine, as shown to operators.
type EngineStatus struct {
	// Target is the name of the engine.
	Target string `json:"target"`
	// Reachable is set if the last request for a report was answered.
	Reachable bool `json:"reachable"`
	// MemoryBytes is the usable memory, ReservedBytes the memory reserved in
	// the ledger, and PinnedBytes the part of it that is freed only when the
	// engine restarts.
	MemoryBytes   int64 `json:"memory_bytes"`
	ReservedBytes int64 `json:"reserved_bytes"`
	PinnedBytes   int64 `json:"pinned_bytes,omitzero"`
	// Operations lists the loads and unloads in progress.
	Operations []Operation `json:"moving,omitzero"`
}

// Operation is a load or an unload in progress.
type Operation struct {
	// Weights is "kind/name@version", State the state of the ledger entry.
	Weights string       `json:"weights"`
	State   ledger.State `json:"state"`
	// Reason is one of the reasons of package placement. It is empty for an
	// order that a previous planner has recorded.
	Reason  string `json:"reason,omitzero"`
	OrderID string `json:"order_id"`
}

// ModelStatus is the state of a model, as shown to operators.
type ModelStatus struct {
	// Name and Version identify the configured weights.
	Name    string `json:"name"`
	Version string `json:"version"`
	// TokensPerSecond is the estimated demand, Waiting the number of requests
	// that wait for the weights.
	TokensPerSecond float64 `json:"tokens_per_second"`
	Waiting         int     `json:"waiting,omitzero"`
	// AtRisk is set if fewer than two replicas are serving, Unreachable if
	// none is.
	AtRisk      bool `json:"at_risk,omitzero"`
	Unreachable bool `json:"unreachable,omitzero"`
	// Replicas lists the ledger entries of the model, of any version and state.
	Replicas []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus is one replica of a model.
type ReplicaStatus struct {
	// Target is the name of the engine, Version the version on it.
	Target    string       `json:"target"`
	Version   string       `json:"version"`
	State     ledger.State `json:"state"`
	Reachable bool         `json:"reachable"`
}

// Status returns the state of the shard. Its Shard field is left empty.
func (p *Plan) Status(d *demand.Estimator, now time.Time) Status {
	s := Status{Pool: p.config.Pool}
	levels := d.Levels(now)
	index := map[string]int{}
	for _, name := range p.config.Models {
		index[name] = len(s.Models)
		s.Models = append(s.Models, ModelStatus{
			Name: name, Version: p.config.Objects.Models[name].Version,
			TokensPerSecond: levels[name].TokensPerSecond, Waiting: levels[name].Waiting,
		})
	}
	for _, e := range p.sortedEngines() {
		s.Engines = append(s.Engines, p.engineStatus(e))
		e.addReplicas(s.Models, index)
	}
	for i := range s.Models {
		s.Models[i].setRisk()
	}
	return s
}

func (p *Plan) engineStatus(e *engineState) EngineStatus {
	status := EngineStatus{Target: e.target, Reachable: e.reachable}
	if e.ledger == nil {
		return status
	}
	status.MemoryBytes = e.ledger.MemoryBytes
	status.ReservedBytes = e.ledger.Reserved()
	for i := range e.ledger.Entries {
		entry := &e.ledger.Entries[i]
		if e.ledger.Pinned(entry) {
			status.PinnedBytes += entry.MemoryBytes
		}
		if entry.State != ledger.Loaded {
			status.Operations = append(status.Operations, Operation{
				Weights: entry.String(), State: entry.State, Reason: p.reasons[entry.OrderID], OrderID: entry.OrderID,
			})
		}
	}
	return status
}

// addReplicas adds the models in the ledger of e to the status of the models;
// index holds their positions by name.
func (e *engineState) addReplicas(models []ModelStatus, index map[string]int) {
	if e.ledger == nil {
		return
	}
	for _, entry := range e.ledger.Entries {
		i, ok := index[entry.Name]
		if !ok || entry.Kind != object.KindModel {
			continue
		}
		models[i].Replicas = append(models[i].Replicas, ReplicaStatus{
			Target: e.target, Version: entry.Version, State: entry.State, Reachable: e.reachable,
		})
	}
}

// setRisk sets AtRisk and Unreachable from the replicas.
func (m *ModelStatus) setRisk() {
	serving := 0
	for _, r := range m.Replicas {
		if r.State == ledger.Loaded && r.Reachable {
			serving++
		}
	}
	m.AtRisk = serving < 2
	m.Unreachable = serving == 0
}
