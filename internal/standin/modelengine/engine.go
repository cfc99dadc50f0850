// Package modelengine is a stand-in for a model engine: continuous batching
// with a simple timing model, a bounded prefix cache, priorities, resumable
// streams, lagging reports, and orders with or without a fencing check.
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

// maxCarried is the number of order ids that a report lists.
const maxCarried = 256

// Ran records one generation that the engine began.
type Ran struct {
	// AttemptID, Model and Tokens tell what ran and how much of it.
	AttemptID string `json:"attempt_id"`
	Model     string `json:"model"`
	Tokens    int    `json:"tokens"`
	// Finished is false while it runs and after a cancel.
	Finished bool `json:"finished"`
}

// Engine is a stand-in model engine. Its methods may be called at the same
// time.
type Engine struct {
	cfg     Config
	clock   clockwork.Clock
	weights WeightStore

	mu      sync.Mutex
	bootID  string
	memory  memory
	cache   *cache
	fault   Fault
	fencing int64
	role    string
	running int
	tokens  int
	waiting []*waiter
	cancels map[string]context.CancelFunc
	ran     []*Ran
	history []timedReport
	loads   sync.WaitGroup
	// sequence counts the states remembered, carried the orders' ids.
	sequence int64
	carried  []string
}

type waiter struct {
	priority int
	ready    chan struct{}
}

type timedReport struct {
	at     time.Time
	report engine.Report
}

// New returns an engine with empty memory.
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

// SetFault replaces the engine's faults.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Ran returns what the engine ran, in order.
func (e *Engine) Ran() []Ran {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Ran, len(e.ran))
	for i, r := range e.ran {
		list[i] = *r
	}
	return list
}

// Order carries out o. It reports false when the fencing number is old.
func (e *Engine) Order(o *engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.Fencing < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.carried = append(e.carried, o.OrderID)
	e.carried = e.carried[max(0, len(e.carried)-maxCarried):]
	switch o.Action {
	case engine.Load:
		e.load(o)
	case engine.Unload:
		e.unload(o)
	case engine.Role:
		e.role = o.Role
	}
	e.remember()
	return true
}

// unload stops serving the weights at once and frees their memory after the
// configured time. The mutex is held.
func (e *Engine) unload(o *engine.Order) {
	if e.cfg.UnloadTime == 0 {
		e.memory.remove(o)
		return
	}
	e.memory.retire(o)
	e.clock.AfterFunc(e.cfg.UnloadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.memory.removeRetired(o)
		e.remember()
	})
}

// load reserves the memory and starts fetching the weights. The mutex is
// held.
func (e *Engine) load(o *engine.Order) {
	if !e.memory.add(o) {
		return
	}
	e.loads.Go(func() {
		if err := e.weights.Load(context.Background(), o.Kind, o.Name, o.MemoryBytes); err != nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.memory.remove(o)
			e.remember()
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.memory.loaded(o)
		e.remember()
	})
}

// Report returns the state as it was the configured lag ago.
func (e *Engine) Report(after int64) engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remember()
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

// remember keeps the present state for lagging reports. The mutex is held.
func (e *Engine) remember() {
	now := e.clock.Now()
	until := now.Add(-e.cfg.ReportLag)
	e.sequence++
	e.history = append(e.history, timedReport{at: now, report: e.current()})
	for len(e.history) > 1 && !e.history[1].at.After(until) {
		e.history = e.history[1:]
	}
}

func (e *Engine) current() engine.Report {
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
		ExecutedOrders: slices.Clone(e.carried),
		Role:           e.role,
		Violations:     e.memory.violations,
	}
}

// hasWeights reports whether a request can run. The mutex is held.
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

// enter waits for a place in the batch; it reports false when ctx ends.
func (e *Engine) enter(ctx context.Context, priority int) bool {
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
		return e.abandon(w)
	}
}

// abandon takes w out of the waiting list; when its turn had come meanwhile,
// the place goes to the next.
func (e *Engine) abandon(w *waiter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.waiting, w); at >= 0 {
		e.waiting = slices.Delete(e.waiting, at, at+1)
		return false
	}
	e.pass()
	return false
}

// leave gives the place in the batch to the first waiter.
func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pass()
}

// pass hands a place on. The mutex is held.
func (e *Engine) pass() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.ready)
}
