package placement

import (
	"cmp"
	"slices"

	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
)

// adapterLoadShare is the fraction of the mean engine load above which the
// demand per replica of an adapter justifies another replica.
const adapterLoadShare = 0.5

// loadAdapters loads requested adapters on engines that serve their base
// model, up to MaxAdapterLoads. Adapters with the most waiting requests go
// first.
func (v *view) loadAdapters() {
	loadsLeft := v.in.MaxAdapterLoads
	for _, a := range v.requestedAdapters() {
		if loadsLeft <= 0 {
			return
		}
		if v.loadAdapter(a) {
			loadsLeft--
		}
	}
}

// requestedAdapters returns the adapters with waiting requests or demand,
// sorted by waiting requests, then by demand, both descending.
func (v *view) requestedAdapters() []*Adapter {
	var requested []*Adapter
	for i := range v.in.Adapters {
		a := &v.in.Adapters[i]
		if a.Waiting > 0 || a.TokensPerSecond > 0 {
			requested = append(requested, a)
		}
	}
	slices.SortStableFunc(requested, func(a, b *Adapter) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.TokensPerSecond, a.TokensPerSecond))
	})
	return requested
}

// loadAdapter adds a replica of a if it has none or its demand requires one
// more, and reports whether it did. If idle adapters must be evicted first, it
// records the unloads and returns false; a later decision loads the adapter.
func (v *view) loadAdapter(a *Adapter) bool {
	m := v.byName[a.Model]
	if m == nil {
		return false
	}
	replicas := 0
	var best *engineView
	for _, e := range m.serving {
		switch {
		case e.hasEntry(a.weights()):
			if entry := e.Ledger.Find(a.weights()); entry.State != ledger.Unloading {
				replicas++
			}
		case e.Busy || e.free < a.MemoryBytes && !v.freeAdapters(e, a):
		case best == nil || e.load < best.load:
			best = e
		}
	}
	if best == nil || replicas > 0 && !v.isHot(a, replicas) {
		return false
	}
	if best.free < a.MemoryBytes {
		v.evictAdapters(best, a)
		return false
	}
	best.free -= a.MemoryBytes
	v.actions = append(v.actions, Load{Target: best.Target, Weights: a.weights(), MemoryBytes: a.MemoryBytes, Reason: ReasonAdapterDemand})
	return true
}

// isHot reports whether the demand for an adapter is too high for its current
// number of replicas. It is always false until demand has settled.
func (v *view) isHot(a *Adapter, replicas int) bool {
	var total float64
	for _, e := range v.engines {
		total += e.load
	}
	return v.in.DemandSettled && a.TokensPerSecond/float64(replicas) > adapterLoadShare*total/float64(len(v.engines))
}

// idleAdapters returns the adapters on e that may be evicted for a, those with
// the least demand per byte first. Their demand is lower than that of a, or
// equal if requests wait for a.
func (v *view) idleAdapters(e *engineView, a *Adapter) []candidate {
	found := v.candidates(e, nil, len(v.engines))
	return slices.DeleteFunc(found, func(c candidate) bool {
		return c.entry.Kind != object.KindAdapter || c.cost >= a.TokensPerSecond && a.Waiting == 0 || c.cost > a.TokensPerSecond
	})
}

// freeAdapters reports whether a fits on e once pending unloads have finished
// and idle adapters are evicted.
func (v *view) freeAdapters(e *engineView, a *Adapter) bool {
	free := e.free + e.pending
	for _, c := range v.idleAdapters(e, a) {
		free += c.entry.MemoryBytes
	}
	return free >= a.MemoryBytes
}

// evictAdapters unloads idle adapters on e until a fits, and reserves the
// memory for a within this decision.
func (v *view) evictAdapters(e *engineView, a *Adapter) {
	for _, c := range v.idleAdapters(e, a) {
		if e.free+e.pending >= a.MemoryBytes {
			break
		}
		v.unload(e, c.entry.Weights, ReasonEviction)
	}
	e.free -= a.MemoryBytes
}
