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

// decide asks placement and records what it wants in the ledgers.
func (p *Plan) decide(d *demand.Estimator, now time.Time) {
	in, ok := p.input(d, now)
	if !ok {
		return
	}
	byTarget := map[string]*engineState{}
	for _, e := range p.engines {
		byTarget[e.target] = e
	}
	for _, action := range p.placement.Next(in) {
		switch a := action.(type) {
		case placement.Load:
			p.load(byTarget[a.Target], a)
		case placement.Unload:
			p.unload(byTarget[a.Target], a)
		}
	}
}

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
		p.loads.Take(1)
	}
}

// unload records an unload. The unload of a model is written together with
// the row of an engine that serves the model and goes on, so that no two
// planners can unload each other's last replica. An engine that keeps another
// version needs no second row.
func (p *Plan) unload(e *engineState, a placement.Unload) {
	if e == nil || !e.ready() {
		return
	}
	if p.isServed(a.Weights) && !e.keepsOther(a.Weights) {
		witness := p.witness(e, a.Weights.Name)
		if witness == nil {
			return
		}
		p.link(e, witness)
	}
	id := p.newID()
	if e.ledger.Unload(id, a.Weights) {
		e.dirty = true
		p.reasons[id] = a.Reason
	}
}

// isServed reports whether w belongs to a model that must keep a replica.
func (p *Plan) isServed(w ledger.Weights) bool {
	return w.Kind == object.KindModel && slices.Contains(p.work.Models, w.Name)
}

// witness returns another engine that serves the model and can be written
// now.
func (p *Plan) witness(e *engineState, model string) *engineState {
	for _, o := range p.sorted() {
		if o == e || !o.ready() || o.report.BootID != o.ledger.BootID {
			continue
		}
		if o.serves(model) {
			return o
		}
	}
	return nil
}

func (e *engineState) serves(model string) bool {
	return slices.ContainsFunc(e.ledger.Entries, func(entry ledger.Entry) bool {
		return entry.Kind == object.KindModel && entry.Name == model && entry.State == ledger.Loaded
	})
}

// keepsOther reports whether the engine serves another version of the model w.
func (e *engineState) keepsOther(w ledger.Weights) bool {
	return slices.ContainsFunc(e.ledger.Entries, func(entry ledger.Entry) bool {
		return entry.Kind == w.Kind && entry.Name == w.Name && entry.Version != w.Version && entry.State == ledger.Loaded
	})
}

// link makes the rows of two engines part of one transaction.
func (p *Plan) link(a, b *engineState) {
	from, to := b.group, a.group
	for _, e := range p.engines {
		if e.group == from {
			e.group = to
		}
	}
	a.linked = true
	b.linked = true
}

// input describes the shard to placement. It reports false while a ledger
// has not been read, since its models might be served there.
func (p *Plan) input(d *demand.Estimator, now time.Time) (*placement.Input, bool) {
	in := &placement.Input{Now: now, Settled: d.ObservedFor(now) >= p.settleTime}
	models, adapters := 0, 0
	for _, e := range p.sorted() {
		if e.ledger == nil {
			return nil, false
		}
		target := p.work.Objects.Targets[e.target]
		in.Engines = append(in.Engines, placement.Engine{
			Target: e.target, VM: target.VM, DataCentre: target.DataCentre, Ledger: e.ledger,
			Reachable: e.reachable && e.report != nil && e.report.BootID == e.ledger.BootID,
			Busy:      e.busy,
			Down:      p.work.Leaving[e.target] || !e.reachable && now.Sub(e.heard) >= p.downAfter,
		})
		models += e.loading(object.KindModel)
		adapters += e.loading(object.KindAdapter)
	}
	pool := p.work.Objects.Pools[p.work.Pool]
	in.Loads = p.loads.Available(now, models)
	in.AdapterLoads = p.adapterLoads(&pool) - adapters
	p.addModels(in, d.Levels(now))
	return in, len(in.Engines) > 0
}

// loading counts the loads under way at a reachable engine.
func (e *engineState) loading(kind object.Kind) int {
	n := 0
	for i := range e.ledger.Entries {
		if e.reachable && e.ledger.Entries[i].Kind == kind && e.ledger.Entries[i].State == ledger.Loading {
			n++
		}
	}
	return n
}

// unlimitedAdapterLoads stands for a pool without a limit.
const unlimitedAdapterLoads = 1 << 20

func (p *Plan) adapterLoads(pool *object.Pool) int {
	if pool.AdapterLoadsAtOnce == 0 {
		return unlimitedAdapterLoads
	}
	return max(1, pool.AdapterLoadsAtOnce/max(1, p.work.Shards))
}

// addModels adds the shard's models and adapters with their demand. A request
// for an adapter is a request for its model as well.
func (p *Plan) addModels(in *placement.Input, levels map[string]demand.Level) {
	objects := p.work.Objects
	index := map[string]int{}
	for _, name := range p.work.Models {
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
