package placement

import (
	"cmp"
	"slices"

	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
)

// view is the state of a decision under way: what the engines hold and will
// hold after the actions so far.
type view struct {
	in       *Input
	engines  []*engineView
	models   []*modelView
	byName   map[string]*modelView
	adapters map[string]*Adapter
	loads    int
	actions  []Action
}

type engineView struct {
	*Engine
	// free is what loads may take now, coming what unloads will free.
	free   int64
	coming int64
	// load is the demand that the engine carries.
	load float64
	// gone marks entries that this decision unloads.
	gone map[ledger.Weights]bool
}

type modelView struct {
	*Model
	// confirmed are the engines that serve the model now, any version;
	// current those of them with the configured version.
	confirmed []*engineView
	current   []*engineView
	// coming are the engines that load the configured version.
	coming []*engineView
	// old are the engines that serve another version.
	old []oldReplica
}

type oldReplica struct {
	engine  *engineView
	weights ledger.Weights
}

func newView(in *Input) *view {
	v := &view{
		in: in, loads: in.MaxLoads,
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
		e := &engineView{Engine: &in.Engines[i], gone: map[ledger.Weights]bool{}}
		e.free = e.Ledger.Free()
		v.engines = append(v.engines, e)
		v.index(e)
	}
	for _, m := range v.models {
		m.spread(1)
	}
	return v
}

// index enters the entries of an engine.
func (v *view) index(e *engineView) {
	for i := range e.Ledger.Entries {
		entry := &e.Ledger.Entries[i]
		if entry.State == ledger.Unloading && !e.Ledger.Pinned(entry) {
			e.coming += entry.MemoryBytes
		}
		m := v.byName[entry.Name]
		if entry.Kind != object.KindModel || m == nil || e.Down {
			continue
		}
		isCurrent := entry.Version == m.Version
		switch {
		case entry.State == ledger.Loaded && e.Reachable:
			m.confirmed = append(m.confirmed, e)
			if isCurrent {
				m.current = append(m.current, e)
			} else {
				m.old = append(m.old, oldReplica{e, entry.Weights})
			}
		case isCurrent && entry.State != ledger.Unloading:
			m.coming = append(m.coming, e)
		}
	}
}

// replicas returns the engines that serve the model or will.
func (m *modelView) replicas() []*engineView {
	return append(slices.Clone(m.confirmed), m.coming...)
}

// share returns the demand that each of n replicas carries.
func (m *modelView) share(n int) float64 {
	if n == 0 {
		return 0
	}
	return m.TokensPerSecond / float64(n)
}

// spread adds the model's demand to the load of its engines; a sign of -1
// takes it away.
func (m *modelView) spread(sign float64) {
	replicas := m.replicas()
	for _, e := range replicas {
		e.load += sign * m.share(len(replicas))
	}
}

func (v *view) mostWanted() int {
	most := 1
	for _, m := range v.models {
		most = max(most, m.wanted())
	}
	return most
}

// byUrgency returns the models, those with the fewest replicas first, then
// those with waiting requests and with most demand.
func (v *view) byUrgency() []*modelView {
	ordered := slices.Clone(v.models)
	slices.SortStableFunc(ordered, func(a, b *modelView) int {
		return cmp.Or(
			cmp.Compare(len(a.confirmed), len(b.confirmed)),
			cmp.Compare(b.Waiting, a.Waiting),
			cmp.Compare(b.TokensPerSecond, a.TokensPerSecond),
		)
	})
	return ordered
}

// load records a load where a permit is left.
func (v *view) load(e *engineView, m *modelView, reason string) {
	if v.loads <= 0 {
		return
	}
	v.loads--
	m.spread(-1)
	e.free -= m.MemoryBytes
	m.coming = append(m.coming, e)
	m.spread(1)
	v.actions = append(v.actions, Load{Target: e.Target, Weights: m.weights(), MemoryBytes: m.MemoryBytes, Reason: reason})
}

// unload records an unload; its bytes are free only later.
func (v *view) unload(e *engineView, w ledger.Weights, reason string) {
	entry := e.Ledger.Find(w)
	if e.Busy || entry == nil || entry.State == ledger.Unloading || e.gone[w] || e.Ledger.Pinned(entry) {
		return
	}
	e.gone[w] = true
	e.coming += entry.MemoryBytes
	if m := v.byName[w.Name]; m != nil && w.Kind == object.KindModel {
		m.spread(-1)
		m.forget(e, w)
		m.spread(1)
	}
	v.actions = append(v.actions, Unload{Target: e.Target, Weights: w, Reason: reason})
}

func (m *modelView) forget(e *engineView, w ledger.Weights) {
	is := func(o *engineView) bool { return o == e }
	if w.Version == m.Version {
		m.current = slices.DeleteFunc(m.current, is)
		m.coming = slices.DeleteFunc(m.coming, is)
	}
	m.old = slices.DeleteFunc(m.old, func(o oldReplica) bool { return o.engine == e && o.weights == w })
	if i := slices.Index(m.confirmed, e); i >= 0 {
		m.confirmed = slices.Delete(m.confirmed, i, i+1)
	}
}

// barred reports whether the engine's record forbids loading w.
func (e *engineView) barred(w ledger.Weights) bool { return e.Ledger.Find(w) != nil }

// dropUnwanted unloads what is not configured any more and adapters whose
// model is gone from the engine.
func (v *view) dropUnwanted() {
	for _, e := range v.engines {
		if !e.Reachable {
			continue
		}
		for _, entry := range slices.Clone(e.Ledger.Entries) {
			v.dropIfUnwanted(e, &entry)
		}
	}
}

func (v *view) dropIfUnwanted(e *engineView, entry *ledger.Entry) {
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
		return entry.Kind == object.KindModel && entry.Name == name && entry.State != ledger.Unloading && !e.gone[entry.Weights]
	})
}
