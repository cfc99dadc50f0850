package shardplan

import (
	"time"

	"fireflypier.example/fireflypier/internal/demand"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
)

// Status is what operators see of a shard.
type Status struct {
	// Shard and Pool name the shard.
	Shard string `json:"shard"`
	Pool  string `json:"pool"`
	// Engines tells what is where, Models which model is at risk.
	Engines []EngineStatus `json:"engines"`
	Models  []ModelStatus  `json:"models"`
}

// EngineStatus is what operators see of an engine.
type EngineStatus struct {
	// Target names the engine.
	Target string `json:"target"`
	// Reachable tells whether the last report was answered.
	Reachable bool `json:"reachable"`
	// MemoryBytes is the usable memory, ReservedBytes what is recorded as
	// taken, PinnedBytes the part of it that only a restart frees.
	MemoryBytes   int64 `json:"memory_bytes"`
	ReservedBytes int64 `json:"reserved_bytes"`
	PinnedBytes   int64 `json:"pinned_bytes,omitzero"`
	// Moving lists the loads and unloads under way.
	Moving []Moving `json:"moving,omitzero"`
}

// Moving is a load or an unload under way.
type Moving struct {
	// Weights is "kind/name@version", State the entry's state.
	Weights string       `json:"weights"`
	State   ledger.State `json:"state"`
	// Reason is empty for an order of a former planner.
	Reason  string `json:"reason,omitzero"`
	OrderID string `json:"order_id"`
}

// ModelStatus is what operators see of a model.
type ModelStatus struct {
	// Name and Version name the configured weights.
	Name    string `json:"name"`
	Version string `json:"version"`
	// TokensPerSecond is the estimated demand, Waiting the requests that
	// wait for the weights.
	TokensPerSecond float64 `json:"tokens_per_second"`
	Waiting         int     `json:"waiting,omitzero"`
	// AtRisk is set below two serving replicas, Unreachable below one.
	AtRisk      bool `json:"at_risk,omitzero"`
	Unreachable bool `json:"unreachable,omitzero"`
	// Replicas lists where the model is.
	Replicas []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus is one replica of a model.
type ReplicaStatus struct {
	// Target names the engine, Version the weights there.
	Target    string       `json:"target"`
	Version   string       `json:"version"`
	State     ledger.State `json:"state"`
	Reachable bool         `json:"reachable"`
}

// Status returns what operators see of the shard.
func (p *Plan) Status(d *demand.Estimator, now time.Time) Status {
	s := Status{Pool: p.work.Pool}
	levels := d.Levels(now)
	index := map[string]int{}
	for _, name := range p.work.Models {
		index[name] = len(s.Models)
		s.Models = append(s.Models, ModelStatus{
			Name: name, Version: p.work.Objects.Models[name].Version,
			TokensPerSecond: levels[name].TokensPerSecond, Waiting: levels[name].Waiting,
		})
	}
	for _, e := range p.sorted() {
		s.Engines = append(s.Engines, p.engineStatus(e))
		e.addReplicas(s.Models, index)
	}
	for i := range s.Models {
		s.Models[i].judge()
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
			status.Moving = append(status.Moving, Moving{
				Weights: entry.String(), State: entry.State, Reason: p.reasons[entry.OrderID], OrderID: entry.OrderID,
			})
		}
	}
	return status
}

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

func (m *ModelStatus) judge() {
	serving := 0
	for _, r := range m.Replicas {
		if r.State == ledger.Loaded && r.Reachable {
			serving++
		}
	}
	m.AtRisk = serving < 2
	m.Unreachable = serving == 0
}
