package modelplacement

import "slices"

// relocateFor returns the next action that makes room for a model in demand on an engine
// without a limit, where the last replicas of models with less demand are in its way: one
// of them is loaded on an engine with a limit first. It returns false if none can be, or if
// room is coming already.
func (p *plan) relocateFor(model string, coldAllowed bool) (Action, bool) {
	spec, ok := p.in.Spec.Model(model)
	if !ok || p.full[model] > 0 || p.replicas[model] == 0 || !p.in.Demand[model].exists() {
		return Action{}, false
	}
	var movable []string
	for i := range p.in.Engines {
		e := &p.in.Engines[i]
		if e.Leaving || !p.isFull(e) {
			continue
		}
		if e.FreeMB >= spec.WeightsMB {
			return Action{}, false
		}
		for m := range e.Models {
			v, ok := p.in.Spec.Model(m)
			if !ok || e.FreeMB+v.WeightsMB < spec.WeightsMB || p.full[m] <= p.desired[m] || !p.gains(model, m) {
				continue
			}
			if p.replicas[m] > 1 {
				return Action{}, false // mayUnload allows it once the replica is old enough
			}
			movable = append(movable, m)
		}
	}
	slices.Sort(movable)
	for _, m := range movable {
		if a, ok := p.placeLimited(m, coldAllowed); ok {
			return a, true
		}
	}
	return Action{}, false
}

// placeLimited returns a load of a model on an engine with a limit, or an unload there of a
// model that has another replica.
func (p *plan) placeLimited(model string, coldAllowed bool) (Action, bool) {
	spec, _ := p.in.Spec.Model(model)
	var best *Engine
	var victim string
	for i := range p.in.Engines {
		e := &p.in.Engines[i]
		if !e.Limited || !p.isFree(e, model) || (e.cold(model) && !coldAllowed) {
			continue
		}
		unload, ok := p.redundant(e, spec.WeightsMB-e.FreeMB)
		if !ok || (best != nil && e.loadCost(spec) >= best.loadCost(spec)) {
			continue
		}
		best, victim = e, unload
	}
	switch {
	case best == nil:
		return Action{}, false
	case victim != "":
		return Action{Engine: best.ID, Model: victim, Unload: true, For: model, Reason: ReasonRelocation}, true
	}
	return Action{Engine: best.ID, Model: model, Cold: best.cold(model), Reason: ReasonRelocation}, true
}

// redundant returns a model of the engine that has another serving replica and at least the
// given size in MB; the empty name if none needs to be unloaded.
func (p *plan) redundant(e *Engine, missingMB float64) (model string, ok bool) {
	if missingMB <= 0 {
		return "", true
	}
	var candidates []string
	for m := range e.Serving {
		if spec, ok := p.in.Spec.Model(m); ok && p.serving[m] > 1 && spec.WeightsMB >= missingMB {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return slices.Min(candidates), true
}
