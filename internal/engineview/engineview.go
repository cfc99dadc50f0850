// Package engineview keeps what a gateway has been told about engines. All
// of it is a hint; the engine's own answer decides.
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

// Views holds the views of engines by target name. Its methods may be called
// at the same time.
type Views struct {
	mu       sync.Mutex
	views    map[string]View
	onUpdate []func([]View)
}

// View is the last view of one engine.
type View struct {
	// Target is the engine's name, Address where it listens.
	Target  string
	Address netip.AddrPort
	// DataCentre is where the engine's VM is.
	DataCentre string
	// Concurrency is the configured bound of running requests.
	Concurrency int
	// Loaded holds the weights that are ready.
	Loaded map[Loaded]bool
	// Adapters holds the names of the loaded adapters.
	Adapters map[string]bool `json:"-"`
	// Events are the cache events that came with this view.
	Events []CacheEvent `json:"-"`
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

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence numbers the events of one boot without gaps.
	Sequence int64
	// Added and Removed are block hashes.
	Added, Removed []uint64
}

// New returns an empty set of views.
func New() *Views { return &Views{views: map[string]View{}} }

// OnUpdate makes f receive the views of each batch, in the order of the
// batches. An engine that the catalog no longer names comes as unreachable.
// Call it before the first Update.
func (v *Views) OnUpdate(f func([]View)) { v.onUpdate = append(v.onUpdate, f) }

// Update records a batch of views; targets that the catalog does not name
// are dropped.
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
		next := viewOf(view, &target)
		changed = append(changed, next)
		next.Events = nil
		v.views[next.Target] = next
	}
	for _, f := range v.onUpdate {
		f(changed)
	}
}

func viewOf(view *feedpb.View, target *object.Target) View {
	next := View{
		Target:       view.GetTarget(),
		Address:      target.Address,
		DataCentre:   target.DataCentre,
		Concurrency:  target.Concurrency,
		Loaded:       loadedOf(view),
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

func loadedOf(view *feedpb.View) map[Loaded]bool {
	loaded := make(map[Loaded]bool, len(view.GetLoaded()))
	for _, w := range view.GetLoaded() {
		loaded[Loaded{Kind: w.GetKind(), Name: w.GetName(), Version: w.GetVersion()}] = true
	}
	return loaded
}

// Leaving reports whether a target, engine or plain service, takes no new
// work.
func (v *Views) Leaving(target string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.views[target].Leaving
}

// All returns every view, sorted by target name, for dumps.
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

// MarshalText returns "kind/name@version" for dumps.
func (l Loaded) MarshalText() ([]byte, error) {
	return []byte(l.Kind + "/" + l.Name + "@" + l.Version), nil
}
