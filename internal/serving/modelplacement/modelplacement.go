// Package modelplacement decides which engine of a pool should load or unload
// which model.
//
// It answers a load of many rare models on fewer engines, with a few models that
// get most requests and change during the day. Models with demand get one replica
// each, the one with the most unmet demand first; the remaining memory goes to
// further replicas by demand, and what is then left to models without demand. If
// more models have demand than fit, they take turns: the longer a model has had
// its replica, the less demand is needed to replace it. While some engines take only few
// requests, the models in demand move to the others, and the rest keep a replica anywhere.
//
// The package does no I/O.
package modelplacement

import (
	"slices"
	"sort"
	"time"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

const (
	// minReplicaDemand is the demand per replica, in tokens per second, up to which
	// another replica of a model has no benefit.
	minReplicaDemand = 1500.0
	// minReplacementGain is the minimum ratio between the demand per replica of the
	// model to load and that of the model to unload, both after the replacement.
	minReplacementGain = 2.0
	// minReplicaAge is the minimum age at which a replica may be unloaded because of
	// another model's demand. It covers the time in which demand settles.
	minReplicaAge = 4 * time.Second
	// minTurnLoads is the minimum age, in load times of the model, at which the last
	// replica of a model with demand may be unloaded for another model. It bounds
	// the share of time that engines spend on loads while models take turns.
	minTurnLoads = 2
	// lastReplicaWeight is the demand that may come for a model whose last replica is
	// to be unloaded, relative to the mean demand of a model slot: a further replica
	// of a model with less demand goes first.
	lastReplicaWeight = 3.0
)

// Engine is the state of one engine.
type Engine struct {
	// ID identifies the engine. Leaving is true while it is draining: it then gets
	// no actions, and its replicas do not count.
	ID      string
	Leaving bool
	// Models maps the models that the engine holds or is about to hold to the time
	// since when; the time is zero if unknown. Serving contains those that it
	// certainly holds and is not about to unload.
	Models  map[string]time.Time
	Serving map[string]bool
	// FreeMB is the memory in MB that a new model may occupy, after subtracting
	// models, adapters and orders that may still take effect.
	FreeMB float64
	// Idle is true if no order is in progress or planned.
	Idle bool
	// InMemory and OnDisk are the models of which the host holds a copy.
	InMemory, OnDisk map[string]bool
	// Requests is the number of unfinished requests.
	Requests int
	// Limited is set if the engine takes only few requests a second, or none for a while.
	// Its replicas keep models reachable and serve little of the demand.
	Limited bool
}

// Demand is the demand for one model.
type Demand struct {
	// TokensPerSecond is the rate of requested tokens, Waiting the number of
	// requests that no engine can accept, and UnmetPerSecond their recent rate in
	// tokens. Running is the number of requests in progress.
	TokensPerSecond float64
	Waiting         int
	UnmetPerSecond  float64
	Running         int
}

// exists reports whether anything requests the model.
func (d Demand) exists() bool {
	return d.TokensPerSecond > 0 || d.UnmetPerSecond > 0 || d.Waiting > 0 || d.Running > 0
}

// rate returns the requested tokens per second, served or not.
func (d Demand) rate() float64 { return d.TokensPerSecond + d.UnmetPerSecond }

// Input is the input of one decision.
type Input struct {
	// Spec is the pool's configuration, Engines are its engines.
	Spec    *policy.Engine
	Engines []Engine
	// Demand is by model.
	Demand map[string]Demand
	// ColdLoads is the number of loads from the weight store that may start, Loads
	// the number of all loads.
	ColdLoads, Loads int
	// Now is the time of the decision.
	Now time.Time
}

// Action loads or unloads a model.
type Action struct {
	// Engine is the engine's ID, Model the model's name.
	Engine, Model string
	// Unload is true if the model is unloaded to free memory for the model For.
	Unload bool
	For    string
	// Cold is true for a load from the weight store.
	Cold bool
	// Reason is logged for operators.
	Reason string
}

// Reasons of actions.
const (
	ReasonNoReplica  = "model has no replica"
	ReasonDemand     = "demand"
	ReasonFreeMemory = "room for another model"
	ReasonRelocation = "room on an engine without a limit"
)

// plan is the state of one decision.
type plan struct {
	in *Input
	// replicas counts all replicas, full those on engines without a limit, and serving
	// those that certainly serve. allLimited is set if all engines have limits; they then
	// count as full.
	replicas, full, serving map[string]int
	allLimited              bool
	// desired is the number of full replicas that models should have. reachable has the
	// models that should have a replica on any engine.
	desired   map[string]int
	reachable map[string]bool
	// demandPerSlot is the mean demand of a model slot, in tokens per second.
	demandPerSlot float64
	assigned      map[string]bool
	actions       []Action
}

// NextActions returns the actions to start now, the most urgent first and at most
// one for each engine.
func NextActions(in *Input) []Action {
	p := &plan{
		in: in, replicas: make(map[string]int), full: make(map[string]int), serving: make(map[string]int),
		reachable: make(map[string]bool), assigned: make(map[string]bool),
	}
	p.allLimited = !slices.ContainsFunc(in.Engines, func(e Engine) bool { return !e.Leaving && !e.Limited })
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Leaving {
			continue
		}
		for m := range e.Models {
			p.replicas[m]++
			if p.isFull(e) {
				p.full[m]++
			}
		}
		for m := range e.Serving {
			p.serving[m]++
		}
	}
	p.desired = p.desiredReplicas()
	loads, cold := in.Loads, in.ColdLoads
	relocating := false
	for _, m := range p.underReplicated() {
		if loads <= 0 {
			break
		}
		a, ok := p.place(m, cold > 0)
		if !ok && !relocating {
			a, ok = p.relocateFor(m, cold > 0)
			relocating = ok
		}
		if !ok {
			continue
		}
		p.actions = append(p.actions, a)
		p.assigned[a.Engine] = true
		if a.Unload {
			p.serving[a.Model]--
			p.replicas[a.Model]--
			if p.isFull(p.engine(a.Engine)) {
				p.full[a.Model]--
			}
		} else {
			loads--
			if a.Cold {
				cold--
			}
		}
	}
	return p.actions
}

// isFull reports whether the replicas of an engine count as full.
func (p *plan) isFull(e *Engine) bool { return p.allLimited || !e.Limited }

// engine returns the engine with an ID, which must exist.
func (p *plan) engine(id string) *Engine {
	return &p.in.Engines[slices.IndexFunc(p.in.Engines, func(e Engine) bool { return e.ID == id })]
}

// desiredReplicas allocates the model slots of all engines to the models: one to
// each with demand, then one to each without, then further ones by demand per
// replica. A slot has the size of the largest model. Slots of limited engines go to the
// models without demand, and to those with the least.
func (p *plan) desiredReplicas() map[string]int {
	desired := make(map[string]int)
	engines := 0
	largest := 1.0
	var requested, others []string
	for i := range p.in.Spec.Models {
		m := &p.in.Spec.Models[i]
		largest = max(largest, m.WeightsMB)
		if p.in.Demand[m.Name].exists() {
			requested = append(requested, m.Name)
		} else {
			others = append(others, m.Name)
		}
	}
	limited := 0
	for i := range p.in.Engines {
		switch e := &p.in.Engines[i]; {
		case e.Leaving:
		case p.isFull(e):
			engines++
		default:
			limited++
		}
	}
	perEngine := int(p.in.Spec.ModelMemoryMB() / largest)
	left, leftLimited := engines*perEngine, limited*perEngine
	for _, m := range requested {
		p.demandPerSlot += p.in.Demand[m].rate() / float64(max(1, left))
	}
	sort.SliceStable(requested, func(i, j int) bool {
		return p.in.Demand[requested[i]].rate() > p.in.Demand[requested[j]].rate()
	})
	for _, m := range requested {
		p.reachable[m] = true
		if limited > 0 && left <= 0 {
			leftLimited--
			continue
		}
		desired[m] = 1
		left--
	}
	for _, m := range others { // a model without demand is still likely to be requested
		switch {
		case leftLimited > 0:
			p.reachable[m] = true
			leftLimited--
		case left > 0:
			desired[m] = 1
			left--
		}
	}
	for ; left > 0; left-- {
		best, highest := "", minReplicaDemand
		for _, m := range requested {
			if perReplica := p.in.Demand[m].rate() / float64(desired[m]); desired[m] < engines && perReplica > highest {
				best, highest = m, perReplica
			}
		}
		if best == "" {
			break
		}
		desired[best]++
	}
	return desired
}

// lacksReplica reports whether a model has too few replicas.
func (p *plan) lacksReplica(m string) bool {
	return p.full[m] < p.desired[m] || (p.replicas[m] == 0 && p.reachable[m])
}

// underReplicated returns the models with fewer replicas than desired: those without
// a replica first, of these those with waiting requests first, then by demand per
// replica.
func (p *plan) underReplicated() []string {
	var models []string
	for i := range p.in.Spec.Models {
		m := p.in.Spec.Models[i].Name
		if p.lacksReplica(m) {
			models = append(models, m)
		}
	}
	sort.SliceStable(models, func(i, j int) bool {
		a, b := models[i], models[j]
		if (p.replicas[a] == 0) != (p.replicas[b] == 0) {
			return p.replicas[a] == 0
		}
		if da, db := p.in.Demand[a], p.in.Demand[b]; p.replicas[a] == 0 && (da.Waiting > 0) != (db.Waiting > 0) {
			return da.Waiting > 0
		}
		return p.demandPerReplica(a, 1) > p.demandPerReplica(b, 1)
	})
	return models
}

// demandPerReplica returns a model's demand per full replica, in tokens per second, if
// their number changed by added.
func (p *plan) demandPerReplica(model string, added int) float64 {
	return p.in.Demand[model].rate() / float64(max(1, p.full[model]+added))
}

// place returns the next action for one more replica of a model: a load on the engine
// with the lowest load cost among those with enough free memory, else an unload of
// another model. It returns false if neither is possible.
func (p *plan) place(model string, coldAllowed bool) (Action, bool) {
	spec, ok := p.in.Spec.Model(model)
	if !ok {
		return Action{}, false
	}
	reason := ReasonDemand
	if p.replicas[model] == 0 {
		reason = ReasonNoReplica
	}
	var best *Engine
	var bestCost float64
	for i := range p.in.Engines {
		e := &p.in.Engines[i]
		if !p.canLoad(e, model) || e.FreeMB < spec.WeightsMB {
			continue
		}
		if e.cold(model) && !coldAllowed {
			continue
		}
		if cost := e.loadCost(spec); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best != nil {
		return Action{Engine: best.ID, Model: model, Cold: best.cold(model), Reason: reason}, true
	}
	return p.unloadFor(model, spec)
}

// canLoad reports whether the engine may get an action for a model that lacks a replica.
func (p *plan) canLoad(e *Engine, model string) bool {
	// A model with a replica on a limited engine needs one on another kind.
	useful := p.isFull(e) || p.replicas[model] == 0
	return useful && p.isFree(e, model)
}

// isFree reports whether the engine can get an action for a model, which it does not hold.
func (p *plan) isFree(e *Engine, model string) bool {
	_, holds := e.Models[model]
	return !e.Leaving && e.Idle && !p.assigned[e.ID] && !holds
}

// cold reports whether a model must be loaded from the weight store.
func (e *Engine) cold(model string) bool { return !e.InMemory[model] && !e.OnDisk[model] }

// loadCost returns the duration of a load in seconds, plus perRequest for each
// request that it slows down.
func (e *Engine) loadCost(m *policy.Model) float64 {
	const perRequest = 0.005 // seconds
	return m.LoadTime(e.InMemory[m.Name], e.OnDisk[m.Name]).Seconds() + perRequest*float64(e.Requests)
}

// unloadFor returns an unload that frees memory for the model. It chooses the replica
// with the lowest sum of demand per remaining replica, unfinished requests and load
// cost; a model's last replica counts as demand that may come. It returns false if no
// replica may be unloaded.
func (p *plan) unloadFor(model string, spec *policy.Model) (Action, bool) {
	var best *Engine
	var victim string
	var lowest float64
	for i := range p.in.Engines {
		e := &p.in.Engines[i]
		if !p.canLoad(e, model) {
			continue
		}
		for m, since := range e.Models {
			if !p.mayUnload(e, m, model, since) {
				continue
			}
			v, ok := p.in.Spec.Model(m)
			if ok && e.FreeMB+v.WeightsMB < spec.WeightsMB {
				continue
			}
			loss := float64(e.Requests) + e.loadCost(spec)
			if p.isFull(e) {
				loss += p.demandPerReplica(m, -1)
			}
			if p.serving[m] <= 1 {
				loss += lastReplicaWeight * p.demandPerSlot
			}
			if best == nil || loss < lowest {
				best, victim, lowest = e, m, loss
			}
		}
	}
	if best == nil {
		return Action{}, false
	}
	return Action{Engine: best.ID, Model: victim, Unload: true, For: model, Reason: ReasonFreeMemory}, true
}

// mayUnload reports whether a replica of victim, which the engine holds since the given
// time, may be unloaded to free memory for model.
func (p *plan) mayUnload(e *Engine, victim, model string, since time.Time) bool {
	v, configured := p.in.Spec.Model(victim)
	if !configured {
		return true
	}
	age := p.in.Now.Sub(since)
	// Replicas that are still loading are not counted: their load may fail.
	if p.serving[victim] <= 1 {
		return p.mayUnloadLast(v, model, age)
	}
	if !p.isFull(e) {
		return true
	}
	if p.full[victim] <= p.desired[victim] {
		return false
	}
	if p.replicas[model] == 0 {
		return true
	}
	return age > minReplicaAge && p.gains(model, victim)
}

// gains reports whether a replica of model is worth more than one of victim.
func (p *plan) gains(model, victim string) bool {
	return p.demandPerReplica(model, 1) > minReplacementGain*p.demandPerReplica(victim, -1)
}

// mayUnloadLast reports whether the last serving replica of victim, held for age,
// may be unloaded for model. Only a model with demand and without a replica may
// take its place.
func (p *plan) mayUnloadLast(victim *policy.Model, model string, age time.Duration) bool {
	demand := p.in.Demand[model]
	if p.replicas[model] > 0 || !demand.exists() || p.serving[victim.Name] < 1 {
		return false
	}
	lost := p.in.Demand[victim.Name]
	if !lost.exists() {
		return true
	}
	turn := max(minReplicaAge, minTurnLoads*victim.ColdLoad)
	return age > turn && demand.rate()*age.Seconds()/turn.Seconds() > lost.rate()
}
