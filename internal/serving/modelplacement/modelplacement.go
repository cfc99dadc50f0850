// Package modelplacement decides which engine of a pool should load or drop which
// model. Every model keeps a replica; what memory is left follows demand. It
// has no input or output.
package modelplacement

import (
	"sort"
	"time"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

const (
	// replicaTokens is the work in tokens a second below which another
	// replica of a model is of no use.
	replicaTokens = 1500.0
	// moveGain is how many times more work a replica must get by a move than
	// the replica that makes way for it had.
	moveGain = 2.0
	// freshFor is how long a new replica stays before it may make way for
	// another model's demand; it covers the time in which demand settles.
	freshFor = 4 * time.Second
)

// Engine is an engine that may be ordered.
type Engine struct {
	// ID names the engine, Leaving engines take no new models.
	ID       string
	Draining bool
	// Models lists what it holds or is about to hold, with the time since
	// when; Serving what it certainly holds and goes on holding.
	Models  map[string]time.Time
	Serving map[string]bool
	// FreeMB is the memory that a new model may take; MB beyond that of the
	// models counts for adapters and orders that may still take effect.
	FreeMB float64
	// Idle tells that no order is under way there.
	Idle bool
	// InMemory and OnDisk are the models of which the host has a copy.
	InMemory, OnDisk map[string]bool
	// Requests is the unfinished work there.
	Requests int
}

// Demand is what callers ask of one model.
type Demand struct {
	// TokensPerSecond is the work, Waiting counts requests that no engine can
	// take.
	TokensPerSecond float64
	Waiting         int
}

// Input is what one decision stands on.
type Input struct {
	// Spec describes the pool, Engines are its engines.
	Spec    *policy.Engine
	Engines []Engine
	// Demand is by model.
	Demand map[string]Demand
	// ColdLoads is the number of loads from the weight store that may begin,
	// Loads that of all loads.
	ColdLoads, Loads int
	// Now is the time of the decision.
	Now time.Time
}

// Action loads or drops a model.
type Action struct {
	// Engine is the engine's id, Model the model.
	Engine, Model string
	// Unload tells that the model makes way for another one, For.
	Unload bool
	For    string
	// Cold tells that the load comes from the weight store.
	Cold bool
	// Reason tells operators why.
	Reason string
}

// The reasons of actions.
const (
	ReasonNoReplica  = "model has no replica"
	ReasonDemand     = "demand"
	ReasonFreeMemory = "room for another model"
)

// plan is one decision under way.
type plan struct {
	in       *Input
	replicas map[string]int
	serving  map[string]int
	wanted   map[string]int
	used     map[string]bool
	actions  []Action
}

// NextActions returns what to do now, the most pressing first; at most one action
// for an engine.
func NextActions(in *Input) []Action {
	p := &plan{in: in, replicas: make(map[string]int), serving: make(map[string]int), used: make(map[string]bool)}
	for i := range in.Engines {
		if in.Engines[i].Draining {
			continue
		}
		for m := range in.Engines[i].Models {
			p.replicas[m]++
		}
		for m := range in.Engines[i].Serving {
			p.serving[m]++
		}
	}
	p.wanted = p.targets()
	loads, cold := in.Loads, in.ColdLoads
	for _, m := range p.lacking() {
		if loads <= 0 {
			break
		}
		a, ok := p.place(m, cold > 0)
		if !ok {
			continue
		}
		p.actions = append(p.actions, a)
		p.used[a.Engine] = true
		if a.Unload {
			p.serving[a.Model]--
			p.replicas[a.Model]--
		} else {
			loads--
			if a.Cold {
				cold--
			}
		}
	}
	return p.actions
}

// targets divides the places of all engines among the models: one each, and
// the rest by work.
func (p *plan) targets() map[string]int {
	wanted := make(map[string]int)
	places, engines := 0, 0
	largest := 1.0
	for i := range p.in.Spec.Models {
		largest = max(largest, p.in.Spec.Models[i].WeightsMB)
		wanted[p.in.Spec.Models[i].Name] = 1
	}
	for i := range p.in.Engines {
		if !p.in.Engines[i].Draining {
			engines++
			places += int(p.in.Spec.WeightsMB / largest)
		}
	}
	for left := places - len(wanted); left > 0; left-- {
		best, most := "", replicaTokens
		for i := range p.in.Spec.Models {
			m := p.in.Spec.Models[i].Name
			work := p.in.Demand[m].TokensPerSecond / float64(wanted[m])
			if wanted[m] < engines && work > most {
				best, most = m, work
			}
		}
		if best == "" {
			break
		}
		wanted[best]++
	}
	return wanted
}

// lacking returns the models with fewer replicas than wanted, those without
// any first, then by work for each replica.
func (p *plan) lacking() []string {
	var models []string
	for i := range p.in.Spec.Models {
		m := p.in.Spec.Models[i].Name
		if p.replicas[m] < p.wanted[m] {
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
		return p.work(a, 1) > p.work(b, 1)
	})
	return models
}

// work returns a model's work for each replica if it had some more.
func (p *plan) work(model string, more int) float64 {
	return p.in.Demand[model].TokensPerSecond / float64(max(1, p.replicas[model]+more))
}

// place finds an engine for one more replica of a model: one with free
// memory, or one where another model makes way.
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
		if !p.takes(e, model) || e.FreeMB < spec.WeightsMB {
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
	return p.makeWay(model, spec)
}

func (p *plan) takes(e *Engine, model string) bool {
	_, holds := e.Models[model]
	return !e.Draining && e.Idle && !p.used[e.ID] && !holds
}

func (e *Engine) cold(model string) bool { return !e.InMemory[model] && !e.OnDisk[model] }

// loadCost is the time of a load in seconds, and a little for the requests
// that it slows down.
func (e *Engine) loadCost(m *policy.Model) float64 {
	const perRequest = 0.005 // seconds
	t := m.ColdLoad
	switch {
	case e.InMemory[m.Name]:
		t = m.WarmLoad
	case e.OnDisk[m.Name]:
		t = m.DiskLoad
	}
	return t.Seconds() + perRequest*float64(e.Requests)
}

// makeWay finds the replica that is missed least.
func (p *plan) makeWay(model string, spec *policy.Model) (Action, bool) {
	var best *Engine
	var victim string
	var least float64
	for i := range p.in.Engines {
		e := &p.in.Engines[i]
		if !p.takes(e, model) {
			continue
		}
		for m, since := range e.Models {
			if !p.mayGo(m, model, since) {
				continue
			}
			v, ok := p.in.Spec.Model(m)
			if ok && e.FreeMB+v.WeightsMB < spec.WeightsMB {
				continue
			}
			missed := p.work(m, -1) + float64(e.Requests) + e.loadCost(spec)
			if best == nil || missed < least {
				best, victim, least = e, m, missed
			}
		}
	}
	if best == nil {
		return Action{}, false
	}
	return Action{Engine: best.ID, Model: victim, Unload: true, For: model, Reason: ReasonFreeMemory}, true
}

// mayGo reports whether a replica of a model may make way for another model.
func (p *plan) mayGo(victim, model string, since time.Time) bool {
	if _, configured := p.in.Spec.Model(victim); !configured {
		return true
	}
	// Replicas that are only on their way may never come.
	if p.serving[victim] <= 1 || p.replicas[victim] <= p.wanted[victim] {
		return false
	}
	if p.replicas[model] == 0 {
		return true
	}
	return p.in.Now.Sub(since) > freshFor && p.work(model, 1) > moveGain*p.work(victim, -1)
}
