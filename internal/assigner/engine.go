package assigner

import (
	"slices"
	"strings"
	"time"

	"fireflypier.example/fireflypier/internal/backlog"
	"fireflypier.example/fireflypier/internal/cacheview"
	"fireflypier.example/fireflypier/internal/congestion"
	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/prefix"
	"fireflypier.example/fireflypier/internal/queue"
)

const (
	// defaultConcurrency is the limit of running requests for a target
	// without a configured limit.
	defaultConcurrency = 64
	// tokensPerBlock assumes 4 bytes per token.
	tokensPerBlock = prefix.BlockBytes / 4
	// cacheBlocks is the number of cached blocks tracked per engine.
	cacheBlocks = 1024
	// recentBlocks is the number of entries in recentEngines.
	recentBlocks = 1 << 14
)

// engine is the state that the gateway keeps about one engine: its last view
// and the requests that this gateway has sent to it.
type engine struct {
	view     engineview.View
	models   []string
	requests int
	backlog  backlog.Backlog
	cache    *cacheview.Cache
	window   *congestion.Window
}

func newEngine() *engine {
	return &engine{cache: cacheview.New(cacheBlocks), window: congestion.New()}
}

// setView replaces the view. The cache estimate and the backlog are updated only
// from the view of a reachable engine.
func (e *engine) setView(v *engineview.View, now time.Time) {
	if v.Reachable {
		e.cache.SetBoot(v.BootID)
		for i := range v.Events {
			e.cache.Apply(v.Events[i].Sequence, v.Events[i].Added, v.Events[i].Removed)
		}
		at := v.Collected
		if at.After(now) {
			at = now
		}
		e.backlog.Report(at, float64(v.QueuedTokens))
	}
	e.view = *v
}

func (e *engine) concurrency() int {
	if e.view.Concurrency == 0 {
		return defaultConcurrency
	}
	return e.view.Concurrency
}

// hasCapacity reports whether e is reachable, not leaving, and below its
// concurrency limit and the credit of this gateway.
func (e *engine) hasCapacity() bool {
	if !e.view.Reachable || e.view.Leaving || e.requests >= e.concurrency() {
		return false
	}
	return e.view.CreditTokens == 0 || e.backlog.Outstanding() < float64(e.view.CreditTokens)
}

// canRun reports whether e may serve the items of a selector whose model it has
// loaded: it is reachable, not excluded, and has the adapter.
func (e *engine) canRun(s *queue.Selector) bool {
	if !e.view.Reachable || s.Exclude != "" && excludes(s.Exclude, e.view.Target) {
		return false
	}
	return s.Adapter == "" || e.view.Adapters[s.Adapter]
}

// accepts reports whether a new job with a selector may be placed on e. While
// jobs are queued for the models of e, its congestion window applies as well, so
// that jobs wait in the ordered queue of the gateway and not at the engine.
func (a *Assigner) accepts(e *engine, s *queue.Selector) bool {
	if !e.hasCapacity() || !e.canRun(s) {
		return false
	}
	return e.window.Open() || !a.queue.HasWaitingFor(e.models)
}

// version returns the wanted version of a model when it is loaded, otherwise the
// loaded version that sorts last, or "" when none is loaded.
func (e *engine) version(model, wanted string) string {
	if e.view.Loaded[engineview.Loaded{Kind: string(object.KindModel), Name: model, Version: wanted}] {
		return wanted
	}
	last := ""
	for l := range e.view.Loaded {
		if l.Kind == string(object.KindModel) && l.Name == model {
			last = max(last, l.Version)
		}
	}
	return last
}

// excludes reports whether a comma-separated list contains target.
func excludes(list, target string) bool {
	for name := range strings.SplitSeq(list, ",") {
		if name == target {
			return true
		}
	}
	return false
}

// replicas holds the engines that have a model loaded, and the throughput of the
// model over all of them.
type replicas struct {
	engines  []*engine
	finished throughput
}

// nextAccepting returns the first engine, starting at index at and wrapping
// around, that is not skipped and accepts a job with the selector, or nil.
func (a *Assigner) nextAccepting(r *replicas, at int, s *queue.Selector, skipped *engine) *engine {
	n := len(r.engines)
	for i := range n {
		e := r.engines[(at+i)%n]
		if e != skipped && a.accepts(e, s) {
			return e
		}
	}
	return nil
}

func (a *Assigner) unindex(e *engine) {
	for _, model := range e.models {
		r := a.byModel[model]
		at := slices.Index(r.engines, e)
		last := len(r.engines) - 1
		r.engines[at] = r.engines[last]
		r.engines[last] = nil
		r.engines = r.engines[:last]
	}
}

func (a *Assigner) index(e *engine) {
	for _, model := range e.models {
		r, ok := a.byModel[model]
		if !ok {
			r = &replicas{}
			a.byModel[model] = r
		}
		r.engines = append(r.engines, e)
	}
}

func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

// recentEngines maps block hashes to the engine that received them last. It is a
// direct-mapped table of fixed size: a colliding hash replaces the entry.
type recentEngines struct {
	entries [recentBlocks]recentEntry
}

type recentEntry struct {
	hash   uint64
	engine *engine
}

func (t *recentEngines) put(hashes prefix.Hashes, e *engine) {
	for _, h := range hashes {
		t.entries[h%recentBlocks] = recentEntry{hash: h, engine: e}
	}
}

// latest returns the engine that last received the longest prefix found in the
// table, or nil.
func (t *recentEngines) latest(hashes prefix.Hashes) *engine {
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if entry := &t.entries[h%recentBlocks]; entry.engine != nil && entry.hash == h {
			return entry.engine
		}
	}
	return nil
}
