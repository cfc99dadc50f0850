// Package engineview keeps what a gateway has been told about engines. All
// of it is a hint; the engine's own answer decides.
package engineview

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/feed/feedpb"
)

// Views holds the views of engines by target name. Its methods may be called
// at the same time.
type Views struct {
	mu      sync.Mutex
	views   map[string]View
	waiters []chan struct{}
}

// View is the last view of one engine.
type View struct {
	// Target is the engine's name, Address where it listens.
	Target  string
	Address netip.AddrPort
	// Concurrency is the configured bound of running requests.
	Concurrency int
	// Loaded holds the weights that are ready.
	Loaded map[Loaded]bool
	// Running, Waiting and QueuedTokens are the reported load.
	Running, Waiting, QueuedTokens int64
	// CreditTokens bounds this gateway's unfinished tokens there.
	CreditTokens int64
	// Reachable is false when the engine did not answer its controller.
	Reachable bool
	// Leaving is true when the target takes no new work.
	Leaving bool
	// Collected is the time of the report.
	Collected time.Time
	// BootID changes when the engine restarts.
	BootID string
}

// Loaded names weights in an engine's memory.
type Loaded struct {
	// Kind is "model" or "adapter".
	Kind string
	// Name and Version name the weights.
	Name, Version string
}

// New returns an empty set of views.
func New() *Views { return &Views{views: map[string]View{}} }

// Update records a batch of views; targets that the catalog does not name
// are dropped.
func (v *Views) Update(c *catalog.Catalog, batch *feedpb.Views) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, view := range batch.GetViews() {
		target, ok := c.Target(view.GetTarget())
		if !ok {
			delete(v.views, view.GetTarget())
			continue
		}
		v.views[view.GetTarget()] = View{
			Target:       view.GetTarget(),
			Address:      target.Address,
			Concurrency:  target.Concurrency,
			Loaded:       loadedOf(view),
			Running:      view.GetRunning(),
			Waiting:      view.GetWaiting(),
			QueuedTokens: view.GetQueuedTokens(),
			CreditTokens: view.GetCreditTokens(),
			Reachable:    view.GetReachable(),
			Leaving:      view.GetLeaving(),
			Collected:    time.UnixMilli(view.GetCollectedUnixMs()),
			BootID:       view.GetBootId(),
		}
	}
	for _, w := range v.waiters {
		close(w)
	}
	v.waiters = nil
}

func loadedOf(view *feedpb.View) map[Loaded]bool {
	loaded := make(map[Loaded]bool, len(view.GetLoaded()))
	for _, w := range view.GetLoaded() {
		loaded[Loaded{Kind: w.GetKind(), Name: w.GetName(), Version: w.GetVersion()}] = true
	}
	return loaded
}

// Holding returns the reachable engines that hold the weights, sorted by
// target name.
func (v *Views) Holding(w *catalog.Weights) []View {
	v.mu.Lock()
	defer v.mu.Unlock()
	var holding []View
	for _, view := range v.views {
		if view.Reachable && !view.Leaving && view.holds(w) {
			holding = append(holding, view)
		}
	}
	slices.SortFunc(holding, func(a, b View) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	return holding
}

func (v *View) holds(w *catalog.Weights) bool {
	if !v.Loaded[Loaded{Kind: "model", Name: w.Model, Version: w.Version}] {
		return false
	}
	if w.Adapter == "" {
		return true
	}
	for l := range v.Loaded {
		if l.Kind == "adapter" && l.Name == w.Adapter {
			return true
		}
	}
	return false
}

// Leaving reports whether a target, engine or plain service, takes no new
// work.
func (v *Views) Leaving(target string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.views[target].Leaving
}

// Changed returns a channel that is closed at the next update.
func (v *Views) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := make(chan struct{})
	v.waiters = append(v.waiters, w)
	return w
}

// All returns every view, sorted by target name, for dumps.
func (v *Views) All() []View {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]View, 0, len(v.views))
	for _, view := range v.views {
		all = append(all, view)
	}
	slices.SortFunc(all, func(a, b View) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	return all
}

// MarshalText returns "kind/name@version" for dumps.
func (l Loaded) MarshalText() ([]byte, error) {
	return []byte(l.Kind + "/" + l.Name + "@" + l.Version), nil
}
