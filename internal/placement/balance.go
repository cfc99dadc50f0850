package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
)

const (
	// maxHotModels and maxColdEngines limit the moves that one decision
	// evaluates to the hottest models and the least loaded engines.
	maxHotModels   = 8
	maxColdEngines = 24
)

// move is a candidate replica of a model, with the entries to evict for it and
// the resulting decrease of the balance cost.
type move struct {
	model   *modelView
	victims *victims
	gain    float64
}

// balance starts at most one move in response to demand. The balance cost is
// the sum of the squared engine loads, since queueing delay grows faster than
// load. A move must lower the cost by more than the minimum gain.
func (p *Placement) balance(v *view) {
	if v.loadsLeft <= 0 || v.hasPendingReplicas() {
		return
	}
	ideal := v.idealCost()
	if ideal == 0 {
		return
	}
	var best *move
	engines := v.coldest()
	for _, m := range v.hottest() {
		for _, e := range engines {
			if c := v.evaluate(m, e); c != nil && p.isWorthwhile(v, c, ideal) && (best == nil || c.gain > best.gain) {
				best = c
			}
		}
	}
	if best != nil {
		p.execute(v, best)
	}
}

// hasPendingReplicas reports whether a model is being loaded or is not served
// at all. Replicas are not moved for demand until every model is served and no
// load is in progress.
func (v *view) hasPendingReplicas() bool {
	for _, m := range v.models {
		if len(m.pending) > 0 || len(m.serving) == 0 {
			return true
		}
	}
	return false
}

// idealCost returns the balance cost if the total load were spread evenly over
// all engines that are not down, or 0 if there are none.
func (v *view) idealCost() float64 {
	var total float64
	n := 0
	for _, e := range v.engines {
		if !e.Down {
			n++
			total += e.load
		}
	}
	if n == 0 {
		return 0
	}
	return total * total / float64(n)
}

// hottest returns up to maxHotModels models, by descending heat.
func (v *view) hottest() []*modelView {
	ordered := slices.Clone(v.models)
	slices.SortStableFunc(ordered, func(a, b *modelView) int {
		return cmp.Compare(b.heat(), a.heat())
	})
	return ordered[:min(len(ordered), maxHotModels)]
}

// heat ranks models by how much another replica would relieve their engines:
// the model's demand per replica times the mean load of the engines that serve
// it.
func (m *modelView) heat() float64 {
	n := len(m.serving)
	if n == 0 {
		return 0
	}
	var load float64
	for _, e := range m.serving {
		load += e.load
	}
	return m.loadPerReplica(n) * load / float64(n)
}

// coldest returns up to maxColdEngines engines, by ascending load.
func (v *view) coldest() []*engineView {
	ordered := slices.Clone(v.engines)
	slices.SortStableFunc(ordered, func(a, b *engineView) int { return cmp.Compare(a.load, b.load) })
	return ordered[:min(len(ordered), maxColdEngines)]
}

// evaluate returns the move that adds a replica of m on e, or nil if e cannot
// take one. Models with replicas of an old version are not moved.
func (v *view) evaluate(m *modelView, e *engineView) *move {
	if !v.eligible(e, m, m.serving) || len(m.serving) == 0 {
		return nil
	}
	if len(m.old) > 0 {
		return nil
	}
	found := &victims{engine: e}
	if e.free < m.MemoryBytes {
		found = v.selectVictims(e, m, m.minOtherReplicas())
	}
	if found == nil {
		return nil
	}
	return &move{model: m, victims: found, gain: v.gain(m, found)}
}

// minOtherReplicas returns the number of replicas that other models keep when
// one of m is added. It is their desired number, unless m itself has fewer than
// desired because memory is too small for two replicas of every model: then it
// is the number that m has.
func (m *modelView) minOtherReplicas() int {
	if len(m.serving) < m.desired() {
		return len(m.serving)
	}
	return math.MaxInt
}

// gain returns by how much the balance cost decreases when a replica of m is
// added on the engine of found and the entries in found are unloaded.
func (v *view) gain(m *modelView, found *victims) float64 {
	delta := map[*engineView]float64{}
	n := len(m.serving)
	for _, e := range m.serving {
		delta[e] += m.loadPerReplica(n+1) - m.loadPerReplica(n)
	}
	delta[found.engine] += m.loadPerReplica(n + 1)
	for _, w := range found.weights {
		v.addUnloadDelta(found.engine, w, delta)
	}
	var gain float64
	for e, d := range delta {
		gain += e.load*e.load - (e.load+d)*(e.load+d)
	}
	return gain
}

// addUnloadDelta adds to delta the changes of engine loads caused by unloading
// w from e: the other replicas take over its demand.
func (v *view) addUnloadDelta(e *engineView, w ledger.Weights, delta map[*engineView]float64) {
	other := v.byName[w.Name]
	if w.Kind != object.KindModel || other == nil {
		return
	}
	n := len(other.serving)
	for _, o := range other.serving {
		if o == e {
			delta[o] -= other.loadPerReplica(n)
			continue
		}
		delta[o] += other.loadPerReplica(n-1) - other.loadPerReplica(n)
	}
}

// isWorthwhile reports whether the gain of a move exceeds the threshold, which
// is twice as high for a move that evicts replicas. During the cool-down of a
// model the gain must exceed urgentGainFactor times the threshold.
func (p *Placement) isWorthwhile(v *view, c *move, ideal float64) bool {
	threshold := p.minGain * ideal
	if len(c.victims.weights) > 0 {
		threshold *= 2
	}
	if c.gain <= math.Nextafter(threshold, math.Inf(1)) {
		return false
	}
	return !p.inCoolDown(c, v.in.Now) || c.gain > urgentGainFactor*threshold
}

// inCoolDown reports whether the model of the move, or one that would be
// evicted for it, has moved within the cool-down period.
func (p *Placement) inCoolDown(c *move, now time.Time) bool {
	if now.Sub(p.lastMoved[c.model.Name]) < p.coolDown {
		return true
	}
	return slices.ContainsFunc(c.victims.weights, func(w ledger.Weights) bool {
		return now.Sub(p.lastMoved[w.Name]) < p.coolDown
	})
}

// execute starts a move. A move that evicts only records the unloads; a later
// decision loads the model. If pending unloads free enough memory, execute
// does nothing until they have finished.
func (p *Placement) execute(v *view, c *move) {
	if len(c.victims.weights) == 0 {
		if c.victims.engine.free < c.model.MemoryBytes {
			return
		}
		p.lastMoved[c.model.Name] = v.in.Now
		v.load(c.victims.engine, c.model, ReasonDemand)
		return
	}
	for _, w := range c.victims.weights {
		v.unload(c.victims.engine, w, ReasonEviction)
	}
}
