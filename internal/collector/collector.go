// Package collector reads the reports of engines and publishes them as views.
package collector

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc/pool"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/feed"
	"fireflypier.example/fireflypier/internal/feed/feedpb"
	"fireflypier.example/fireflypier/internal/object"
)

const maxAtOnce = 16

// EngineClient reads reports; engine.Client implements it.
type EngineClient interface {
	// Report returns an engine's state; see engine.Client.
	Report(ctx context.Context, addr netip.AddrPort, after int64) (*engine.Report, error)
}

// Collector collects the reports of the engines given to it.
type Collector struct {
	engines   EngineClient
	publisher *feed.Publisher
	clock     clockwork.Clock
	logger    hclog.Logger
	interval  time.Duration
	targets   func() map[string]object.Target
	done      chan struct{}

	mu      sync.Mutex
	reports map[string]LastReport
}

// LastReport is the last report of an engine.
type LastReport struct {
	// Report is nil until the engine has answered.
	Report *engine.Report `json:"report"`
	// At is when the report was asked for.
	At time.Time `json:"at"`
	// Reachable is false when the last call failed.
	Reachable bool `json:"reachable"`

	sequence int64
}

// New returns a collector that asks targets which engines to read, once each
// interval.
func New(engines EngineClient, publisher *feed.Publisher, targets func() map[string]object.Target, interval time.Duration, clock clockwork.Clock, logger hclog.Logger) *Collector {
	return &Collector{
		engines: engines, publisher: publisher, targets: targets, interval: interval,
		clock: clock, logger: logger, done: make(chan struct{}), reports: map[string]LastReport{},
	}
}

// Run collects until ctx ends. It may be called once.
func (c *Collector) Run(ctx context.Context) {
	defer close(c.done)
	ticker := c.clock.NewTicker(c.interval)
	defer ticker.Stop()
	for {
		c.collectAll(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed when Run has returned.
func (c *Collector) Done() <-chan struct{} { return c.done }

// Reports returns the last report of each engine.
func (c *Collector) Reports() map[string]LastReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.reports)
}

func (c *Collector) collectAll(ctx context.Context) {
	targets := c.targets()
	c.forgetOthers(targets)
	workers := pool.New().WithMaxGoroutines(maxAtOnce)
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		workers.Go(func() { c.collect(ctx, name, targets[name].Address) })
	}
	workers.Wait()
}

func (c *Collector) forgetOthers(targets map[string]object.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.reports {
		if _, ok := targets[name]; !ok {
			delete(c.reports, name)
			c.publisher.Remove(name)
		}
	}
}

func (c *Collector) collect(ctx context.Context, name string, addr netip.AddrPort) {
	c.mu.Lock()
	last := c.reports[name]
	c.mu.Unlock()
	at := c.clock.Now()
	report, err := c.engines.Report(ctx, addr, last.sequence)
	if err != nil {
		c.logger.Debug("report not read", "target", name, "error", err)
		last.Reachable = false
		c.keep(name, last)
		c.publisher.Publish(&feedpb.View{Target: name, CollectedUnixMs: at.UnixMilli()})
		return
	}
	next := LastReport{Report: report, At: at, Reachable: true, sequence: last.sequence}
	for _, event := range report.Events {
		next.sequence = max(next.sequence, event.Sequence)
	}
	c.keep(name, next)
	c.publisher.Publish(viewOf(name, report, at))
}

func (c *Collector) keep(name string, collected LastReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[name] = collected
}

func viewOf(name string, r *engine.Report, at time.Time) *feedpb.View {
	view := &feedpb.View{
		Target:          name,
		BootId:          r.BootID,
		Running:         int64(r.Running),
		Waiting:         int64(r.Waiting),
		QueuedTokens:    int64(r.QueuedTokens),
		CollectedUnixMs: at.UnixMilli(),
		Reachable:       true,
	}
	for _, e := range r.Entries {
		if e.State == engine.Loaded {
			view.Loaded = append(view.Loaded, &feedpb.Weights{Kind: string(e.Kind), Name: e.Name, Version: e.Version})
		}
	}
	for _, e := range r.Events {
		view.Events = append(view.Events, &feedpb.CacheEvent{Sequence: e.Sequence, Added: e.Added, Removed: e.Removed})
	}
	return view
}
