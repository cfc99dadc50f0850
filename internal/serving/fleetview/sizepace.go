package fleetview

import (
	"math"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

// sizePriorWeight is the weight of the pool's pace in the pace of a size, in
// observations: with fewer of them, the noise of single first events (queues, stalls)
// exceeds the difference between the sizes.
const sizePriorWeight = 2.0

// sizePace is the pace of the models of a pool whose weights have one size. The zero
// value has no observations.
type sizePace struct{ logarithm, weight float64 }

// sizeKey identifies the models of one size in a pool.
type sizeKey struct {
	pool      string
	weightsMB float64
}

// observe corrects the pace by the ratio of actual to assumed time of a request. share
// is the part of the time that the request's own work takes: the rest depends on the models
// of the requests ahead. Most of the time of a fast model's request is that wait, so that
// it would count as up to four times slower than it is.
func (p *sizePace) observe(ratio, share float64) {
	if share <= 0 {
		return
	}
	p.weight += share
	p.logarithm += share * max(paceWeight, 1/p.weight) * (math.Log(min(max(ratio, minPace), maxPace)) - p.logarithm)
}

// modelPace is the pace that applies to the requests for a model. own is the factor of
// the work of the request itself, ahead that of the tokens ahead of it.
//
// In a pool whose models have one size, tokens at a target are counted as they are, and
// take the pace of the pool. Otherwise they are counted as tokens of an engine with a pace
// of one. The unit is a constant, so that VMs agree on it whatever they have observed.
type modelPace struct {
	own, ahead float64
	// pool and size are what observations correct; size is nil if the pool has one size.
	pool *pace
	size *sizePace
}

// modelPace returns the pace for a model of a pool of engines, or of plain services. What
// it observes is kept.
func (v *View) modelPace(pool *policy.Pool, model string) modelPace {
	p, key, sized := v.knownPace(pool, model)
	if p.pool == nil {
		p.pool = &pace{}
		v.paces[pool.Name] = p.pool
	}
	if sized && p.size == nil {
		p.size = &sizePace{}
		v.sizes[key] = p.size
	}
	return p
}

// knownPace returns the pace like modelPace, without adding one to the view: pool and size
// are nil if nothing has been observed of them. sized is set if the model has a pace by its
// size, which has the key.
func (v *View) knownPace(pool *policy.Pool, model string) (known modelPace, key sizeKey, sized bool) {
	known.pool = v.paces[pool.Name]
	var p pace
	if known.pool != nil {
		p = *known.pool
	}
	known.own, known.ahead = p.factor(), 1
	sizes := v.modelSizes(pool)
	if sizes == nil {
		known.ahead = known.own
		return known, key, false
	}
	size, ok := sizes[model]
	if !ok {
		return known, key, false
	}
	key = sizeKey{pool.Name, size}
	known.size = v.sizes[key]
	var s sizePace
	if known.size != nil {
		s = *known.size
	}
	part := s.weight / (s.weight + sizePriorWeight)
	known.own = math.Exp(part*s.logarithm + (1-part)*p.logarithm)
	return known, key, true
}

// modelSizes are the sizes of the weights of the models of an engine pool.
type modelSizes struct {
	// engine is the configuration that they are from.
	engine *policy.Engine
	// byModel is nil if the models have one size.
	byModel map[string]float64
}

// modelSizes returns the sizes of the weights by model; nil if the models of the pool have
// one size. They are kept, since each choice looks up the models that its targets hold, of
// hundreds that a pool may have.
func (v *View) modelSizes(pool *policy.Pool) map[string]float64 {
	e := pool.Engine
	if e == nil {
		return nil
	}
	known := v.modelsOf[pool.Name]
	if known.engine == e {
		return known.byModel
	}
	known = modelSizes{engine: e}
	if hasSizes(e) {
		known.byModel = make(map[string]float64, len(e.Models))
		for i := range e.Models {
			known.byModel[e.Models[i].Name] = e.Models[i].WeightsMB
		}
	}
	v.modelsOf[pool.Name] = known
	return known.byModel
}

// hasSizes reports whether the models of an engine pool differ in the size of their
// weights.
func hasSizes(e *policy.Engine) bool {
	for i := range e.Models {
		if e.Models[i].WeightsMB != e.Models[0].WeightsMB {
			return true
		}
	}
	return false
}

// scale returns a number of the model's tokens in the unit in which tokens are counted at
// targets.
func (p *modelPace) scale(tokens int) int {
	if p.size == nil && p.own == p.ahead {
		return tokens
	}
	return int(math.Ceil(float64(tokens) * p.own / p.ahead))
}

// observe corrects the paces by the ratio of actual to expected time; share is as in
// sizePace.observe.
func (p *modelPace) observe(ratio, share float64) {
	p.pool.observe(ratio * p.own)
	if p.size != nil {
		p.size.observe(ratio*p.own, share)
	}
}
