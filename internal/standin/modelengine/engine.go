// Package modelengine is a stand-in for a model engine. It simulates continuous
// batching with a simple timing model, a bounded prefix cache, request priorities,
// resumable streams, delayed reports, and orders with or without a fencing check.
package modelengine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/object"
)

// maxExecutedOrders is the maximum number of order IDs in a report.
const maxExecutedOrders = 256

// Generation is the record of a generation that the engine started.
type Generation struct {
	AttemptID string `json:"attempt_id"`
	Model     string `json:"model"`
	// Tokens is the number of tokens generated so far.
	Tokens int `json:"tokens"`
	// Finished is true once all tokens were generated; it stays false if the
	// generation is canceled or fails.
	Finished bool `json:"finished"`
}

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	cfg     Config
	clock   clockwork.Clock
	weights WeightStore

	mu          sync.Mutex
	bootID      string
	memory      memory
	cache       *cache
	fault       Fault
	fencing     int64
	role        string
	running     int
	tokens      int
	waiting     []*waiter
	cancels     map[string]context.CancelFunc
	generations []*Generation
	history     []timedReport
	loads       sync.WaitGroup
	// sequence is the number of recorded reports, and executedOrders holds the IDs of
	// the latest executed orders, oldest first.
	sequence       int64
	executedOrders []string
}

type waiter struct {
	priority int
	ready    chan struct{}
}

type timedReport struct {
	at     time.Time
	report engine.Report
}

// New returns an engine without loaded weights.
func New(cfg Config, clock clockwork.Clock, weights WeightStore) *Engine {
	e := &Engine{
		cfg:     cfg,
		clock:   clock,
		weights: weights,
		bootID:  uuid.NewString(),
		memory:  memory{limit: cfg.MemoryBytes, entries: map[entryKey]engine.Entry{}},
		cache:   newCache(cfg.CacheBlocks),
		cancels: map[string]context.CancelFunc{},
	}
	return e
}

// SetFault replaces the set of injected faults.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Generations returns the started generations in order.
func (e *Engine) Generations() []Generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Generation, len(e.generations))
	for i, r := range e.generations {
		list[i] = *r
	}
	return list
}

// Order executes o. It returns false if the engine checks fencing tokens and has
// seen a higher one.
func (e *Engine) Order(o *engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.Fencing < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.executedOrders = append(e.executedOrders, o.OrderID)
	e.executedOrders = e.executedOrders[max(0, len(e.executedOrders)-maxExecutedOrders):]
	switch o.Action {
	case engine.Load:
		e.load(o)
	case engine.Unload:
		e.unload(o)
	case engine.Role:
		e.role = o.Role
	}
	e.recordReport()
	return true
}

// unload makes the weights unavailable immediately and frees their memory after
// UnloadTime. The mutex is held.
func (e *Engine) unload(o *engine.Order) {
	if e.cfg.UnloadTime == 0 {
		e.memory.remove(o)
		return
	}
	e.memory.markUnloading(o)
	e.clock.AfterFunc(e.cfg.UnloadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.memory.removeUnloading(o)
		e.recordReport()
	})
}

// load reserves memory and starts to load the weights from the weight store. The
// mutex is held.
func (e *Engine) load(o *engine.Order) {
	if !e.memory.add(o) {
		return
	}
	e.loads.Go(func() {
		if err := e.weights.Load(context.Background(), o.Kind, o.Name, o.MemoryBytes); err != nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.memory.remove(o)
			e.recordReport()
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.memory.markLoaded(o)
		e.recordReport()
	})
}

// Report returns the state of the engine as it was ReportLag ago, with the cache
// events after the given sequence number.
func (e *Engine) Report(after int64) engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordReport()
	until := e.clock.Now().Add(-e.cfg.ReportLag)
	report := e.history[0].report
	for _, t := range e.history {
		if t.at.After(until) {
			break
		}
		report = t.report
	}
	report.Events = e.cache.eventsAfter(after, until, e.cfg.LoseEveryEvent)
	return report
}

// recordReport adds the current state to the history, from which delayed reports are
// taken. The mutex is held.
func (e *Engine) recordReport() {
	now := e.clock.Now()
	until := now.Add(-e.cfg.ReportLag)
	e.sequence++
	e.history = append(e.history, timedReport{at: now, report: e.currentReport()})
	for len(e.history) > 1 && !e.history[1].at.After(until) {
		e.history = e.history[1:]
	}
}

func (e *Engine) currentReport() engine.Report {
	return engine.Report{
		BootID:         e.bootID,
		MemoryBytes:    e.cfg.MemoryBytes,
		UsedBytes:      e.memory.used(),
		Entries:        e.memory.list(),
		Running:        e.running,
		Waiting:        len(e.waiting),
		QueuedTokens:   e.tokens,
		Fencing:        e.fencing,
		Sequence:       e.sequence,
		ExecutedOrders: slices.Clone(e.executedOrders),
		Role:           e.role,
		Violations:     e.memory.violations,
	}
}

// hasWeights reports whether the model and adapter of req are loaded. The mutex is
// held.
func (e *Engine) hasWeights(req *engine.GenerateRequest) bool {
	if !e.memory.has(object.KindModel, req.Model, req.Version) {
		return false
	}
	return req.Adapter == "" || e.hasAdapter(req.Adapter)
}

func (e *Engine) hasAdapter(name string) bool {
	for key, entry := range e.memory.entries {
		if key.kind == object.KindAdapter && key.name == name && entry.State == engine.Loaded {
			return true
		}
	}
	return false
}

// acquireSlot waits for a slot in the batch; it returns false if ctx ends first.
func (e *Engine) acquireSlot(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.cfg.Concurrency {
		e.running++
		e.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	at := slices.IndexFunc(e.waiting, func(o *waiter) bool { return o.priority > priority })
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, w)
	e.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return e.cancelWait(w)
	}
}

// cancelWait removes w from the queue. If w has received a slot in the meantime, the
// slot passes to the next waiter. It always returns false.
func (e *Engine) cancelWait(w *waiter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.waiting, w); at >= 0 {
		e.waiting = slices.Delete(e.waiting, at, at+1)
		return false
	}
	e.passSlot()
	return false
}

// releaseSlot releases a slot in the batch.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.passSlot()
}

// passSlot passes a slot to the first waiter, or frees it if none is waiting. The
// mutex is held.
func (e *Engine) passSlot() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.ready)
}
