package placement

import (
	"cmp"
	"slices"

	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
)

// adapterShare is the part of an engine's average load above which an adapter
// gets another replica.
const adapterShare = 0.5

// loadAdapters loads the adapters that requests need on engines that serve
// their model, waiting requests first.
func (v *view) loadAdapters() {
	permits := v.in.MaxAdapterLoads
	for _, a := range v.wantedAdapters() {
		if permits <= 0 {
			return
		}
		if v.loadAdapter(a) {
			permits--
		}
	}
}

func (v *view) wantedAdapters() []*Adapter {
	var wanted []*Adapter
	for i := range v.in.Adapters {
		a := &v.in.Adapters[i]
		if a.Waiting > 0 || a.TokensPerSecond > 0 {
			wanted = append(wanted, a)
		}
	}
	slices.SortStableFunc(wanted, func(a, b *Adapter) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.TokensPerSecond, a.TokensPerSecond))
	})
	return wanted
}

// loadAdapter loads one more replica where it is wanted and reports whether
// it did.
func (v *view) loadAdapter(a *Adapter) bool {
	m := v.byName[a.Model]
	if m == nil {
		return false
	}
	held := 0
	var best *engineView
	for _, e := range m.confirmed {
		switch {
		case e.barred(a.weights()):
			if entry := e.Ledger.Find(a.weights()); entry.State != ledger.Unloading {
				held++
			}
		case e.Busy || e.free < a.MemoryBytes && !v.freeAdapters(e, a):
		case best == nil || e.load < best.load:
			best = e
		}
	}
	if best == nil || held > 0 && !v.isHot(a, held) {
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

// isHot reports whether an adapter's demand is too much for the engines that
// hold it.
func (v *view) isHot(a *Adapter, held int) bool {
	var total float64
	for _, e := range v.engines {
		total += e.load
	}
	return v.in.DemandSettled && a.TokensPerSecond/float64(held) > adapterShare*total/float64(len(v.engines))
}

// idleAdapters returns the adapters on e with less demand than a, the least
// first.
func (v *view) idleAdapters(e *engineView, a *Adapter) []candidate {
	found := v.candidates(e, nil, len(v.engines))
	return slices.DeleteFunc(found, func(c candidate) bool {
		return c.entry.Kind != object.KindAdapter || c.cost >= a.TokensPerSecond && a.Waiting == 0 || c.cost > a.TokensPerSecond
	})
}

// freeAdapters reports whether idle adapters on e leave room for a.
func (v *view) freeAdapters(e *engineView, a *Adapter) bool {
	free := e.free + e.coming
	for _, c := range v.idleAdapters(e, a) {
		free += c.entry.MemoryBytes
	}
	return free >= a.MemoryBytes
}

// evictAdapters unloads idle adapters on e until a has room.
func (v *view) evictAdapters(e *engineView, a *Adapter) {
	for _, c := range v.idleAdapters(e, a) {
		if e.free+e.coming >= a.MemoryBytes {
			break
		}
		v.unload(e, c.entry.Weights, ReasonEviction)
	}
	e.free -= a.MemoryBytes
}
