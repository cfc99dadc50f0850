package shardplan

import (
	"maps"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/demand"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/placement"
)

// decide runs placement and records its actions in the ledgers.
func (p *Plan) decide(d *demand.Estimator, now time.Time) {
	in, ok := p.placementInput(d, now)
	if !ok {
		return
	}
	byTarget := map[string]*engineState{}
	for _, e := range p.engines {
		byTarget[e.target] = e
	}
	for _, action := range p.placement.Decide(in) {
		switch a := action.(type) {
		case placement.Load:
			p.load(byTarget[a.Target], a)
		case placement.Unload:
			p.unload(byTarget[a.Target], a)
		}
	}
}

// load records a load order in the ledger of e, if the ledger may be changed.
func (p *Plan) load(e *engineState, a placement.Load) {
	if e == nil || !e.ready() {
		return
	}
	id := p.newID()
	if !e.ledger.Load(id, a.Weights, a.MemoryBytes) {
		return
	}
	e.dirty = true
	p.reasons[id] = a.Reason
	if a.Weights.Kind == object.KindModel {
		p.loadPermits.Take(1)
	}
}

// unload records an unload order in the ledger of e. The unload of a model is
// written in one transaction with the row of another engine that serves the
// model, so that two planners cannot each unload the replica that the other one
// relies on. No second row is needed if e keeps another version of the model.
func (p *Plan) unload(e *engineState, a placement.Unload) {
	if e == nil || !e.ready() {
		return
	}
	if p.needsReplica(a.Weights) && !e.servesOtherVersion(a.Weights) {
		otherReplica := p.otherReplica(e, a.Weights.Name)
		if otherReplica == nil {
			return
		}
		p.mergeGroups(e, otherReplica)
	}
	id := p.newID()
	if e.ledger.Unload(id, a.Weights) {
		e.dirty = true
		p.reasons[id] = a.Reason
	}
}

// needsReplica reports whether w belongs to a model of the shard, which must
// keep a replica.
func (p *Plan) needsReplica(w ledger.Weights) bool {
	return w.Kind == object.KindModel && slices.Contains(p.config.Models, w.Name)
}

// otherReplica returns an engine other than e that serves the model and whose
// row can be written now, or nil.
func (p *Plan) otherReplica(e *engineState, model string) *engineState {
	for _, o := range p.sortedEngines() {
		if o == e || !o.ready() || o.report.BootID != o.ledger.BootID {
			continue
		}
		if o.serves(model) {
			return o
		}
	}
	return nil
}

// serves reports whether the ledger records any version of the model as loaded.
func (e *engineState) serves(model string) bool {
	return slices.ContainsFunc(e.ledger.Entries, func(entry ledger.Entry) bool {
		return entry.Kind == object.KindModel && entry.Name == model && entry.State == ledger.Loaded
	})
}

// servesOtherVersion reports whether the engine serves another version of the
// model w.
func (e *engineState) servesOtherVersion(w ledger.Weights) bool {
	return slices.ContainsFunc(e.ledger.Entries, func(entry ledger.Entry) bool {
		return entry.Kind == w.Kind && entry.Name == w.Name && entry.Version != w.Version && entry.State == ledger.Loaded
	})
}

// mergeGroups puts the rows of two engines, and of all engines in their groups,
// into one transaction.
func (p *Plan) mergeGroups(a, b *engineState) {
	from, to := b.group, a.group
	for _, e := range p.engines {
		if e.group == from {
			e.group = to
		}
	}
	a.mustWrite = true
	b.mustWrite = true
}

// placementInput returns the state of the shard as input for placement. It
// returns false if the shard has no engines, or if a ledger has not been read:
// models might be loaded on that engine.
func (p *Plan) placementInput(d *demand.Estimator, now time.Time) (*placement.Input, bool) {
	in := &placement.Input{Now: now, DemandSettled: d.ObservedFor(now) >= p.settleTime}
	models, adapters := 0, 0
	for _, e := range p.sortedEngines() {
		if e.ledger == nil {
			return nil, false
		}
		target := p.config.Objects.Targets[e.target]
		in.Engines = append(in.Engines, placement.Engine{
			Target: e.target, VM: target.VM, DataCentre: target.DataCentre, Ledger: e.ledger,
			Reachable: e.reachable && e.report != nil && e.report.BootID == e.ledger.BootID,
			Busy:      e.busy,
			Down:      p.config.Leaving[e.target] || !e.reachable && now.Sub(e.lastSeen) >= p.downAfter,
		})
		models += e.countLoading(object.KindModel)
		adapters += e.countLoading(object.KindAdapter)
	}
	pool := p.config.Objects.Pools[p.config.Pool]
	in.MaxLoads = p.loadPermits.Available(now, models)
	in.MaxAdapterLoads = p.maxAdapterLoads(&pool) - adapters
	p.addModels(in, d.Levels(now))
	return in, len(in.Engines) > 0
}

// countLoading returns the number of loads in progress on the engine, or 0 if
// it cannot be reached.
func (e *engineState) countLoading(kind object.Kind) int {
	n := 0
	for i := range e.ledger.Entries {
		if e.reachable && e.ledger.Entries[i].Kind == kind && e.ledger.Entries[i].State == ledger.Loading {
			n++
		}
	}
	return n
}

// unlimitedAdapterLoads is the limit of adapter loads of a pool that sets none.
const unlimitedAdapterLoads = 1 << 20

// maxAdapterLoads returns how many adapters may load at once in this shard: an
// equal part of the limit of the pool, but at least 1.
func (p *Plan) maxAdapterLoads(pool *object.Pool) int {
	if pool.AdapterLoadsAtOnce == 0 {
		return unlimitedAdapterLoads
	}
	return max(1, pool.AdapterLoadsAtOnce/max(1, p.config.ShardCount))
}

// addModels adds the models and adapters of the shard with their demand. The
// demand for an adapter also counts as demand for its base model.
func (p *Plan) addModels(in *placement.Input, levels map[string]demand.Level) {
	objects := p.config.Objects
	index := map[string]int{}
	for _, name := range p.config.Models {
		m := objects.Models[name]
		index[name] = len(in.Models)
		in.Models = append(in.Models, placement.Model{
			Name: name, Version: m.Version, MemoryBytes: m.MemoryBytes, Replicas: m.Replicas,
			TokensPerSecond: levels[name].TokensPerSecond, Waiting: levels[name].Waiting,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(objects.Adapters)) {
		a := objects.Adapters[name]
		i, ok := index[a.Model]
		if !ok {
			continue
		}
		in.Adapters = append(in.Adapters, placement.Adapter{
			Name: name, Model: a.Model, Version: a.Version, MemoryBytes: a.MemoryBytes,
			TokensPerSecond: levels[name].TokensPerSecond, Waiting: levels[name].Waiting,
		})
		in.Models[i].TokensPerSecond += levels[name].TokensPerSecond
	}
}
