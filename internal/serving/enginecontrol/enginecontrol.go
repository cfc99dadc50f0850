// Package enginecontrol gives orders to the engines of all pools while this VM
// holds the order duty: it keeps an account of each engine's memory, moves
// models, and brings adapters when requests ask for them.
//
// Every order names the number of orders that the engine must have accepted
// before, as of the report that the order was decided by. So an order takes
// effect only on the memory that it was decided for, however late it arrives
// and whoever has sent others meanwhile.
package enginecontrol

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/serving/leader"
	"fireflypier.example/fireflypier/internal/serving/modelplacement"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

const (
	// planInterval is the time between two decisions.
	planInterval = 150 * time.Millisecond
	// reportInterval is the time between two reports of a quiet engine,
	// activeInterval that while orders are under way. Reports are priced.
	reportInterval = 1500 * time.Millisecond
	activeInterval = 150 * time.Millisecond
	// refusedPause is the time without orders after an engine refused one:
	// its next report shows why.
	refusedPause = 500 * time.Millisecond
	// resendAfter is the time after which an order that was not answered and
	// has shown no effect is sent again.
	resendAfter = time.Second
	// settleTime is the time without a new engine after which a term begins to
	// place models: engines that are not known yet may hold them.
	settleTime = 1500 * time.Millisecond
	// leastAtOnce is the number of model loads that may always be under way.
	leastAtOnce = 2
)

// EngineClient sends orders; platform.Targets implements it.
type EngineClient interface {
	Report(ctx context.Context, addr netip.AddrPort) (*target.Report, error)
	Order(ctx context.Context, to *target.Target, o *target.Order) (target.Outcome, error)
}

// Config are what a Desk stands on.
type Config struct {
	// Name is what engines are told of the sender: the VM's address.
	Name     string
	Election *leader.Election
	Engines  EngineClient
	// Policy is the configuration in force, Targets the live targets, Demand
	// that of all VMs, Requests the unfinished work at a target.
	Policy   func() *policy.Policy
	Targets  func() []*target.Target
	Demand   func() map[weightsdemand.Key]weightsdemand.Level
	Requests func(id string) int
	// OnHeldChange tells what an engine holds as soon as that changes.
	OnHeldChange func(id string, born int64, held []target.LoadedModel)
	Clock        clockwork.Clock
	Logger       hclog.Logger
}

// Controller gives orders. Its methods may be called at the same time.
type Controller struct {
	Config
	done    chan struct{}
	permits *permits

	mu    sync.Mutex
	fence int64
	// newest is when the last new engine was seen; settled tells that the
	// engines of this term are known.
	newest  time.Time
	settled bool
	engines map[string]*engine
	busy    map[string]bool
	// used tells when adapters were asked for last, or answered.
	used map[adapterID]time.Time
}

// adapterID names an adapter among all pools; key is its adapterKey.
type adapterID struct{ pool, key string }

// New returns a desk without accounts.
func New(p Config) *Controller {
	return &Controller{Config: p, done: make(chan struct{}), permits: newPermits(), used: make(map[adapterID]time.Time)}
}

// Run gives orders while the duty is held, until ctx ends.
func (d *Controller) Run(ctx context.Context) {
	defer close(d.done)
	var wg conc.WaitGroup
	defer wg.Wait()
	ticker := d.Clock.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
		if term := d.Election.Term(); term != nil {
			d.begin(term)
			d.step(ctx, term, &wg)
		}
	}
}

// Done is closed when Run has returned.
func (d *Controller) Done() <-chan struct{} { return d.done }

// begin starts the accounts anew in a new term.
func (d *Controller) begin(term *leader.Term) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fence == term.Fence {
		return
	}
	d.fence, d.newest = term.Fence, d.Clock.Now()
	d.settled = false
	d.engines = make(map[string]*engine)
	d.busy = make(map[string]bool)
	d.used = make(map[adapterID]time.Time)
	d.Logger.Info("orders begin", "fence", term.Fence)
}

// step asks for the reports that are due, and begins the orders to give.
func (d *Controller) step(ctx context.Context, term *leader.Term, wg *conc.WaitGroup) {
	p := d.Policy()
	if p == nil {
		return
	}
	now := d.Clock.Now()
	live := d.refresh(p)
	if d.isSettled(now) {
		d.plan(ctx, term, p, live, wg)
	}
	for _, e := range live {
		d.spawn(wg, e, func() { d.tend(ctx, term, p, e, now) })
	}
}

func (d *Controller) isSettled(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settled = d.settled || now.Sub(d.newest) > settleTime
	return d.settled
}

// refresh returns the accounts of all live engines; a new incarnation begins
// with an empty one.
func (d *Controller) refresh(p *policy.Policy) []*engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := make(map[string]bool)
	var live []*engine
	for _, t := range d.Targets() {
		pool, ok := p.Pool(t.Pool)
		if !ok || pool.Engine == nil {
			continue
		}
		seen[t.ID] = true
		e := d.engines[t.ID]
		if e == nil || e.target.Born != t.Born || e.target.Address != t.Address {
			e = newEngine(t)
			d.newest = d.Clock.Now()
			d.engines[t.ID] = e
		}
		live = append(live, e)
	}
	for id := range d.engines {
		if !seen[id] {
			delete(d.engines, id)
		}
	}
	return live
}

// spawn runs f unless something runs for the engine already.
func (d *Controller) spawn(wg *conc.WaitGroup, e *engine, f func()) {
	d.mu.Lock()
	busy := d.busy[e.target.ID]
	d.busy[e.target.ID] = true
	d.mu.Unlock()
	if busy {
		return
	}
	wg.Go(func() {
		defer func() {
			d.mu.Lock()
			delete(d.busy, e.target.ID)
			d.mu.Unlock()
		}()
		f()
	})
}

// tend asks for a report if it is due, and finishes what was begun.
func (d *Controller) tend(ctx context.Context, term *leader.Term, p *policy.Policy, e *engine, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	interval := reportInterval
	if e.loading != nil || e.dropping != nil || len(e.leaving) > 0 || e.report == nil || e.report.Busy {
		interval = activeInterval
	}
	if now.Sub(e.asked) >= interval {
		d.ask(ctx, e)
	}
	if e.report == nil {
		return
	}
	pool, ok := p.Pool(e.target.Pool)
	if !ok || pool.Engine == nil {
		return
	}
	switch {
	case e.loading != nil && e.loading.lost(e.report, now) && e.ready(now):
		d.sendLoad(ctx, term, e)
	case e.dropping != nil && e.dropping.lost(e.report, now) && e.ready(now):
		e.orders = e.dropping.expected
		d.sendDrop(ctx, term, e, e.dropping.model)
	case e.dropping == nil && e.loading == nil && e.ready(now):
		if len(e.leaving) == 0 && e.intended != "" {
			d.loadIntended(ctx, term, pool, e, now)
			return
		}
		d.dropNext(ctx, term, e, now)
	}
}

// loadIntended loads the model that others have made way for.
func (d *Controller) loadIntended(ctx context.Context, term *leader.Term, pool *policy.Pool, e *engine, now time.Time) {
	w := e.report.Weights
	if !slices.Contains(w.InMemory, e.intended) && !slices.Contains(w.OnDisk, e.intended) {
		if !d.permits.take(pool, now) {
			return
		}
	}
	model := e.intended
	e.intended = ""
	d.load(ctx, term, pool.Engine, e, model)
}

// ask gets a report.
func (d *Controller) ask(ctx context.Context, e *engine) {
	asked := d.Clock.Now()
	r, err := d.Engines.Report(ctx, e.target.Address)
	if err != nil {
		d.Logger.Debug("no report", "engine", e.target.ID, "error", err)
		e.asked = asked // not again at once
		return
	}
	if r.Born != e.target.Born {
		return // the target's row will tell of its new incarnation
	}
	e.observe(r, asked, d.Clock.Now())
	d.OnHeldChange(e.target.ID, e.target.Born, e.held())
}

// order sends one order if the term still lasts.
func (d *Controller) order(ctx context.Context, term *leader.Term, e *engine, o target.Order) target.Outcome {
	o.Expected, o.Holder, o.Fence = e.orders, d.Name, term.Fence
	if !term.Valid() {
		return target.NotSent
	}
	outcome, err := d.Engines.Order(ctx, e.target, &o)
	d.Logger.Info("order", "engine", e.target.ID, "operation", o.Operation.String(), "model", o.Model, "adapter", o.Adapter,
		"expected", o.Expected, "fence", o.Fence, "outcome", outcome.String(), "report_age_ms", d.Clock.Since(e.asked).Milliseconds(), "error", err)
	switch outcome {
	case target.Accepted:
		e.orders++
	case target.Refused, target.Invalid, target.Misdirected, target.Fenced, target.NotSent:
		e.blockedUntil = d.Clock.Now().Add(refusedPause)
	case target.Unanswered:
		e.blockedUntil = d.Clock.Now().Add(resendAfter)
	case target.Holds:
	}
	return outcome
}

// dropNext orders the unloading of a model whose notice is over.
func (d *Controller) dropNext(ctx context.Context, term *leader.Term, e *engine, now time.Time) {
	for m, since := range e.leaving {
		if now.Sub(since) < leaveNotice {
			continue
		}
		d.sendDrop(ctx, term, e, m)
		return
	}
}

// sendDrop sends the order of an unload, at first or again.
func (d *Controller) sendDrop(ctx context.Context, term *leader.Term, e *engine, model string) {
	m := &move{model: model, expected: e.orders, sent: d.Clock.Now()}
	switch d.order(ctx, term, e, target.Order{Operation: target.Unload, Model: model}) {
	case target.Accepted, target.Holds:
		e.dropping = m
	case target.Unanswered:
		m.uncertain = true
		e.dropping = m
	case target.Refused, target.Fenced, target.Misdirected, target.Invalid, target.NotSent:
		// Tried again after the pause, with the next report.
	}
}

// plan decides what models to move, and begins it.
func (d *Controller) plan(ctx context.Context, term *leader.Term, p *policy.Policy, live []*engine, wg *conc.WaitGroup) {
	demand := d.Demand()
	for i := range p.Pools {
		pool := &p.Pools[i]
		if pool.Engine == nil {
			continue
		}
		in, loading := d.input(pool, live, demand)
		if in == nil {
			continue
		}
		in.ColdLoads, in.Loads = d.permits.available(pool, in.Now), max(0, loadsAtOnce(pool.Engine)-loading)
		for _, a := range modelplacement.NextActions(in) {
			d.begins(ctx, term, pool, a, live, wg)
		}
	}
}

// loadsAtOnce returns the model loads that may be under way: as many as the
// weight store begins while the slowest of them lasts. More would only slow
// each other down.
func loadsAtOnce(spec *policy.Engine) int {
	slowest := time.Duration(0)
	for i := range spec.Models {
		slowest = max(slowest, spec.Models[i].ColdLoad)
	}
	return max(leastAtOnce, int(spec.LoadsPerSecond*slowest.Seconds()))
}

// input describes a pool's engines; nil until every engine that can be
// reached has reported.
func (d *Controller) input(pool *policy.Pool, live []*engine, demand map[weightsdemand.Key]weightsdemand.Level) (in *modelplacement.Input, loading int) {
	now := d.Clock.Now()
	in = &modelplacement.Input{Spec: pool.Engine, Demand: make(map[string]modelplacement.Demand), Now: now}
	for k, l := range demand {
		if k.Pool == pool.Name {
			m := in.Demand[k.Model]
			m.TokensPerSecond += l.TokensPerSecond
			m.Waiting += l.Waiting
			in.Demand[k.Model] = m
		}
	}
	for _, e := range live {
		if e.target.Pool != pool.Name || !e.mu.TryLock() {
			continue
		}
		if e.report != nil {
			in.Engines = append(in.Engines, d.describe(e, pool.Engine, now))
			if e.loading != nil {
				loading++
			}
		}
		e.mu.Unlock()
	}
	if len(in.Engines) == 0 {
		return nil, 0
	}
	return in, loading
}

func (d *Controller) describe(e *engine, spec *policy.Engine, now time.Time) modelplacement.Engine {
	s := modelplacement.Engine{
		ID:       e.target.ID,
		Draining: e.target.Draining,
		Models:   make(map[string]time.Time),
		Serving:  make(map[string]bool),
		FreeMB:   e.freeMB(spec),
		Idle:     e.ready(now) && e.loading == nil && e.dropping == nil && len(e.leaving) == 0 && e.intended == "",
		InMemory: set(e.report.Weights.InMemory),
		OnDisk:   set(e.report.Weights.OnDisk),
		Requests: d.Requests(e.target.ID),
	}
	for i := range e.report.Weights.Models {
		m := e.report.Weights.Models[i].Model
		if _, leaves := e.leaving[m]; !leaves {
			s.Models[m] = e.since[m]
			s.Serving[m] = true
		}
	}
	if e.loading != nil {
		s.Models[e.loading.model] = e.loading.sent
	}
	if e.intended != "" {
		s.Models[e.intended] = now
	}
	return s
}

func set(names []string) map[string]bool {
	s := make(map[string]bool, len(names))
	for _, n := range names {
		s[n] = true
	}
	return s
}

// begins starts one action of a plan.
func (d *Controller) begins(ctx context.Context, term *leader.Term, pool *policy.Pool, a modelplacement.Action, live []*engine, wg *conc.WaitGroup) {
	for _, e := range live {
		if e.target.ID != a.Engine {
			continue
		}
		if a.Cold && !d.permits.take(pool, d.Clock.Now()) {
			return
		}
		d.spawn(wg, e, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			d.Logger.Info("plan", "engine", a.Engine, "model", a.Model, "drop", a.Unload, "for", a.For, "cold", a.Cold, "reason", a.Reason, "report_age_ms", d.Clock.Since(e.asked).Milliseconds())
			if a.Unload {
				e.leaving[a.Model], e.intended = d.Clock.Now(), a.For
				d.OnHeldChange(e.target.ID, e.target.Born, e.held())
				return
			}
			d.load(ctx, term, pool.Engine, e, a.Model)
		})
	}
}

// load orders a model load if the memory is free.
func (d *Controller) load(ctx context.Context, term *leader.Term, spec *policy.Engine, e *engine, model string) {
	if e.loading != nil || e.freeMB(spec) < weightsMB(spec, model) {
		return
	}
	e.loading = &move{model: model, expected: e.orders}
	d.sendLoad(ctx, term, e)
}

// sendLoad sends the order of the load under way, at first or again.
func (d *Controller) sendLoad(ctx context.Context, term *leader.Term, e *engine) {
	e.orders = e.loading.expected
	e.loading.sent = d.Clock.Now()
	switch d.order(ctx, term, e, target.Order{Operation: target.Load, Model: e.loading.model}) {
	case target.Accepted:
		e.loading.uncertain = false
	case target.Holds, target.Invalid, target.Misdirected:
		e.loading = nil
	case target.Unanswered:
		e.loading.uncertain = true
	case target.Refused, target.Fenced, target.NotSent:
		// An earlier copy may have been accepted; reports will tell.
		if !e.loading.uncertain {
			e.loading = nil
		}
	}
}
