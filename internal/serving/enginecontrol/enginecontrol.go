// Package enginecontrol sends load and unload orders to the engines of all pools
// while this VM is the leader. It tracks the memory of each engine, places models
// and loads adapters on demand.
//
// Every order carries the number of orders that the engine must have accepted
// before it, taken from the report on which the order is based. An engine refuses
// an order with any other number. An order therefore takes effect only on the
// memory state it was computed for, even if it arrives late or another VM has sent
// orders in the meantime.
package enginecontrol

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/serving/election"
	"fireflypier.example/fireflypier/internal/serving/modelplacement"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

const (
	// planInterval is the time between two placement decisions.
	planInterval = 150 * time.Millisecond
	// idleReportInterval is the time between two reports of an idle engine,
	// activeReportInterval that while orders are in progress. The platform charges
	// for each report.
	idleReportInterval   = 1500 * time.Millisecond
	activeReportInterval = 150 * time.Millisecond
	// refusedBackoff is the time without orders after an engine has refused one:
	// its next report shows the reason.
	refusedBackoff = 500 * time.Millisecond
	// resendAfter is the time after which an unanswered order without visible
	// effect is sent again.
	resendAfter = time.Second
	// settleTime is the time without a newly discovered engine after which a new
	// leader starts to place models. Engines not discovered yet may already hold
	// them.
	settleTime = 1500 * time.Millisecond
	// minConcurrentLoads is the lower bound of concurrentLoads.
	minConcurrentLoads = 2
)

// Engines fetches reports from engines and sends them orders.
// platform.TargetClient implements it.
type Engines interface {
	// Both return the marks of the answer, also of one that is an error.
	Report(ctx context.Context, addr netip.AddrPort) (*target.Report, target.Marks, error)
	Order(ctx context.Context, to *target.Target, o *target.Order) (target.Outcome, target.Marks, error)
}

// Config holds the dependencies of a Controller.
type Config struct {
	// Name identifies the sender to engines: the VM's address.
	Name     string
	Election *election.Election
	Engines  Engines
	// Policy returns the configuration in force, nil before the first one. Targets
	// returns the live targets, Demand the demand at all VMs, and Requests the
	// number of unfinished requests at a target.
	Policy   func() *policy.Policy
	Targets  func() []*target.Target
	Demand   func() map[weightsdemand.Key]weightsdemand.Level
	Requests func(id string) int
	// Held is called with the models and adapters of an engine, and the models that
	// it is loading, after each report, after an adapter load, when a load starts
	// and when a model starts to drain.
	Held func(id string, born int64, held []target.LoadedModel, coming []target.ComingModel)
	// LoadBound returns the bound of loads from the weight store: within window, at most
	// overage times what the store's rate allows; zero values set no bound besides
	// the rate.
	LoadBound func() (window time.Duration, overage float64)
	// Limit returns the limit of an engine, Distance the time for which it wants no call
	// from this VM. Permit reserves one report or order to an engine with a limit, and
	// returns the time until it may be sent; it may fail.
	Limit    func(t *target.Target) target.Limit
	Distance func(t *target.Target) time.Duration
	// Evacuated reports whether nothing may be sent to an engine, since its data centre is
	// evacuated.
	Evacuated func(t *target.Target) bool
	Permit    func(ctx context.Context, t *target.Target) (wait time.Duration, ok bool)
	// Observe records what an engine says in its answer to a report or an order, which
	// was sent at the time sent.
	Observe func(t *target.Target, m *target.Marks, sent time.Time)
	Clock   clockwork.Clock
	Logger  hclog.Logger
}

// Controller sends orders to engines. It is safe for concurrent use.
type Controller struct {
	Config
	done        chan struct{}
	loadLimiter *loadLimiter

	mu sync.Mutex
	// fence is the fencing token of the term that the fields below belong to.
	fence int64
	// lastDiscovery is when the last new engine was discovered. settled is true
	// once settleTime has passed since then in this term.
	lastDiscovery time.Time
	settled       bool
	engines       map[string]*engine
	// busy contains the engines for which spawn is running a goroutine.
	busy map[string]bool
	// lastUsed holds the time of each adapter's last request or answer.
	lastUsed map[adapterID]time.Time
}

// adapterID identifies an adapter across pools; key is its adapterKey.
type adapterID struct{ pool, key string }

// New returns a controller that sends no orders until Run is called.
func New(config Config) *Controller {
	return &Controller{Config: config, done: make(chan struct{}), loadLimiter: newLoadLimiter(config.LoadBound), lastUsed: make(map[adapterID]time.Time)}
}

// Run sends orders while this VM is the leader, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	var wg conc.WaitGroup
	defer wg.Wait()
	ticker := c.Clock.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
		if term := c.Election.Term(); term != nil {
			c.startTerm(term)
			c.step(ctx, term, &wg)
		}
	}
}

// Done is closed when Run has returned.
func (c *Controller) Done() <-chan struct{} { return c.done }

// startTerm discards the state of the engines at the start of a new term.
func (c *Controller) startTerm(term *election.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence == term.Fence {
		return
	}
	c.fence, c.lastDiscovery = term.Fence, c.Clock.Now()
	c.settled = false
	c.engines = make(map[string]*engine)
	c.busy = make(map[string]bool)
	c.lastUsed = make(map[adapterID]time.Time)
	if term.Inherited {
		c.loadLimiter.inherit(c.lastDiscovery.Add(-term.Vacancy))
	}
	c.Logger.Info("orders begin", "fence", term.Fence, "inherited", term.Inherited, "vacancy_ms", term.Vacancy.Milliseconds())
}

// step starts placement actions and reconciles every live engine.
func (c *Controller) step(ctx context.Context, term *election.Term, wg *conc.WaitGroup) {
	p := c.Policy()
	if p == nil {
		return
	}
	now := c.Clock.Now()
	live := c.syncEngines(p)
	if c.isSettled(now) {
		c.plan(ctx, term, p, live, wg)
	}
	for _, e := range live {
		c.spawn(wg, e, func() { c.reconcile(ctx, term, p, e, now) })
	}
}

func (c *Controller) isSettled(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settled = c.settled || now.Sub(c.lastDiscovery) > settleTime
	return c.settled
}

// syncEngines creates and removes engine states to match the live targets, and
// returns them. A new incarnation or address starts with an empty state.
func (c *Controller) syncEngines(p *policy.Policy) []*engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := make(map[string]bool)
	var live []*engine
	for _, t := range c.Targets() {
		pool, ok := p.Pool(t.Pool)
		if !ok || pool.Engine == nil {
			continue
		}
		seen[t.ID] = true
		e := c.engines[t.ID]
		if e == nil || e.target.Born != t.Born || e.target.Address != t.Address {
			e = newEngine(t)
			c.lastDiscovery = c.Clock.Now()
			c.engines[t.ID] = e
		}
		e.leaving.Store(t.Draining)
		live = append(live, e)
	}
	for id := range c.engines {
		if !seen[id] {
			delete(c.engines, id)
		}
	}
	return live
}

// spawn runs f in a goroutine of wg, unless one is already running for the engine. It
// reports whether it does.
func (c *Controller) spawn(wg *conc.WaitGroup, e *engine, f func()) bool {
	c.mu.Lock()
	busy := c.busy[e.target.ID]
	c.busy[e.target.ID] = true
	c.mu.Unlock()
	if busy {
		return false
	}
	wg.Go(func() {
		defer func() {
			c.mu.Lock()
			delete(c.busy, e.target.ID)
			c.mu.Unlock()
		}()
		f()
	})
	return true
}

// reconcile fetches a report if one is due, and continues pending orders: it
// resends unanswered ones, unloads drained models and loads their replacement.
func (c *Controller) reconcile(ctx context.Context, term *election.Term, p *policy.Policy, e *engine, now time.Time) {
	if err := e.begin(ctx); err != nil {
		c.Logger.Debug("engine not reconciled", "engine", e.target.ID, "error", err)
		return
	}
	defer e.end()
	if c.Evacuated(e.target) {
		return
	}
	if now.Sub(e.reportRequested) >= e.reportInterval(c.Limit(e.target)) {
		c.fetchReport(ctx, e)
	}
	if e.report == nil {
		return
	}
	pool, ok := p.Pool(e.target.Pool)
	if !ok || pool.Engine == nil {
		return
	}
	if e.leaving.Load() {
		return // no order is continued while the engine gets no requests
	}
	switch {
	case e.loading != nil && e.loading.needsResend(e.report, now) && e.ready(now):
		c.sendLoad(ctx, term, e)
	case e.unloading != nil && e.unloading.needsResend(e.report, now) && e.ready(now):
		e.acceptedOrders = e.unloading.expected
		c.sendUnload(ctx, term, e, e.unloading.model)
	case e.unloading == nil && e.loading == nil && e.ready(now):
		if len(e.draining) == 0 && e.replacement != "" {
			c.loadReplacement(ctx, term, pool, e, now)
			return
		}
		c.unloadDrained(ctx, term, e, now)
	}
}

// loadReplacement loads the model for which others were unloaded.
func (c *Controller) loadReplacement(ctx context.Context, term *election.Term, pool *policy.Pool, e *engine, now time.Time) {
	w := e.report.Weights
	if !slices.Contains(w.InMemory, e.replacement) && !slices.Contains(w.OnDisk, e.replacement) {
		if !c.loadLimiter.allow(pool, now) {
			return
		}
	}
	model := e.replacement
	e.replacement = ""
	c.load(ctx, term, pool.Engine, e, model)
}

// fetchReport fetches a report and publishes what the engine holds.
func (c *Controller) fetchReport(ctx context.Context, e *engine) {
	if !c.permitted(ctx, e) {
		return
	}
	reportRequested := c.Clock.Now()
	if e.silentSince.IsZero() {
		e.silentSince = reportRequested
	}
	var r *target.Report
	var marks target.Marks
	var err error
	e.call(func() { r, marks, err = c.Engines.Report(ctx, e.target.Address) })
	if r == nil || r.Born != e.target.Born {
		marks.Leaving, marks.Cold = false, target.Cold{} // may be that of another incarnation at the address
	}
	c.observe(e, &marks, reportRequested)
	if !errors.Is(err, context.DeadlineExceeded) {
		e.silentSince = time.Time{}
	}
	if err != nil {
		c.Logger.Debug("engine report failed", "engine", e.target.ID, "error", err)
		e.reportRequested = reportRequested // retry after the report interval
		return
	}
	if r.Born != e.target.Born {
		return // wait until the target's row shows the new incarnation
	}
	if marks.Limit.Named {
		c.Logger.Info("report of an engine with a limit", "engine", e.target.ID, "per_second", marks.Limit.PerSecond,
			"since_last_ms", reportRequested.Sub(e.reportRequested).Milliseconds())
	}
	e.observe(r, reportRequested, c.Clock.Now())
	c.publish(e)
}

// order sends one order if the term is still valid. It completes o with the
// sender and the expected number of accepted orders, and blocks further orders
// for a while after a failure.
func (c *Controller) order(ctx context.Context, term *election.Term, e *engine, o target.Order) target.Outcome {
	o.Expected, o.Holder, o.Fence = e.acceptedOrders, c.Name, term.Fence
	if !term.Valid() {
		return target.NotSent
	}
	if !c.permitted(ctx, e) {
		e.blockedUntil = e.permit
		return target.NotSent
	}
	var outcome target.Outcome
	var marks target.Marks
	var err error
	sent := c.Clock.Now()
	e.call(func() { outcome, marks, err = c.Engines.Order(ctx, e.target, &o) })
	if outcome != target.Misdirected {
		c.observe(e, &marks, sent)
	}
	c.Logger.Info("order", "engine", e.target.ID, "operation", o.Operation.String(), "model", o.Model, "adapter", o.Adapter,
		"expected", o.Expected, "fence", o.Fence, "outcome", outcome.String(), "report_age_ms", c.Clock.Since(e.reportRequested).Milliseconds(), "error", err)
	switch outcome {
	case target.Accepted:
		e.acceptedOrders++
	case target.Refused, target.Invalid, target.Misdirected, target.Fenced, target.NotSent:
		e.blockedUntil = c.Clock.Now().Add(refusedBackoff)
	case target.Unanswered:
		e.blockedUntil = c.Clock.Now().Add(resendAfter)
	case target.Holds:
	}
	return outcome
}

// unloadDrained unloads one model that has drained for drainNotice.
func (c *Controller) unloadDrained(ctx context.Context, term *election.Term, e *engine, now time.Time) {
	for m, since := range e.draining {
		if now.Sub(since) < drainNotice {
			continue
		}
		c.sendUnload(ctx, term, e, m)
		return
	}
}

// sendUnload sends or resends the order to unload a model.
func (c *Controller) sendUnload(ctx context.Context, term *election.Term, e *engine, model string) {
	o := &pendingOrder{model: model, expected: e.acceptedOrders, sent: c.Clock.Now()}
	switch c.order(ctx, term, e, target.Order{Operation: target.Unload, Model: model}) {
	case target.Accepted, target.Holds:
		e.unloading = o
	case target.Unanswered:
		o.unanswered = true
		e.unloading = o
	case target.Refused, target.Fenced, target.Misdirected, target.Invalid, target.NotSent:
		// Retried after the backoff, with the next report.
	}
}

// plan computes the placement actions of every engine pool and starts them.
func (c *Controller) plan(ctx context.Context, term *election.Term, p *policy.Policy, live []*engine, wg *conc.WaitGroup) {
	demand := c.Demand()
	for i := range p.Pools {
		pool := &p.Pools[i]
		if pool.Engine == nil {
			continue
		}
		in, loading := c.placementInput(pool, live, demand)
		if in == nil {
			continue
		}
		in.ColdLoads, in.Loads = c.loadLimiter.available(pool, in.Now), max(0, concurrentLoads(pool.Engine)-loading)
		for _, a := range modelplacement.NextActions(in) {
			c.execute(ctx, term, pool, a, live, wg)
		}
	}
}

// concurrentLoads returns the maximum number of concurrent model loads in a pool:
// the number that the weight store starts during the slowest load. Further loads
// would only slow each other down.
func concurrentLoads(spec *policy.Engine) int {
	slowest := time.Duration(0)
	for i := range spec.Models {
		slowest = max(slowest, spec.Models[i].ColdLoad)
	}
	return max(minConcurrentLoads, int(spec.LoadsPerSecond*slowest.Seconds()))
}

// placementInput returns the placement input for the pool's engines that have
// reported, and the number of pending model loads among them. It skips engines that
// do not answer, and returns nil if none is left.
func (c *Controller) placementInput(pool *policy.Pool, live []*engine, demand map[weightsdemand.Key]weightsdemand.Level) (in *modelplacement.Input, loading int) {
	now := c.Clock.Now()
	in = &modelplacement.Input{Spec: pool.Engine, Demand: make(map[string]modelplacement.Demand), Now: now}
	for k, l := range demand {
		if k.Pool == pool.Name {
			m := in.Demand[k.Model]
			m.TokensPerSecond += l.TokensPerSecond
			m.Waiting += l.Waiting
			m.UnmetPerSecond += l.UnmetPerSecond
			m.Running += l.Running
			in.Demand[k.Model] = m
		}
	}
	for _, e := range live {
		if e.target.Pool != pool.Name {
			continue
		}
		e.mu.Lock()
		if e.report != nil && !e.silent(now) {
			in.Engines = append(in.Engines, c.placementEngine(e, pool.Engine, now))
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

// placementEngine returns the placement's view of an engine. Draining models are
// omitted; loading models and the replacement count as held.
func (c *Controller) placementEngine(e *engine, spec *policy.Engine, now time.Time) modelplacement.Engine {
	distant := c.Distance(e.target) > 0
	s := modelplacement.Engine{
		ID:       e.target.ID,
		Leaving:  e.leaving.Load(),
		Models:   make(map[string]time.Time),
		Serving:  make(map[string]bool),
		FreeMB:   e.freeMB(spec),
		Idle:     e.ready(now) && !e.calling && !distant && e.loading == nil && e.unloading == nil && len(e.draining) == 0 && e.replacement == "",
		InMemory: toSet(e.report.Weights.InMemory),
		OnDisk:   toSet(e.report.Weights.OnDisk),
		Requests: c.Requests(e.target.ID),
		Limited:  c.Limit(e.target).Named || distant,
	}
	for i := range e.report.Weights.Models {
		m := e.report.Weights.Models[i].Model
		if _, isDraining := e.draining[m]; !isDraining {
			s.Models[m] = e.heldSince[m]
			s.Serving[m] = true
		}
	}
	if e.loading != nil {
		s.Models[e.loading.model] = e.loading.sent
	}
	if e.replacement != "" {
		s.Models[e.replacement] = now
	}
	return s
}

func toSet(names []string) map[string]bool {
	s := make(map[string]bool, len(names))
	for _, n := range names {
		s[n] = true
	}
	return s
}

// execute starts one placement action, unless the limit for loads from the weight
// store is reached.
func (c *Controller) execute(ctx context.Context, term *election.Term, pool *policy.Pool, a modelplacement.Action, live []*engine, wg *conc.WaitGroup) {
	for _, e := range live {
		if e.target.ID != a.Engine {
			continue
		}
		if !e.calls.TryAcquire(1) {
			return // planned again after the call in progress, so that a load starts when it is allowed
		}
		if a.Cold && !c.loadLimiter.allow(pool, c.Clock.Now()) {
			e.calls.Release(1)
			return
		}
		started := c.spawn(wg, e, func() {
			e.mu.Lock()
			defer e.end()
			c.Logger.Info("plan", "engine", a.Engine, "model", a.Model, "drop", a.Unload, "for", a.For, "cold", a.Cold, "reason", a.Reason, "report_age_ms", c.Clock.Since(e.reportRequested).Milliseconds())
			if a.Unload {
				e.draining[a.Model], e.replacement = c.Clock.Now(), a.For
				c.publish(e)
				return
			}
			c.load(ctx, term, pool.Engine, e, a.Model)
		})
		if !started {
			e.calls.Release(1)
		}
	}
}

// load orders the load of a model if none is pending and its memory is free.
func (c *Controller) load(ctx context.Context, term *election.Term, spec *policy.Engine, e *engine, model string) {
	if e.loading != nil || e.freeMB(spec) < weightsMB(spec, model) {
		return
	}
	e.loading = &pendingOrder{model: model, expected: e.acceptedOrders}
	c.sendLoad(ctx, term, e)
	c.publish(e)
}

// publish passes on what the engine holds and is loading.
func (c *Controller) publish(e *engine) {
	var coming []target.ComingModel
	if p := c.Policy(); p != nil {
		if pool, ok := p.Pool(e.target.Pool); ok && pool.Engine != nil {
			coming = e.coming(pool.Engine, c.Clock.Now())
		}
	}
	c.Held(e.target.ID, e.target.Born, e.held(), coming)
}

// sendLoad sends or resends the order of the pending load.
func (c *Controller) sendLoad(ctx context.Context, term *election.Term, e *engine) {
	e.acceptedOrders = e.loading.expected
	e.loading.sent = c.Clock.Now()
	switch c.order(ctx, term, e, target.Order{Operation: target.Load, Model: e.loading.model}) {
	case target.Accepted:
		e.loading.unanswered = false
	case target.Holds, target.Invalid, target.Misdirected:
		e.loading = nil
	case target.Unanswered:
		e.loading.unanswered = true
	case target.Refused, target.Fenced, target.NotSent:
		// An earlier copy may have been accepted; a report will show it.
		if !e.loading.unanswered {
			e.loading = nil
		}
	}
}
