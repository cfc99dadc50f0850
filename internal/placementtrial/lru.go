package placementtrial

import (
	"cmp"
	"slices"
)

// LRU loads a model for a request if no replica can serve it within the
// first-token bound, and evicts the least recently used models to make room.
type LRU struct{}

// NewLRU returns the least-recently-used placement policy.
func NewLRU() *LRU { return &LRU{} }

// OnRequest loads the model unless a replica can serve the request within the
// first-token bound or is being loaded.
func (r *LRU) OnRequest(sim *Simulation, model int, _ float64) {
	for _, e := range sim.engines {
		h, ok := e.held[model]
		if ok && (h.ready.After(sim.Now) || e.busyUntil.Sub(sim.Now) <= firstTokenBound) {
			return
		}
	}
	r.load(sim, model)
}

// Step does nothing: only requests cause loads.
func (r *LRU) Step(*Simulation) {}

// load loads a model on the engine whose victims were used longest ago, if the
// model fits on any engine.
func (r *LRU) load(sim *Simulation, model int) {
	best := -1
	var victims []int
	for i := range sim.engines {
		found, ok := r.victims(sim, i, model)
		if !ok {
			continue
		}
		if best < 0 || r.preferred(sim, i, found, best, victims) {
			best, victims = i, found
		}
	}
	if best < 0 {
		return
	}
	for _, v := range victims {
		delete(sim.engines[best].held, v)
	}
	sim.load(best, model)
}

// victims returns the models to evict from an engine to make room for a model,
// least recently used first, and whether the model can be placed there. Models
// that are still loading are not evicted.
func (r *LRU) victims(sim *Simulation, engine, model int) ([]int, bool) {
	e := sim.engines[engine]
	if _, ok := e.held[model]; ok {
		return nil, false
	}
	free := engineMemory
	var ready []int
	for m, h := range e.held {
		free -= sim.Sizes[m]
		if !h.ready.After(sim.Now) {
			ready = append(ready, m)
		}
	}
	slices.SortFunc(ready, func(a, b int) int {
		return cmp.Or(e.held[a].lastUsed.Compare(e.held[b].lastUsed), cmp.Compare(a, b))
	})
	for n, m := range ready {
		if free >= sim.Sizes[model] {
			return ready[:n], true
		}
		free += sim.Sizes[m]
	}
	return ready, free >= sim.Sizes[model]
}

// preferred reports whether engine a is preferred to engine b: the one whose last
// victim was used longer ago. If either has no victims, the one with fewer
// victims is preferred, then the one with fewer models.
func (r *LRU) preferred(sim *Simulation, a int, victimsA []int, b int, victimsB []int) bool {
	if len(victimsA) == 0 || len(victimsB) == 0 {
		if len(victimsA) != len(victimsB) {
			return len(victimsA) < len(victimsB)
		}
		return len(sim.engines[a].held) < len(sim.engines[b].held)
	}
	lastA := sim.engines[a].held[victimsA[len(victimsA)-1]].lastUsed
	lastB := sim.engines[b].held[victimsB[len(victimsB)-1]].lastUsed
	return lastA.Before(lastB)
}
