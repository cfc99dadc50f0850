package placement

import (
	"cmp"
	"slices"

	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
)

// view is the working state of one decision: what the engines hold, updated for
// the actions decided so far.
type view struct {
	in        *Input
	engines   []*engineView
	models    []*modelView
	byName    map[string]*modelView
	adapters  map[string]*Adapter
	loadsLeft int
	actions   []Action
}

// engineView is the working state of an engine.
type engineView struct {
	*Engine
	// free is the memory that loads may take now; pending is the memory that
	// unloads in progress will free, both in bytes.
	free    int64
	pending int64
	// load is the demand served by the engine, in tokens per second.
	load float64
	// unloaded is the set of entries that this decision unloads.
	unloaded map[ledger.Weights]bool
}

// modelView is the working state of a model.
type modelView struct {
	*Model
	// serving are the engines that have confirmed a loaded replica of any
	// version; current are those of them with the configured version.
	serving []*engineView
	current []*engineView
	// pending are the engines that are expected to serve the configured
	// version, but have not confirmed it: it is loading, lost, or on an engine
	// that cannot be reached.
	pending []*engineView
	// old are the confirmed replicas of other versions.
	old []oldReplica
}

type oldReplica struct {
	engine  *engineView
	weights ledger.Weights
}

func newView(in *Input) *view {
	v := &view{
		in: in, loadsLeft: in.MaxLoads,
		byName:   make(map[string]*modelView, len(in.Models)),
		adapters: make(map[string]*Adapter, len(in.Adapters)),
	}
	for i := range in.Models {
		m := &modelView{Model: &in.Models[i]}
		v.models = append(v.models, m)
		v.byName[m.Name] = m
	}
	for i := range in.Adapters {
		v.adapters[in.Adapters[i].Name] = &in.Adapters[i]
	}
	for i := range in.Engines {
		e := &engineView{Engine: &in.Engines[i], unloaded: map[ledger.Weights]bool{}}
		e.free = e.Ledger.Free()
		v.engines = append(v.engines, e)
		v.indexEntries(e)
	}
	for _, m := range v.models {
		m.applyLoad(1)
	}
	return v
}

// indexEntries adds the entries in the ledger of e to the models and to the
// pending memory of e.
func (v *view) indexEntries(e *engineView) {
	for i := range e.Ledger.Entries {
		entry := &e.Ledger.Entries[i]
		if entry.State == ledger.Unloading && !e.Ledger.Pinned(entry) {
			e.pending += entry.MemoryBytes
		}
		m := v.byName[entry.Name]
		if entry.Kind != object.KindModel || m == nil || e.Down {
			continue
		}
		isCurrent := entry.Version == m.Version
		switch {
		case entry.State == ledger.Loaded && e.Reachable:
			m.serving = append(m.serving, e)
			if isCurrent {
				m.current = append(m.current, e)
			} else {
				m.old = append(m.old, oldReplica{e, entry.Weights})
			}
		case isCurrent && entry.State != ledger.Unloading:
			m.pending = append(m.pending, e)
		}
	}
}

// replicas returns the engines that serve the model or are expected to.
func (m *modelView) replicas() []*engineView {
	return append(slices.Clone(m.serving), m.pending...)
}

// loadPerReplica returns the demand for each of n replicas, or 0 if n is 0.
func (m *modelView) loadPerReplica(n int) float64 {
	if n == 0 {
		return 0
	}
	return m.TokensPerSecond / float64(n)
}

// applyLoad distributes the demand of m over the load of its engines; a sign of
// -1 subtracts it.
func (m *modelView) applyLoad(sign float64) {
	replicas := m.replicas()
	for _, e := range replicas {
		e.load += sign * m.loadPerReplica(len(replicas))
	}
}

// maxDesired returns the largest desired number of replicas of any model, at
// least 1.
func (v *view) maxDesired() int {
	most := 1
	for _, m := range v.models {
		most = max(most, m.desired())
	}
	return most
}

// byUrgency returns the models sorted by ascending number of confirmed
// replicas, then by descending waiting requests and demand.
func (v *view) byUrgency() []*modelView {
	ordered := slices.Clone(v.models)
	slices.SortStableFunc(ordered, func(a, b *modelView) int {
		return cmp.Or(
			cmp.Compare(len(a.serving), len(b.serving)),
			cmp.Compare(b.Waiting, a.Waiting),
			cmp.Compare(b.TokensPerSecond, a.TokensPerSecond),
		)
	})
	return ordered
}

// load adds a load of m on e to the actions, unless the limit of loads is
// reached.
func (v *view) load(e *engineView, m *modelView, reason string) {
	if v.loadsLeft <= 0 {
		return
	}
	v.loadsLeft--
	m.applyLoad(-1)
	e.free -= m.MemoryBytes
	m.pending = append(m.pending, e)
	m.applyLoad(1)
	v.actions = append(v.actions, Load{Target: e.Target, Weights: m.weights(), MemoryBytes: m.MemoryBytes, Reason: reason})
}

// unload adds an unload to the actions, unless the engine is busy or the entry
// is unloading, pinned or not recorded. The memory stays reserved until the
// engine has confirmed the unload.
func (v *view) unload(e *engineView, w ledger.Weights, reason string) {
	entry := e.Ledger.Find(w)
	if e.Busy || entry == nil || entry.State == ledger.Unloading || e.unloaded[w] || e.Ledger.Pinned(entry) {
		return
	}
	e.unloaded[w] = true
	e.pending += entry.MemoryBytes
	if m := v.byName[w.Name]; m != nil && w.Kind == object.KindModel {
		m.applyLoad(-1)
		m.removeReplica(e, w)
		m.applyLoad(1)
	}
	v.actions = append(v.actions, Unload{Target: e.Target, Weights: w, Reason: reason})
}

// removeReplica removes the replica w on e from the lists of m.
func (m *modelView) removeReplica(e *engineView, w ledger.Weights) {
	sameEngine := func(o *engineView) bool { return o == e }
	if w.Version == m.Version {
		m.current = slices.DeleteFunc(m.current, sameEngine)
		m.pending = slices.DeleteFunc(m.pending, sameEngine)
	}
	m.old = slices.DeleteFunc(m.old, func(o oldReplica) bool { return o.engine == e && o.weights == w })
	if i := slices.Index(m.serving, e); i >= 0 {
		m.serving = slices.Delete(m.serving, i, i+1)
	}
}

// hasEntry reports whether the ledger has an entry for w in any state, which rules
// out loading it again.
func (e *engineView) hasEntry(w ledger.Weights) bool { return e.Ledger.Find(w) != nil }

// unloadStale unloads weights that are no longer configured, and adapters whose
// base model is not loaded on the same engine.
func (v *view) unloadStale() {
	for _, e := range v.engines {
		if !e.Reachable {
			continue
		}
		for _, entry := range slices.Clone(e.Ledger.Entries) {
			v.unloadIfStale(e, &entry)
		}
	}
}

func (v *view) unloadIfStale(e *engineView, entry *ledger.Entry) {
	if entry.Kind == object.KindModel {
		if v.byName[entry.Name] == nil {
			v.unload(e, entry.Weights, ReasonRemoved)
		}
		return
	}
	a := v.adapters[entry.Name]
	switch {
	case a == nil || a.Version != entry.Version:
		v.unload(e, entry.Weights, ReasonRemoved)
	case !e.holdsModel(a.Model):
		v.unload(e, entry.Weights, ReasonOrphan)
	}
}

func (e *engineView) holdsModel(name string) bool {
	return slices.ContainsFunc(e.Ledger.Entries, func(entry ledger.Entry) bool {
		return entry.Kind == object.KindModel && entry.Name == name && entry.State != ledger.Unloading && !e.unloaded[entry.Weights]
	})
}
