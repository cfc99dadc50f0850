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
	// defaultConcurrency bounds the running requests of an engine whose
	// target names no bound.
	defaultConcurrency = 64
	tokensPerBlock     = prefix.BlockBytes / 4
	// cacheBlocks bounds the blocks remembered for each engine.
	cacheBlocks = 1024
	// recentBlocks is the size of the table of latest engines by block.
	recentBlocks = 1 << 14
)

// engine is what a gateway knows and has sent of one engine.
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

// take replaces the view.
func (e *engine) take(v *engineview.View, now time.Time) {
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

func (e *engine) hasRoom() bool {
	if !e.view.Reachable || e.view.Leaving || e.requests >= e.concurrency() {
		return false
	}
	return e.view.CreditTokens == 0 || e.backlog.Outstanding() < float64(e.view.CreditTokens)
}

// holds reports whether the items of a lane can run here.
func (e *engine) holds(l *queue.Selector) bool {
	if !e.view.Reachable || l.Exclude != "" && excludes(l.Exclude, e.view.Target) {
		return false
	}
	return l.Adapter == "" || e.view.Adapters[l.Adapter]
}

// takes reports whether a new job of a lane may run here. While jobs wait for
// the engine, its window binds, so that they wait here, in order.
func (a *Assigner) takes(e *engine, l *queue.Selector) bool {
	if !e.hasRoom() || !e.holds(l) {
		return false
	}
	return e.window.Open() || !a.queue.HasWaitingFor(e.models)
}

// version returns the wanted version when it is loaded, else the last in
// order of those that are.
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

func excludes(list, target string) bool {
	for name := range strings.SplitSeq(list, ",") {
		if name == target {
			return true
		}
	}
	return false
}

// replicas are the engines that hold a model.
type replicas struct {
	engines  []*engine
	finished throughput
}

// probe returns the first engine at or after a position that takes the lane,
// other than one, or nil.
func (a *Assigner) probe(r *replicas, at int, l *queue.Selector, other *engine) *engine {
	n := len(r.engines)
	for i := range n {
		e := r.engines[(at+i)%n]
		if e != other && a.takes(e, l) {
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

// recentEngines remembers for block hashes the engine that was sent them
// last, in a table of fixed size.
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

// latest returns the engine of the longest known part of a prompt, or nil.
func (t *recentEngines) latest(hashes prefix.Hashes) *engine {
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if entry := &t.entries[h%recentBlocks]; entry.engine != nil && entry.hash == h {
			return entry.engine
		}
	}
	return nil
}
