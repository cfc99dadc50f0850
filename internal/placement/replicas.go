package placement

import (
	"cmp"
	"math"
	"slices"

	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
)

// ensureReplicas loads a replica of m, or evicts other weights for it, if m has
// fewer than desired replicas. It never exceeds m.desired.
func (v *view) ensureReplicas(m *modelView, desired int) {
	if desired > m.desired() || len(m.replicas()) >= desired {
		return
	}
	reason := ReasonUnderReplicated
	switch len(m.replicas()) {
	case 0:
		reason = ReasonUnreachable
	case 1:
		reason = ReasonAtRisk
	}
	if e := v.chooseEngine(m, m.replicas()); e != nil {
		v.load(e, m, reason)
		return
	}
	v.evictForModel(m, desired)
}

// chooseEngine returns the eligible engine with enough free memory for m, or
// nil. It prefers data centres with fewer replicas, then engines with less
// load, then those with more free memory.
func (v *view) chooseEngine(m *modelView, replicas []*engineView) *engineView {
	var best *engineView
	for _, e := range v.engines {
		if !v.eligible(e, m, replicas) || e.free < m.MemoryBytes {
			continue
		}
		if best == nil || compareEngines(e, best, replicas) < 0 {
			best = e
		}
	}
	return best
}

// eligible reports whether m may be placed on e, regardless of free memory: e
// accepts orders, has no entry for m, and shares its VM with none of replicas.
func (v *view) eligible(e *engineView, m *modelView, replicas []*engineView) bool {
	if !e.Reachable || e.Down || e.Busy || e.hasEntry(m.weights()) {
		return false
	}
	return !slices.ContainsFunc(replicas, func(o *engineView) bool { return o.VM == e.VM })
}

// compareEngines returns a negative number if a is the better engine for
// another replica; see chooseEngine.
func compareEngines(a, b *engineView, replicas []*engineView) int {
	return cmp.Or(
		cmp.Compare(replicasInDataCentre(a, replicas), replicasInDataCentre(b, replicas)),
		cmp.Compare(a.load, b.load),
		cmp.Compare(b.free, a.free),
	)
}

// replicasInDataCentre returns how many of replicas are in the data centre of e.
func replicasInDataCentre(e *engineView, replicas []*engineView) int {
	n := 0
	for _, o := range replicas {
		if o.DataCentre == e.DataCentre {
			n++
		}
	}
	return n
}

// victims are entries to unload from an engine to free memory on it.
type victims struct {
	engine  *engineView
	weights []ledger.Weights
	cost    float64
}

// evictForModel unloads the cheapest victims on one engine, so that a later
// decision can load m there. If pending unloads free enough memory on an
// engine, it reserves that instead. Every other model keeps at least as many
// confirmed replicas as are desired for m, or its own desired number if lower.
func (v *view) evictForModel(m *modelView, desired int) {
	replicas := m.replicas()
	var best *victims
	for _, e := range v.engines {
		if !v.eligible(e, m, replicas) {
			continue
		}
		if e.free+e.pending >= m.MemoryBytes {
			e.free -= m.MemoryBytes
			return
		}
		found := v.selectVictims(e, m, desired)
		if found != nil && (best == nil || found.cost < best.cost) {
			best = found
		}
	}
	if best == nil {
		return
	}
	for _, w := range best.weights {
		v.unload(best.engine, w, ReasonEviction)
	}
	best.engine.free -= m.MemoryBytes
}

// candidate is an entry that may be unloaded. Its cost is the demand that then
// moves to other engines.
type candidate struct {
	entry *ledger.Entry
	cost  float64
}

// selectVictims returns the cheapest entries to unload so that m fits on e, or
// nil if it cannot fit. Other models keep at least minReplicas replicas, or
// their desired number if lower.
func (v *view) selectVictims(e *engineView, m *modelView, minReplicas int) *victims {
	candidates := v.candidates(e, m, minReplicas)
	found := &victims{engine: e}
	free := e.free + e.pending
	for _, c := range candidates {
		if free >= m.MemoryBytes {
			break
		}
		free += c.entry.MemoryBytes
		found.weights = append(found.weights, c.entry.Weights)
		found.cost += c.cost
	}
	if free < m.MemoryBytes {
		return nil
	}
	return found
}

// candidates returns the entries that may be unloaded from e, by ascending cost
// per byte.
func (v *view) candidates(e *engineView, m *modelView, minReplicas int) []candidate {
	var found []candidate
	for i := range e.Ledger.Entries {
		entry := &e.Ledger.Entries[i]
		if entry.State == ledger.Unloading || e.unloaded[entry.Weights] || e.Ledger.Pinned(entry) {
			continue
		}
		if cost := v.unloadCost(e, entry, m, minReplicas); cost < math.MaxFloat64 {
			found = append(found, candidate{entry, cost})
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.cost/float64(a.entry.MemoryBytes), b.cost/float64(b.entry.MemoryBytes)),
			cmp.Compare(a.entry.String(), b.entry.String()),
		)
	})
	return found
}

// unloadCost returns the demand that moves to other engines if an entry is
// unloaded from e, or math.MaxFloat64 if it must stay loaded.
func (v *view) unloadCost(e *engineView, entry *ledger.Entry, m *modelView, minReplicas int) float64 {
	if entry.Kind == object.KindAdapter {
		a := v.adapters[entry.Name]
		if a == nil {
			return 0
		}
		return a.TokensPerSecond
	}
	other := v.byName[entry.Name]
	if other == nil {
		return 0
	}
	if other == m || len(other.serving) <= min(minReplicas, other.desired()) || !slices.Contains(other.serving, e) {
		return math.MaxFloat64
	}
	return other.loadPerReplica(len(other.replicas()))
}

// enforceMemoryLimit unloads entries from engines whose memory limit was
// lowered below what is reserved. The last replica of a model stays until
// another one is confirmed.
func (v *view) enforceMemoryLimit() {
	for _, e := range v.engines {
		if e.free+e.pending >= 0 || !e.Reachable {
			continue
		}
		for _, c := range v.candidates(e, nil, 1) {
			if e.free+e.pending >= 0 {
				break
			}
			v.unload(e, c.entry.Weights, ReasonMemoryReduced)
		}
		v.relocateSoleReplicas(e)
	}
}

// relocateSoleReplicas loads the models that only the overcommitted engine e
// serves on other engines.
func (v *view) relocateSoleReplicas(e *engineView) {
	if e.free+e.pending >= 0 {
		return
	}
	for _, m := range v.models {
		if len(m.replicas()) != 1 || len(m.serving) != 1 || m.serving[0] != e {
			continue
		}
		if target := v.chooseEngine(m, m.serving); target != nil {
			v.load(target, m, ReasonMemoryReduced)
		}
	}
}

// rollOut replaces old versions: it loads the configured version first, and
// unloads the old one once enough replicas of the new one are confirmed.
func (v *view) rollOut() {
	for _, m := range v.models {
		if len(m.old) == 0 {
			continue
		}
		if len(m.current)+len(m.pending) < m.desired() {
			v.rollOutReplica(m)
		}
		v.unloadOld(m)
	}
}

// rollOutReplica loads one replica of the new version. If no engine has enough
// free memory, it unloads an old replica of the model, or evicts other models if
// the model's only serving replica is an old one.
func (v *view) rollOutReplica(m *modelView) {
	var replicas []*engineView
	replicas = append(append(replicas, m.current...), m.pending...)
	if e := v.chooseEngine(m, replicas); e != nil {
		v.load(e, m, ReasonRollout)
		return
	}
	if len(m.current) > 0 || len(m.serving) > 1 {
		v.unloadOneOld(m)
		return
	}
	v.evictForModel(m, 1)
}

// unloadOneOld unloads one old replica to free memory for a new one. If pending
// unloads free enough memory on an engine with an old replica, it reserves that
// instead.
func (v *view) unloadOneOld(m *modelView) {
	for _, old := range slices.Clone(m.old) {
		if old.engine.free+old.engine.pending >= m.MemoryBytes {
			old.engine.free -= m.MemoryBytes
			return
		}
		if !old.engine.Ledger.Pinned(old.engine.Ledger.Find(old.weights)) {
			v.unload(old.engine, old.weights, ReasonRollout)
			return
		}
	}
}

// unloadOld unloads old versions that are not needed to keep the desired number
// of replicas.
func (v *view) unloadOld(m *modelView) {
	for _, old := range slices.Clone(m.old) {
		if len(m.current) == 0 || len(m.serving) <= min(m.desired(), len(m.current)+len(m.pending)) {
			return
		}
		v.unload(old.engine, old.weights, ReasonRollout)
	}
}
