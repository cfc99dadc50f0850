package enginecontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/serving/election"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

// adapterLoadTime is the wait after an engine has accepted an adapter load until
// the adapter counts as held; adapters load in 5 to 10 ms.
const adapterLoadTime = 10 * time.Millisecond

// LoadAdapter returns the ID of an engine that holds the adapter. If none does,
// it orders one engine to load it. It returns an empty string if this VM is not
// the leader, if the pool has no engines, or if no engine can hold the adapter now.
func (c *Controller) LoadAdapter(ctx context.Context, poolName, model, adapter string) string {
	term := c.Election.Term()
	p := c.Policy()
	if term == nil || p == nil {
		return ""
	}
	pool, ok := p.Pool(poolName)
	if !ok || pool.Engine == nil {
		return ""
	}
	key := adapterKey(model, adapter)
	e := c.chooseEngine(pool, model, key)
	if e == nil {
		c.Logger.Info("adapter not loaded: no engine with the model accepts orders", "model", model, "adapter", adapter)
		return ""
	}
	if err := e.begin(ctx); err != nil {
		c.Logger.Info("adapter not loaded: its engine is slow to answer", "model", model, "adapter", adapter, "engine", e.target.ID, "error", err)
		return ""
	}
	defer e.end()
	// An order that was sent is waited for, also if the caller has given up: it takes effect
	// anyway, and without its answer the engine gets no further one for a while.
	ctx = context.WithoutCancel(ctx)
	if !e.takesAdapter(model, c.Clock.Now()) {
		c.Logger.Info("adapter not loaded: its engine no longer accepts the order", "model", model, "adapter", adapter, "engine", e.target.ID)
		return ""
	}
	c.recordUse(adapterID{poolName, key}, c.Clock.Now())
	_, unanswered := e.unanswered[key]
	if e.adapters()[key] && !unanswered {
		return e.target.ID
	}
	if !unanswered && !c.ensureSlot(ctx, term, pool.Engine, e) {
		c.Logger.Info("adapter not loaded: all adapter slots are in use", "model", model, "adapter", adapter,
			"engine", e.target.ID, "adapters", len(e.adapters()), "report_age_ms", c.Clock.Since(e.reportRequested).Milliseconds())
		return ""
	}
	c.awaitPermit(ctx, e)
	switch c.order(ctx, term, e, target.Order{Operation: target.Load, Model: model, Adapter: adapter}) {
	case target.Accepted, target.Holds:
		e.recentlyLoaded[key] = c.Clock.Now()
		delete(e.recentlyUnloaded, key)
		e.call(func() { c.sleep(ctx, adapterLoadTime) })
		c.publish(e)
		return e.target.ID
	case target.Unanswered:
		e.unanswered[key] = e.acceptedOrders
	case target.Refused, target.Fenced, target.Misdirected, target.Invalid, target.NotSent:
	}
	return ""
}

// chooseEngine returns the engine with the lowest adapterCost plus unfinished
// requests; nil if no engine can take the adapter. It skips draining engines, and those
// that want no calls.
func (c *Controller) chooseEngine(pool *policy.Pool, model, key string) *engine {
	now := c.Clock.Now()
	c.mu.Lock()
	engines := slices.Collect(maps.Values(c.engines)) // e.mu is locked before c.mu elsewhere
	c.mu.Unlock()
	var best *engine
	var bestCost float64
	for _, e := range engines {
		if e.target.Pool != pool.Name || e.leaving.Load() || c.Distance(e.target) > 0 {
			continue
		}
		e.mu.Lock()
		takes, cost := e.takesAdapter(model, now), 0.0
		if takes {
			cost = e.adapterCost(pool.Engine, key, c.Limit(e.target).Named) + float64(c.Requests(e.target.ID))
		}
		e.mu.Unlock()
		if takes && (best == nil || cost < bestCost) {
			best, bestCost = e, cost
		}
	}
	return best
}

// takesAdapter reports whether the engine can take an adapter of a model.
func (e *engine) takesAdapter(model string, now time.Time) bool {
	if !e.ready(now) || (e.unloading != nil && e.unloading.model == model) {
		return false
	}
	if _, held := e.report.Weights.Find(model); !held {
		return false
	}
	_, isDraining := e.draining[model]
	return !isDraining
}

// adapterCost returns the cost of using the engine for an adapter that it takes, in units
// of one unfinished request; lower is better.
func (e *engine) adapterCost(spec *policy.Engine, key string, limited bool) float64 {
	// evictionCost is added if another adapter must be unloaded first, perAdapter
	// for each adapter that the engine holds. Both count unfinished requests.
	// limitedCost is added for an engine that takes only few calls a second, callingCost
	// for one that has still to answer another call.
	const evictionCost, perAdapter, limitedCost, callingCost = 12.0, 1.0, 20.0, 6.0
	occupied := e.adapters()
	if occupied[key] {
		return -1000 // preferred to any engine without the adapter
	}
	cost := perAdapter * float64(len(occupied))
	if e.freeSlots(spec) <= 0 {
		cost += evictionCost
	}
	if limited {
		cost += limitedCost
	}
	if e.calling {
		cost += callingCost
	}
	return cost
}

// ensureSlot reports whether the engine has a free adapter slot. If it has none,
// ensureSlot unloads the least recently used adapter, unless every adapter was
// used within adapterMinIdle.
func (c *Controller) ensureSlot(ctx context.Context, term *election.Term, spec *policy.Engine, e *engine) bool {
	if e.freeSlots(spec) > 0 {
		return true
	}
	now := c.Clock.Now()
	var victim string
	var oldest time.Time
	for key := range e.adapters() {
		if _, unanswered := e.unanswered[key]; unanswered {
			continue
		}
		if _, recentlyLoaded := e.recentlyLoaded[key]; recentlyLoaded {
			continue
		}
		usedAt := c.lastUseOf(adapterID{e.target.Pool, key})
		if now.Sub(usedAt) < adapterMinIdle {
			continue
		}
		if victim == "" || usedAt.Before(oldest) {
			victim, oldest = key, usedAt
		}
	}
	if victim == "" {
		return false
	}
	model, adapter, _ := splitAdapterKey(victim)
	outcome := c.order(ctx, term, e, target.Order{Operation: target.Unload, Model: model, Adapter: adapter})
	if outcome != target.Holds {
		return false
	}
	e.acceptedOrders++ // an unload of an idle adapter completes at once and counts as accepted
	e.recentlyUnloaded[victim] = now
	return e.freeSlots(spec) > 0
}

// RecordAdapterUse records when adapters were last requested. An adapter with
// running requests counts as in use now.
func (c *Controller) RecordAdapterUse(levels map[weightsdemand.Key]weightsdemand.Level) {
	now := c.Clock.Now()
	for k, l := range levels {
		if k.Adapter == "" {
			continue
		}
		at := now.Add(-l.Idle)
		if l.Running > 0 {
			at = now
		}
		c.recordUse(adapterID{k.Pool, adapterKey(k.Model, k.Adapter)}, at)
	}
}

// recordUse records that an adapter was in use at the time at.
func (c *Controller) recordUse(id adapterID, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.lastUsed[id]) {
		c.lastUsed[id] = at
	}
}

func (c *Controller) lastUseOf(id adapterID) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed[id]
}
