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
	// hotModels and coldEngines bound the moves that one decision weighs.
	hotModels   = 8
	coldEngines = 24
)

// move is a replica that would be added, with what has to leave for it.
type move struct {
	model   *modelView
	victims *victims
	gain    float64
}

// balance adds at most one replica for demand. The cost of a balance is the
// sum of the squares of the engines' loads, since waiting grows faster than
// load; a move must lower it by the least gain.
func (p *Placement) balance(v *view) {
	if v.loads <= 0 || v.busy() {
		return
	}
	even := v.evenCost()
	if even == 0 {
		return
	}
	var best *move
	engines := v.coldest()
	for _, m := range v.hottest() {
		for _, e := range engines {
			if c := v.weigh(m, e); c != nil && p.pays(v, c, even) && (best == nil || c.gain > best.gain) {
				best = c
			}
		}
	}
	if best != nil {
		p.carryOut(v, best)
	}
}

// busy reports whether replicas are still on their way or missing; demand
// waits for them.
func (v *view) busy() bool {
	for _, m := range v.models {
		if len(m.coming) > 0 || len(m.confirmed) == 0 {
			return true
		}
	}
	return false
}

// evenCost returns the cost of the best balance that could exist.
func (v *view) evenCost() float64 {
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

// hottest returns the models with the most demand for each replica.
func (v *view) hottest() []*modelView {
	ordered := slices.Clone(v.models)
	slices.SortStableFunc(ordered, func(a, b *modelView) int {
		return cmp.Compare(b.heat(), a.heat())
	})
	return ordered[:min(len(ordered), hotModels)]
}

// heat is the load that the model's engines would lose to one more replica.
func (m *modelView) heat() float64 {
	n := len(m.confirmed)
	if n == 0 {
		return 0
	}
	var load float64
	for _, e := range m.confirmed {
		load += e.load
	}
	return m.share(n) * load / float64(n)
}

func (v *view) coldest() []*engineView {
	ordered := slices.Clone(v.engines)
	slices.SortStableFunc(ordered, func(a, b *engineView) int { return cmp.Compare(a.load, b.load) })
	return ordered[:min(len(ordered), coldEngines)]
}

// weigh returns the move of a replica of m to e, or nil where it is not
// possible.
func (v *view) weigh(m *modelView, e *engineView) *move {
	if !v.fits(e, m, m.confirmed) || len(m.confirmed) == 0 {
		return nil
	}
	if len(m.old) > 0 {
		return nil
	}
	found := &victims{engine: e}
	if e.free < m.MemoryBytes {
		found = v.victimsOn(e, m, m.spares())
	}
	if found == nil {
		return nil
	}
	return &move{model: m, victims: found, gain: v.gain(m, found)}
}

// spares returns the replicas that other models keep when one of m's is
// added: as many as they want, or as m has, where memory is too small for two
// of all.
func (m *modelView) spares() int {
	if len(m.confirmed) < m.wanted() {
		return len(m.confirmed)
	}
	return math.MaxInt
}

// gain returns by how much the cost of the balance falls.
func (v *view) gain(m *modelView, found *victims) float64 {
	delta := map[*engineView]float64{}
	n := len(m.confirmed)
	for _, e := range m.confirmed {
		delta[e] += m.share(n+1) - m.share(n)
	}
	delta[found.engine] += m.share(n + 1)
	for _, w := range found.weights {
		v.moveAway(found.engine, w, delta)
	}
	var gain float64
	for e, d := range delta {
		gain += e.load*e.load - (e.load+d)*(e.load+d)
	}
	return gain
}

// moveAway adds to delta what the unload of w from e does.
func (v *view) moveAway(e *engineView, w ledger.Weights, delta map[*engineView]float64) {
	other := v.byName[w.Name]
	if w.Kind != object.KindModel || other == nil {
		return
	}
	n := len(other.confirmed)
	for _, o := range other.confirmed {
		if o == e {
			delta[o] -= other.share(n)
			continue
		}
		delta[o] += other.share(n-1) - other.share(n)
	}
}

// pays reports whether a move earns more than it costs. A move that evicts
// must earn twice as much, and a model that has just moved waits, unless the
// gain is urgent.
func (p *Placement) pays(v *view, c *move, even float64) bool {
	least := p.minGain * even
	if len(c.victims.weights) > 0 {
		least *= 2
	}
	if c.gain <= math.Nextafter(least, math.Inf(1)) {
		return false
	}
	return !p.isCooling(c, v.in.Now) || c.gain > urgentGain*least
}

// isCooling reports whether the model, or one that would leave for it, has
// moved a short time ago.
func (p *Placement) isCooling(c *move, now time.Time) bool {
	if now.Sub(p.moved[c.model.Name]) < p.coolDown {
		return true
	}
	return slices.ContainsFunc(c.victims.weights, func(w ledger.Weights) bool {
		return now.Sub(p.moved[w.Name]) < p.coolDown
	})
}

// carryOut begins a move. Where unloads under way will make the room, it
// waits for them.
func (p *Placement) carryOut(v *view, c *move) {
	if len(c.victims.weights) == 0 {
		if c.victims.engine.free < c.model.MemoryBytes {
			return
		}
		p.moved[c.model.Name] = v.in.Now
		v.load(c.victims.engine, c.model, ReasonDemand)
		return
	}
	for _, w := range c.victims.weights {
		v.unload(c.victims.engine, w, ReasonEviction)
	}
}
