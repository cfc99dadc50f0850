package enginecontrol

import (
	"context"
	"time"

	"fireflypier.example/fireflypier/internal/serving/leader"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

// adapterLoad is the assumed time of an adapter load once it was accepted;
// today's adapters take 5 to 10 ms.
const adapterLoad = 10 * time.Millisecond

// LoadAdapter returns an engine with an adapter, which it orders to be loaded if
// none holds it; empty if none can be had now.
func (d *Controller) LoadAdapter(ctx context.Context, poolName, model, adapter string) string {
	term := d.Election.Term()
	p := d.Policy()
	if term == nil || p == nil {
		return ""
	}
	pool, ok := p.Pool(poolName)
	if !ok || pool.Engine == nil {
		return ""
	}
	key := adapterKey(model, adapter)
	e := d.adapterHome(pool, model, key)
	if e == nil {
		d.Logger.Info("adapter not brought, no engine of the model takes orders", "model", model, "adapter", adapter)
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	d.use(adapterID{poolName, key}, d.Clock.Now())
	_, unsure := e.unsure[key]
	if e.adapters()[key] && !unsure {
		return e.target.ID
	}
	if !unsure && !d.makePlace(ctx, term, pool.Engine, e) {
		d.Logger.Info("adapter not brought, all places are in use", "model", model, "adapter", adapter,
			"engine", e.target.ID, "adapters", len(e.adapters()), "report_age_ms", d.Clock.Since(e.asked).Milliseconds())
		return ""
	}
	switch d.order(ctx, term, e, target.Order{Operation: target.Load, Model: model, Adapter: adapter}) {
	case target.Accepted, target.Holds:
		e.issued[key] = d.Clock.Now()
		delete(e.dropped, key)
		select {
		case <-d.Clock.After(adapterLoad):
		case <-ctx.Done():
		}
		d.OnHeldChange(e.target.ID, e.target.Born, e.held())
		return e.target.ID
	case target.Unanswered:
		e.unsure[key] = e.orders
	case target.Refused, target.Fenced, target.Misdirected, target.Invalid, target.NotSent:
	}
	return ""
}

// adapterHome chooses the engine for an adapter: one that has it, else the
// one with the most free places, and of these the least busy.
func (d *Controller) adapterHome(pool *policy.Pool, model, key string) *engine {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *engine
	var bestCost float64
	for _, e := range d.engines {
		if e.target.Pool != pool.Name || e.target.Draining || !e.mu.TryLock() {
			continue
		}
		cost, ok := e.adapterCost(pool.Engine, model, key, now)
		e.mu.Unlock()
		if !ok {
			continue
		}
		cost += float64(d.Requests(e.target.ID))
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// adapterCost compares engines for an adapter; lower is better.
func (e *engine) adapterCost(spec *policy.Engine, model, key string, now time.Time) (cost float64, ok bool) {
	// Placing an adapter where others must make way costs as much as some
	// requests ahead.
	const fullCost, perTaken = 12.0, 1.0
	if !e.ready(now) || (e.dropping != nil && e.dropping.model == model) {
		return 0, false
	}
	if _, held := e.report.Weights.Find(model); !held {
		return 0, false
	}
	if _, leaves := e.leaving[model]; leaves {
		return 0, false
	}
	taken := e.adapters()
	if taken[key] {
		return -1000, true
	}
	cost = perTaken * float64(len(taken))
	if e.freePlaces(spec) <= 0 {
		cost += fullCost
	}
	return cost, true
}

// makePlace unloads the adapter that was asked for least lately, if no place
// is free.
func (d *Controller) makePlace(ctx context.Context, term *leader.Term, spec *policy.Engine, e *engine) bool {
	if e.freePlaces(spec) > 0 {
		return true
	}
	now := d.Clock.Now()
	var victim string
	var oldest time.Time
	for key := range e.adapters() {
		if _, unsure := e.unsure[key]; unsure {
			continue
		}
		if _, issued := e.issued[key]; issued {
			continue
		}
		used := d.usedAt(adapterID{e.target.Pool, key})
		if now.Sub(used) < adapterUse {
			continue
		}
		if victim == "" || used.Before(oldest) {
			victim, oldest = key, used
		}
	}
	if victim == "" {
		return false
	}
	model, adapter, _ := cutKey(victim)
	outcome := d.order(ctx, term, e, target.Order{Operation: target.Unload, Model: model, Adapter: adapter})
	if outcome != target.Holds {
		return false
	}
	e.orders++ // an adapter without requests is unloaded at once, which counts
	e.dropped[victim] = now
	return e.freePlaces(spec) > 0
}

// RecordAdapterUse notes when requests last asked for adapters, and which ones answer.
func (d *Controller) RecordAdapterUse(levels map[weightsdemand.Key]weightsdemand.Level) {
	now := d.Clock.Now()
	for k, l := range levels {
		if k.Adapter == "" {
			continue
		}
		at := now.Add(-l.Idle)
		if l.Running > 0 {
			at = now
		}
		d.use(adapterID{k.Pool, adapterKey(k.Model, k.Adapter)}, at)
	}
}

// use notes that an adapter was in use at a time.
func (d *Controller) use(id adapterID, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.used[id]) {
		d.used[id] = at
	}
}

func (d *Controller) usedAt(id adapterID) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used[id]
}
