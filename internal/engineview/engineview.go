// Package engineview stores, at a gateway, the last state of each engine that
// controllers have reported. The state may be out of date; an engine can still
// refuse a request that is sent to it.
package engineview

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/feed/feedpb"
	"fireflypier.example/fireflypier/internal/object"
)

// Views holds the last view of each engine by target name. It is safe for
// concurrent use.
type Views struct {
	mu       sync.Mutex
	views    map[string]View
	onUpdate []func([]View)
}

// View is the state of one engine at the time Collected.
type View struct {
	// Target is the name of the engine, Address its network address.
	Target  string
	Address netip.AddrPort
	// DataCentre is the data centre of the engine's VM.
	DataCentre string
	// Concurrency is the configured limit of running requests; zero means that
	// none is configured.
	Concurrency int
	// Loaded holds the weights that are ready to serve.
	Loaded map[Loaded]bool
	// Adapters holds the names of the loaded adapters.
	Adapters map[string]bool `json:"-"`
	// Events are the prefix cache events reported with this view.
	Events []CacheEvent `json:"-"`
	// Running and Waiting are the requests at the engine, QueuedTokens the
	// unfinished tokens, as reported.
	Running, Waiting, QueuedTokens int64
	// CreditTokens is the limit of the unfinished tokens of this gateway at the
	// engine; zero means no limit.
	CreditTokens int64
	// Reachable is false when the engine did not respond to its controller.
	Reachable bool
	// Leaving is true when the target accepts no new work.
	Leaving bool
	// Collected is the time of the report. It is zero in the view of a target
	// that is no longer configured.
	Collected time.Time
	// BootID changes when the engine restarts.
	BootID string
}

// Loaded identifies weights in the memory of an engine.
type Loaded struct {
	// Kind is "model" or "adapter".
	Kind string
	// Name and Version identify the weights.
	Name, Version string
}

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence numbers the events since the engine started, without gaps.
	Sequence int64
	// Added and Removed are the hashes of the affected blocks.
	Added, Removed []uint64
}

// New returns a Views without engines.
func New() *Views { return &Views{views: map[string]View{}} }

// OnUpdate registers f to be called with the views of each batch, in the order
// of the batches. A target that is no longer in the catalog is passed as a view
// with only Target set. OnUpdate must be called before the first Update, and f
// must not call methods of Views.
func (v *Views) OnUpdate(f func([]View)) { v.onUpdate = append(v.onUpdate, f) }

// Update stores a batch of views and calls the functions registered by OnUpdate.
// Targets that are not in the catalog are removed.
func (v *Views) Update(c *catalog.Catalog, batch *feedpb.Views) {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := make([]View, 0, len(batch.GetViews()))
	for _, view := range batch.GetViews() {
		target, ok := c.Target(view.GetTarget())
		if !ok {
			delete(v.views, view.GetTarget())
			changed = append(changed, View{Target: view.GetTarget()})
			continue
		}
		next := newView(view, &target)
		changed = append(changed, next)
		next.Events = nil
		v.views[next.Target] = next
	}
	for _, f := range v.onUpdate {
		f(changed)
	}
}

func newView(view *feedpb.View, target *object.Target) View {
	next := View{
		Target:       view.GetTarget(),
		Address:      target.Address,
		DataCentre:   target.DataCentre,
		Concurrency:  target.Concurrency,
		Loaded:       loadedWeights(view),
		Adapters:     map[string]bool{},
		Running:      view.GetRunning(),
		Waiting:      view.GetWaiting(),
		QueuedTokens: view.GetQueuedTokens(),
		CreditTokens: view.GetCreditTokens(),
		Reachable:    view.GetReachable(),
		Leaving:      view.GetLeaving(),
		Collected:    time.UnixMilli(view.GetCollectedUnixMs()),
		BootID:       view.GetBootId(),
	}
	for l := range next.Loaded {
		if l.Kind == string(object.KindAdapter) {
			next.Adapters[l.Name] = true
		}
	}
	for _, e := range view.GetEvents() {
		next.Events = append(next.Events, CacheEvent{Sequence: e.GetSequence(), Added: e.GetAdded(), Removed: e.GetRemoved()})
	}
	return next
}

func loadedWeights(view *feedpb.View) map[Loaded]bool {
	loaded := make(map[Loaded]bool, len(view.GetLoaded()))
	for _, w := range view.GetLoaded() {
		loaded[Loaded{Kind: w.GetKind(), Name: w.GetName(), Version: w.GetVersion()}] = true
	}
	return loaded
}

// Leaving reports whether a target, engine or plain service, accepts no new
// work. It returns false for an unknown target.
func (v *Views) Leaving(target string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.views[target].Leaving
}

// All returns all views, sorted by target name, for dumps.
func (v *Views) All() []View {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]View, 0, len(v.views))
	for _, view := range v.views {
		all = append(all, view)
	}
	slices.SortFunc(all, func(a, b View) int { return strings.Compare(a.Target, b.Target) })
	return all
}

// MarshalText returns "kind/name@version", the key of Loaded in dumps.
func (l Loaded) MarshalText() ([]byte, error) {
	return []byte(l.Kind + "/" + l.Name + "@" + l.Version), nil
}
