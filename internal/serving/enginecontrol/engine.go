package enginecontrol

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/targetlimit"
)

const (
	// maxReportAge is the maximum age of a report on arrival, with a margin.
	maxReportAge = 450 * time.Millisecond
	// drainNotice is the time between announcing to all VMs that a model drains
	// and the unload order. It covers one digest and the transit of a request.
	drainNotice = 500 * time.Millisecond
	// adapterMinIdle is how long an adapter counts as in use after its last
	// request started or ended. It covers the delay of the digest that reports
	// the next request.
	adapterMinIdle = 700 * time.Millisecond
	// silentAfter is the time after which an engine that does not answer counts as gone.
	silentAfter = 500 * time.Millisecond
	// idleReportShare is the share of an engine's limit that its reports may take while it
	// is idle, activeReportShare that while orders are in progress.
	idleReportShare, activeReportShare = 0.2, 0.5
)

// pendingOrder is the load or unload of a model that no report has confirmed yet.
type pendingOrder struct {
	model string
	// expected is the number of orders that the engine must have accepted before
	// this one; with another number the engine refuses it.
	expected int64
	sent     time.Time
	// unanswered is true if the order may or may not have been accepted.
	unanswered bool
}

// needsResend reports whether the order was sent more than resendAfter ago, has not
// been answered and has had no effect.
// Sending it again is safe: once one copy is accepted, the engine refuses the
// others because their expected number no longer matches.
func (o *pendingOrder) needsResend(r *target.Report, now time.Time) bool {
	return o.unanswered && r.Orders == o.expected && now.Sub(o.sent) > resendAfter
}

// engine is the controller's view of one incarnation of an engine. Reports and orders
// are requested one at a time, between begin and end; only then does the state change.
type engine struct {
	calls *semaphore.Weighted
	// mu guards the state. It is free during a call, so that others can read the state.
	mu      sync.Mutex
	calling bool

	target *target.Target
	// leaving is set while the target takes no new requests; target.Draining is as of its
	// discovery.
	leaving         atomic.Bool
	report          *target.Report
	reportRequested time.Time
	// silentSince is the time of the first report request since the last that was
	// answered in time; zero if that was the last one.
	silentSince time.Time
	// acceptedOrders is the number of orders that the engine has accepted: that of
	// its last report plus the orders accepted since.
	acceptedOrders int64
	// loading and unloading are the pending model orders; nil if there is none.
	loading, unloading *pendingOrder
	// draining maps each model that is to be unloaded to the time when draining
	// started. replacement is the model to load once they are unloaded.
	draining    map[string]time.Time
	replacement string
	// recentlyLoaded and recentlyUnloaded hold the times of accepted adapter loads
	// and unloads that reports may not show yet.
	recentlyLoaded, recentlyUnloaded map[string]time.Time
	// unanswered holds the adapters whose load order was not answered, with
	// the number of accepted orders at which it can still take effect.
	unanswered map[string]int64
	// heldSince maps each model to the time when it was first reported. Models of
	// the first report are missing: they have been held for longer.
	heldSince map[string]time.Time
	// blockedUntil is the time before which no order is sent.
	blockedUntil time.Time
	// permit is the time before which the engine's limit allows no call; reserved is set
	// if one call is reserved for that time.
	permit   time.Time
	reserved bool
}

func newEngine(t *target.Target) *engine {
	return &engine{
		calls:            semaphore.NewWeighted(1),
		target:           t,
		draining:         make(map[string]time.Time),
		recentlyLoaded:   make(map[string]time.Time),
		recentlyUnloaded: make(map[string]time.Time),
		unanswered:       make(map[string]int64),
		heldSince:        make(map[string]time.Time),
	}
}

// begin waits until no other call is in progress, and locks e.mu. It fails if ctx ends first.
func (e *engine) begin(ctx context.Context) error {
	if err := e.calls.Acquire(ctx, 1); err != nil {
		return errors.Wrapf(err, "wait for the calls to engine %s", e.target.ID)
	}
	e.mu.Lock()
	return nil
}

// end undoes begin.
func (e *engine) end() {
	e.mu.Unlock()
	e.calls.Release(1)
}

// call runs f, which takes time, with e.mu unlocked. The caller has called begin.
func (e *engine) call(f func()) {
	e.calling = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.calling = false
	}()
	f()
}

func adapterKey(model, adapter string) string { return model + "/" + adapter }

// observe updates the engine's state from a report that was requested at the time
// reportRequested.
func (e *engine) observe(r *target.Report, reportRequested, now time.Time) {
	first := e.report == nil
	e.report, e.reportRequested = r, reportRequested
	if now.Sub(e.lastOrderTime()) > maxReportAge || r.Orders > e.acceptedOrders {
		e.acceptedOrders = r.Orders
	}
	for i := range r.Weights.Models {
		m := r.Weights.Models[i].Model
		if _, ok := e.heldSince[m]; !ok && !first {
			e.heldSince[m] = now // models of the first report were loaded earlier
		}
	}
	for m := range e.heldSince {
		if _, ok := r.Weights.Find(m); !ok {
			delete(e.heldSince, m)
		}
	}
	e.resolveLoad(r, now)
	e.resolveUnload(r, now)
	for key, expected := range e.unanswered {
		if r.Orders > expected {
			delete(e.unanswered, key)
		}
	}
	for key, at := range e.recentlyLoaded {
		if now.Sub(at) > 2*maxReportAge {
			delete(e.recentlyLoaded, key)
		}
	}
	for key, at := range e.recentlyUnloaded {
		if now.Sub(at) > 2*maxReportAge {
			delete(e.recentlyUnloaded, key)
		}
	}
}

// lastOrderTime returns the time of the latest order that reports may not show yet.
func (e *engine) lastOrderTime() time.Time {
	var last time.Time
	for _, o := range []*pendingOrder{e.loading, e.unloading} {
		if o != nil && o.sent.After(last) {
			last = o.sent
		}
	}
	for _, at := range e.recentlyLoaded {
		if at.After(last) {
			last = at
		}
	}
	for _, at := range e.recentlyUnloaded {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// resolveLoad clears the pending load once a report shows that it is complete or
// can no longer take effect: an engine checks the number of accepted orders when
// it executes an order.
func (e *engine) resolveLoad(r *target.Report, now time.Time) {
	if e.loading == nil {
		return
	}
	if _, ok := r.Weights.Find(e.loading.model); ok {
		e.loading = nil
		return
	}
	aged := now.Sub(e.loading.sent) > 2*maxReportAge
	if aged && r.Orders > e.loading.expected && !r.Busy {
		e.loading = nil
	}
}

// resolveUnload clears the pending unload once a report shows that it is complete
// or can no longer take effect.
func (e *engine) resolveUnload(r *target.Report, now time.Time) {
	if e.unloading == nil {
		return
	}
	_, held := r.Weights.Find(e.unloading.model)
	age := now.Sub(e.unloading.sent)
	complete := !held && age > maxReportAge
	void := held && age > 2*maxReportAge && r.Orders > e.unloading.expected && !r.Busy
	if complete || void {
		delete(e.draining, e.unloading.model)
		e.unloading = nil
	}
}

// adapters returns the keys of the adapters that occupy, or may occupy, a slot.
func (e *engine) adapters() map[string]bool {
	occupied := make(map[string]bool)
	if e.report != nil {
		for i := range e.report.Weights.Models {
			h := &e.report.Weights.Models[i]
			for _, a := range h.Adapters {
				occupied[adapterKey(h.Model, a)] = true
			}
		}
		for m, names := range e.report.LoadingAdapters {
			for _, a := range names {
				occupied[adapterKey(m, a)] = true
			}
		}
	}
	for key := range e.recentlyUnloaded {
		delete(occupied, key)
	}
	for key := range e.recentlyLoaded {
		occupied[key] = true
	}
	for key := range e.unanswered {
		occupied[key] = true
	}
	return occupied
}

// freeSlots returns the number of adapters that can be loaded without unloading
// another; it is negative if more are counted than there are slots.
func (e *engine) freeSlots(spec *policy.Engine) int {
	return spec.AdapterSlots - len(e.adapters())
}

// freeMB returns the memory in MB that a new model may occupy.
func (e *engine) freeMB(spec *policy.Engine) float64 {
	free := spec.ModelMemoryMB()
	for i := range e.report.Weights.Models {
		free -= weightsMB(spec, e.report.Weights.Models[i].Model)
	}
	if e.loading != nil {
		if _, ok := e.report.Weights.Find(e.loading.model); !ok {
			free -= weightsMB(spec, e.loading.model)
		}
	}
	return free
}

// weightsMB returns the memory of a model in MB. A model that is no longer
// configured counts as the largest one.
func weightsMB(spec *policy.Engine, model string) float64 {
	if m, ok := spec.Model(model); ok {
		return m.WeightsMB
	}
	largest := 0.0
	for i := range spec.Models {
		largest = max(largest, spec.Models[i].WeightsMB)
	}
	return largest
}

// reportInterval returns the time between two reports of the engine. Those of an engine
// with a limit take at most a part of it.
func (e *engine) reportInterval(l target.Limit) time.Duration {
	interval, share := idleReportInterval, idleReportShare
	if e.loading != nil || e.unloading != nil || len(e.draining) > 0 || e.report == nil || e.report.Busy {
		interval, share = activeReportInterval, activeReportShare
	}
	if l.Named {
		interval = max(interval, time.Duration(float64(targetlimit.Interval(l))/share))
	}
	return interval
}

// ready reports whether an order may be sent: the engine has reported, is not
// busy, and is not blocked after an earlier order.
func (e *engine) ready(now time.Time) bool {
	return e.report != nil && !e.report.Busy && !now.Before(e.blockedUntil)
}

// silent reports whether the engine does not answer.
func (e *engine) silent(now time.Time) bool {
	return !e.silentSince.IsZero() && now.Sub(e.silentSince) > silentAfter
}

// held returns the models and adapters that other VMs may send requests for. It
// omits draining models.
func (e *engine) held() []target.LoadedModel {
	if e.report == nil {
		return nil
	}
	held := make([]target.LoadedModel, 0, len(e.report.Weights.Models))
	for i := range e.report.Weights.Models {
		h := e.report.Weights.Models[i]
		if _, isDraining := e.draining[h.Model]; isDraining {
			continue
		}
		out := target.LoadedModel{Model: h.Model, Version: h.Version}
		for _, a := range h.Adapters {
			key := adapterKey(h.Model, a)
			_, unloaded := e.recentlyUnloaded[key]
			_, loading := e.recentlyLoaded[key]
			if !unloaded && !loading {
				out.Adapters = append(out.Adapters, a)
			}
		}
		for key := range e.recentlyLoaded {
			if m, a, ok := splitAdapterKey(key); ok && m == h.Model {
				out.Adapters = append(out.Adapters, a)
			}
		}
		held = append(held, out)
	}
	return held
}

// coming returns the models that the engine is loading, or will load once others
// are unloaded.
func (e *engine) coming(spec *policy.Engine, now time.Time) []target.ComingModel {
	var coming []target.ComingModel
	add := func(model string, start time.Time) {
		if m, ok := spec.Model(model); ok {
			coming = append(coming, target.ComingModel{Model: model, Remaining: max(0, start.Add(e.loadTime(m)).Sub(now))})
		}
	}
	if e.loading != nil {
		add(e.loading.model, e.loading.sent)
	}
	if e.replacement != "" {
		add(e.replacement, now.Add(drainNotice))
	}
	return coming
}

// loadTime returns how long the engine takes to load a model.
func (e *engine) loadTime(m *policy.Model) time.Duration {
	if e.report == nil {
		return m.ColdLoad
	}
	w := &e.report.Weights
	return m.LoadTime(slices.Contains(w.InMemory, m.Name), slices.Contains(w.OnDisk, m.Name))
}

func splitAdapterKey(key string) (model, adapter string, ok bool) { return strings.Cut(key, "/") }
