package enginecontrol

import (
	"strings"
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
)

const (
	// reportLag is how old a report may be when it arrives, with a margin.
	reportLag = 450 * time.Millisecond
	// leaveNotice is the time from telling all VMs that a model leaves an
	// engine to the order: a digest and the way of a request.
	leaveNotice = 500 * time.Millisecond
	// adapterUse is how long an adapter counts as in use after its last
	// request began or ended; it covers the digest that tells of the next one.
	adapterUse = 700 * time.Millisecond
)

// move is a model's load or unload that no report has shown yet.
type move struct {
	model string
	// expected is the number of accepted orders at which it takes effect.
	expected int64
	sent     time.Time
	// uncertain tells that the order was not answered.
	uncertain bool
}

// lost reports whether an order that was not answered shows no effect, so
// that it should be sent again: whichever copy is accepted first makes the
// others void.
func (m *move) lost(r *target.Report, now time.Time) bool {
	return m.uncertain && r.Orders == m.expected && now.Sub(m.sent) > resendAfter
}

// engine is the desk's account of one incarnation of an engine. mu is held
// while an order is under way, so that orders go out one by one.
type engine struct {
	mu sync.Mutex

	target *target.Target
	report *target.Report
	asked  time.Time
	// orders is the number of orders that the engine has accepted, by its
	// report and by the answers since.
	orders int64
	// loading and dropping are the moves under way; nil for none.
	loading, dropping *move
	// leaving lists models that are told to leave, with the time since when;
	// intended is the model that they make way for.
	leaving  map[string]time.Time
	intended string
	// issued lists adapters that were ordered and not reported yet, dropped
	// those that were unloaded and may still be reported.
	issued, dropped map[string]time.Time
	// unsure lists adapters whose loading was not answered, with the number of
	// accepted orders at which it still takes effect.
	unsure map[string]int64
	// since tells since when models are held.
	since map[string]time.Time
	// blockedUntil is until when the engine gets no orders.
	blockedUntil time.Time
}

func newEngine(t *target.Target) *engine {
	return &engine{
		target:  t,
		leaving: make(map[string]time.Time),
		issued:  make(map[string]time.Time),
		dropped: make(map[string]time.Time),
		unsure:  make(map[string]int64),
		since:   make(map[string]time.Time),
	}
}

func adapterKey(model, adapter string) string { return model + "/" + adapter }

// observe takes in a report that was asked for at a time.
func (e *engine) observe(r *target.Report, asked, now time.Time) {
	first := e.report == nil
	e.report, e.asked = r, asked
	if now.Sub(e.lastOrder()) > reportLag || r.Orders > e.orders {
		e.orders = r.Orders
	}
	for i := range r.Weights.Models {
		m := r.Weights.Models[i].Model
		if _, ok := e.since[m]; !ok && !first {
			e.since[m] = now // what the first report lists is older
		}
	}
	for m := range e.since {
		if _, ok := r.Weights.Find(m); !ok {
			delete(e.since, m)
		}
	}
	e.settleLoad(r, now)
	e.settleDrop(r, now)
	for key, expected := range e.unsure {
		if r.Orders > expected {
			delete(e.unsure, key)
		}
	}
	for key, at := range e.issued {
		if now.Sub(at) > 2*reportLag {
			delete(e.issued, key)
		}
	}
	for key, at := range e.dropped {
		if now.Sub(at) > 2*reportLag {
			delete(e.dropped, key)
		}
	}
}

func (e *engine) lastOrder() time.Time {
	var last time.Time
	for _, m := range []*move{e.loading, e.dropping} {
		if m != nil && m.sent.After(last) {
			last = m.sent
		}
	}
	for _, at := range e.issued {
		if at.After(last) {
			last = at
		}
	}
	for _, at := range e.dropped {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// settleLoad ends a load that a report has shown to be complete, or void: an
// engine checks the number of accepted orders when it carries an order out.
func (e *engine) settleLoad(r *target.Report, now time.Time) {
	if e.loading == nil {
		return
	}
	if _, ok := r.Weights.Find(e.loading.model); ok {
		e.loading = nil
		return
	}
	aged := now.Sub(e.loading.sent) > 2*reportLag
	if aged && r.Orders > e.loading.expected && !r.Busy {
		e.loading = nil
	}
}

// settleDrop ends an unload that a report has shown to be complete, or void.
func (e *engine) settleDrop(r *target.Report, now time.Time) {
	if e.dropping == nil {
		return
	}
	_, held := r.Weights.Find(e.dropping.model)
	age := now.Sub(e.dropping.sent)
	gone := !held && age > reportLag
	void := held && age > 2*reportLag && r.Orders > e.dropping.expected && !r.Busy
	if gone || void {
		delete(e.leaving, e.dropping.model)
		e.dropping = nil
	}
}

// adapters returns the adapters that take or may take a place.
func (e *engine) adapters() map[string]bool {
	taken := make(map[string]bool)
	if e.report != nil {
		for i := range e.report.Weights.Models {
			h := &e.report.Weights.Models[i]
			for _, a := range h.Adapters {
				taken[adapterKey(h.Model, a)] = true
			}
		}
		for m, names := range e.report.Coming {
			for _, a := range names {
				taken[adapterKey(m, a)] = true
			}
		}
	}
	for key := range e.dropped {
		delete(taken, key)
	}
	for key := range e.issued {
		taken[key] = true
	}
	for key := range e.unsure {
		taken[key] = true
	}
	return taken
}

// freePlaces returns the adapters that may be loaded now.
func (e *engine) freePlaces(spec *policy.Engine) int {
	return spec.AdapterSlots - len(e.adapters())
}

// freeMB returns the memory that a new load may take.
func (e *engine) freeMB(spec *policy.Engine) float64 {
	free := spec.WeightsMB
	largestAdapter := 0.0
	for i := range spec.Models {
		largestAdapter = max(largestAdapter, spec.Models[i].AdapterMB)
	}
	// Every place for an adapter counts, so that adapters need no accounts.
	free -= largestAdapter * float64(spec.AdapterSlots)
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

// weightsMB returns the memory of a model; one that is no longer configured
// counts like the largest.
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

// ready reports whether the engine's account is complete enough for an order.
func (e *engine) ready(now time.Time) bool {
	return e.report != nil && !e.report.Busy && !now.Before(e.blockedUntil)
}

// held returns what other VMs may send requests for.
func (e *engine) held() []target.LoadedModel {
	if e.report == nil {
		return nil
	}
	held := make([]target.LoadedModel, 0, len(e.report.Weights.Models))
	for i := range e.report.Weights.Models {
		h := e.report.Weights.Models[i]
		if _, leaves := e.leaving[h.Model]; leaves {
			continue
		}
		out := target.LoadedModel{Model: h.Model, Version: h.Version}
		for _, a := range h.Adapters {
			key := adapterKey(h.Model, a)
			_, gone := e.dropped[key]
			_, again := e.issued[key]
			if !gone && !again {
				out.Adapters = append(out.Adapters, a)
			}
		}
		for key := range e.issued {
			if m, a, ok := cutKey(key); ok && m == h.Model {
				out.Adapters = append(out.Adapters, a)
			}
		}
		held = append(held, out)
	}
	return held
}

func cutKey(key string) (model, adapter string, ok bool) { return strings.Cut(key, "/") }
