// Package collector polls the reports of engines and publishes them as views.
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

// maxConcurrentReports limits the engines that are polled concurrently.
const maxConcurrentReports = 16

// EngineClient reads the reports of engines. engine.Client implements it.
type EngineClient interface {
	// Report returns the report of the engine at addr; see engine.Client.
	Report(ctx context.Context, addr netip.AddrPort, after int64) (*engine.Report, error)
}

// Collector polls the reports of a set of engines.
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
	// At is the time at which the report was requested.
	At time.Time `json:"at"`
	// Reachable is false if the last request failed.
	Reachable bool `json:"reachable"`

	sequence int64
}

// New returns a collector that polls the engines returned by targets once per
// interval.
func New(engines EngineClient, publisher *feed.Publisher, targets func() map[string]object.Target, interval time.Duration, clock clockwork.Clock, logger hclog.Logger) *Collector {
	return &Collector{
		engines: engines, publisher: publisher, targets: targets, interval: interval,
		clock: clock, logger: logger, done: make(chan struct{}), reports: map[string]LastReport{},
	}
}

// Run polls until ctx is done. It must be called at most once.
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

// Done returns a channel that is closed when Run returns.
func (c *Collector) Done() <-chan struct{} { return c.done }

// Reports returns the last report of each engine.
func (c *Collector) Reports() map[string]LastReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.reports)
}

func (c *Collector) collectAll(ctx context.Context) {
	targets := c.targets()
	c.removeUnlisted(targets)
	workers := pool.New().WithMaxGoroutines(maxConcurrentReports)
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		workers.Go(func() { c.collect(ctx, name, targets[name].Address) })
	}
	workers.Wait()
}

func (c *Collector) removeUnlisted(targets map[string]object.Target) {
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
		c.logger.Debug("failed to read engine report", "target", name, "error", err)
		last.Reachable = false
		c.store(name, last)
		c.publisher.Publish(&feedpb.View{Target: name, CollectedUnixMs: at.UnixMilli()})
		return
	}
	next := LastReport{Report: report, At: at, Reachable: true, sequence: last.sequence}
	for _, event := range report.Events {
		next.sequence = max(next.sequence, event.Sequence)
	}
	c.store(name, next)
	c.publisher.Publish(viewOf(name, report, at))
}

func (c *Collector) store(name string, report LastReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[name] = report
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
