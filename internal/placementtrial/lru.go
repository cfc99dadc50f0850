package placementtrial

import (
	"cmp"
	"slices"
)

// LRU loads a model when a request finds no replica, or none without more
// work ahead than the bound, and evicts what was used longest ago.
type LRU struct{}

// NewLRU returns the eviction by least recent use.
func NewLRU() *LRU { return &LRU{} }

// OnRequest loads the model where no replica can serve in time and none is on
// its way.
func (r *LRU) OnRequest(w *Simulation, model int, _ float64) {
	for _, e := range w.engines {
		h, ok := e.held[model]
		if ok && (h.ready.After(w.Now) || e.busy.Sub(w.Now) <= firstTokenBound) {
			return
		}
	}
	r.load(w, model)
}

// Step does nothing; only requests bring loads about.
func (r *LRU) Step(*Simulation) {}

// load picks the engine whose victims were used longest ago.
func (r *LRU) load(w *Simulation, model int) {
	best := -1
	var victims []int
	for i := range w.engines {
		found, ok := r.victims(w, i, model)
		if !ok {
			continue
		}
		if best < 0 || r.older(w, i, found, best, victims) {
			best, victims = i, found
		}
	}
	if best < 0 {
		return
	}
	for _, v := range victims {
		delete(w.engines[best].held, v)
	}
	w.load(best, model)
}

// victims returns the models to evict from an engine, oldest use first. A
// model that is still loading stays.
func (r *LRU) victims(w *Simulation, engine, model int) ([]int, bool) {
	e := w.engines[engine]
	if _, ok := e.held[model]; ok {
		return nil, false
	}
	free := engineMemory
	var ready []int
	for m, h := range e.held {
		free -= w.Sizes[m]
		if !h.ready.After(w.Now) {
			ready = append(ready, m)
		}
	}
	slices.SortFunc(ready, func(a, b int) int {
		return cmp.Or(e.held[a].used.Compare(e.held[b].used), cmp.Compare(a, b))
	})
	for n, m := range ready {
		if free >= w.Sizes[model] {
			return ready[:n], true
		}
		free += w.Sizes[m]
	}
	return ready, free >= w.Sizes[model]
}

// older reports whether the last victim on an engine was used longer ago than
// that on another; an engine without victims and with fewer models goes first.
func (r *LRU) older(w *Simulation, a int, victimsA []int, b int, victimsB []int) bool {
	if len(victimsA) == 0 || len(victimsB) == 0 {
		if len(victimsA) != len(victimsB) {
			return len(victimsA) < len(victimsB)
		}
		return len(w.engines[a].held) < len(w.engines[b].held)
	}
	lastA := w.engines[a].held[victimsA[len(victimsA)-1]].used
	lastB := w.engines[b].held[victimsB[len(victimsB)-1]].used
	return lastA.Before(lastB)
}
