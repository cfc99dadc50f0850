package placement

import (
	"cmp"
	"math"
	"slices"

	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
)

// ensure sees that a model has the wanted number of replicas, demand aside.
func (v *view) ensure(m *modelView, wanted int) {
	if wanted > m.wanted() || len(m.replicas()) >= wanted {
		return
	}
	reason := ReasonUnderReplicated
	switch len(m.replicas()) {
	case 0:
		reason = ReasonUnreachable
	case 1:
		reason = ReasonAtRisk
	}
	if e := v.choose(m, m.replicas()); e != nil {
		v.load(e, m, reason)
		return
	}
	v.makeRoom(m, wanted)
}

// choose returns the engine with the least load that can take the model now,
// on a VM that does not serve it; data centres without a replica go first.
func (v *view) choose(m *modelView, replicas []*engineView) *engineView {
	var best *engineView
	for _, e := range v.engines {
		if !v.fits(e, m, replicas) || e.free < m.MemoryBytes {
			continue
		}
		if best == nil || compareEngines(e, best, replicas) < 0 {
			best = e
		}
	}
	return best
}

func (v *view) fits(e *engineView, m *modelView, replicas []*engineView) bool {
	if !e.Reachable || e.Down || e.Busy || e.barred(m.weights()) {
		return false
	}
	return !slices.ContainsFunc(replicas, func(o *engineView) bool { return o.VM == e.VM })
}

func compareEngines(a, b *engineView, replicas []*engineView) int {
	return cmp.Or(
		cmp.Compare(nearby(a, replicas), nearby(b, replicas)),
		cmp.Compare(a.load, b.load),
		cmp.Compare(b.free, a.free),
	)
}

// nearby counts the replicas in the engine's data centre.
func nearby(e *engineView, replicas []*engineView) int {
	n := 0
	for _, o := range replicas {
		if o.DataCentre == e.DataCentre {
			n++
		}
	}
	return n
}

// victims are entries whose unload makes room on an engine.
type victims struct {
	engine  *engineView
	weights []ledger.Weights
	cost    float64
}

// makeRoom unloads what costs least, so that the model fits in a later
// decision. Each other model keeps at least as many confirmed replicas as
// this one is wanted to have.
func (v *view) makeRoom(m *modelView, wanted int) {
	replicas := m.replicas()
	var best *victims
	for _, e := range v.engines {
		if !v.fits(e, m, replicas) {
			continue
		}
		if e.free+e.coming >= m.MemoryBytes {
			e.free -= m.MemoryBytes
			return
		}
		found := v.victimsOn(e, m, wanted)
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

// candidate is an entry that may be unloaded, with the load that it moves to
// other engines.
type candidate struct {
	entry *ledger.Entry
	cost  float64
}

// victimsOn returns the cheapest entries that make room for m on e, or nil.
// Other models keep at least keep replicas.
func (v *view) victimsOn(e *engineView, m *modelView, keep int) *victims {
	candidates := v.candidates(e, m, keep)
	found := &victims{engine: e}
	free := e.free + e.coming
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

// candidates returns what may be unloaded from e, cheapest first.
func (v *view) candidates(e *engineView, m *modelView, keep int) []candidate {
	var found []candidate
	for i := range e.Ledger.Entries {
		entry := &e.Ledger.Entries[i]
		if entry.State == ledger.Unloading || e.gone[entry.Weights] || e.Ledger.Pinned(entry) {
			continue
		}
		if cost := v.costOf(e, entry, m, keep); cost < math.MaxFloat64 {
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

// costOf returns the demand that the loss of an entry moves elsewhere, or
// math.MaxFloat64 where it must stay.
func (v *view) costOf(e *engineView, entry *ledger.Entry, m *modelView, keep int) float64 {
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
	if other == m || len(other.confirmed) <= min(keep, other.wanted()) || !slices.Contains(other.confirmed, e) {
		return math.MaxFloat64
	}
	return other.share(len(other.replicas()))
}

// shrink makes an engine hold less whose memory was lowered. The last replica
// of a model stays until another is confirmed.
func (v *view) shrink() {
	for _, e := range v.engines {
		if e.free+e.coming >= 0 || !e.Reachable {
			continue
		}
		for _, c := range v.candidates(e, nil, 1) {
			if e.free+e.coming >= 0 {
				break
			}
			v.unload(e, c.entry.Weights, ReasonMemoryReduced)
		}
		v.replaceElsewhere(e)
	}
}

// replaceElsewhere loads the models that only an overfull engine serves at
// another one.
func (v *view) replaceElsewhere(e *engineView) {
	if e.free+e.coming >= 0 {
		return
	}
	for _, m := range v.models {
		if len(m.replicas()) != 1 || len(m.confirmed) != 1 || m.confirmed[0] != e {
			continue
		}
		if target := v.choose(m, m.confirmed); target != nil {
			v.load(target, m, ReasonMemoryReduced)
		}
	}
}

// roll replaces old versions: the configured one is loaded first, and the old
// one leaves when enough of the new are confirmed.
func (v *view) roll() {
	for _, m := range v.models {
		if len(m.old) == 0 {
			continue
		}
		if len(m.current)+len(m.coming) < m.wanted() {
			v.rollOne(m)
		}
		v.dropOld(m)
	}
}

// rollOne loads one replica of the new version.
func (v *view) rollOne(m *modelView) {
	var taken []*engineView
	taken = append(append(taken, m.current...), m.coming...)
	if e := v.choose(m, taken); e != nil {
		v.load(e, m, ReasonRollout)
		return
	}
	if len(m.current) > 0 || len(m.confirmed) > 1 {
		v.dropOneOld(m)
		return
	}
	v.makeRoom(m, 1)
}

// dropOneOld unloads one old replica to make room for a new one.
func (v *view) dropOneOld(m *modelView) {
	for _, old := range slices.Clone(m.old) {
		if old.engine.free+old.engine.coming >= m.MemoryBytes {
			old.engine.free -= m.MemoryBytes
			return
		}
		if !old.engine.Ledger.Pinned(old.engine.Ledger.Find(old.weights)) {
			v.unload(old.engine, old.weights, ReasonRollout)
			return
		}
	}
}

// dropOld unloads old versions that are not needed for the number wanted.
func (v *view) dropOld(m *modelView) {
	for _, old := range slices.Clone(m.old) {
		if len(m.current) == 0 || len(m.confirmed) <= min(m.wanted(), len(m.current)+len(m.coming)) {
			return
		}
		v.unload(old.engine, old.weights, ReasonRollout)
	}
}
