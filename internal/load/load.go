// Package load puts a workload on gateways as callers do, and measures what
// the callers see. Arrivals are open-loop: a slow answer delays no other
// request, and times count from the arrival that the workload gives.
package load

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/workload"
	"fireflypier.example/fireflypier/pkg/caller"
)

// Generator is one run of a workload.
type Generator struct {
	work     *workload.Workload
	callers  map[string]*caller.Caller
	progress func(sent, done int)

	mu      sync.Mutex
	buckets map[string]*bucket
	done    []outcome
	sent    int
}

// outcome is what became of a call.
type outcome struct {
	call     *workload.Call
	status   int
	code     string
	notRun   bool
	inRate   bool
	refusals int
	first    time.Duration
	end      time.Duration
	gaps     []time.Duration
	whole    bool
}

// New returns a generator of w on the gateways at the addresses. progress, when
// not nil, is called about once a second.
func New(w *workload.Workload, gateways []netip.AddrPort, progress func(sent, done int)) *Generator {
	g := &Generator{work: w, callers: map[string]*caller.Caller{}, progress: progress, buckets: map[string]*bucket{}}
	for name, c := range w.Customers {
		g.callers[name] = caller.New(gateways, caller.WithKey(c.Key), caller.WithDataCentre(c.DataCentre))
		g.buckets[name] = newBucket(c.TokensPerSecond, c.BurstTokens)
	}
	return g
}

// Run sends every call at its time, waits for the answers and returns the
// result. When ctx ends, no further call is sent.
func (g *Generator) Run(ctx context.Context) *Result {
	calls := g.work.Calls()
	start := time.Now()
	var wg conc.WaitGroup
	stop := g.reportProgress()
	for i := range calls {
		if !sleepUntil(ctx, start.Add(calls[i].At)) {
			break
		}
		g.mu.Lock()
		g.sent++
		g.mu.Unlock()
		wg.Go(func() { g.run(ctx, start, &calls[i]) })
	}
	wg.Wait()
	stop()
	return newResult(g.work, g.done, time.Since(start))
}

func (g *Generator) run(ctx context.Context, start time.Time, c *workload.Call) {
	arrival := start.Add(c.At)
	ctx, cancel := context.WithDeadline(ctx, arrival.Add(g.work.Timeout))
	defer cancel()
	o := outcome{call: c}
	for {
		refused := g.attempt(ctx, c, arrival, &o)
		if refused <= 0 || o.refusals >= g.work.Retries || !sleepUntil(ctx, time.Now().Add(refused)) {
			break
		}
		o.refusals++
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = append(g.done, o)
}

// attempt sends a call once. It returns when to come back after a refusal
// that did not run, else zero.
func (g *Generator) attempt(ctx context.Context, c *workload.Call, arrival time.Time, o *outcome) time.Duration {
	cost := c.Cost()
	o.inRate = g.bucket(c).take(time.Now(), cost)
	retryAfter := send(ctx, g.callers[c.Stream.Customer], c, arrival, o)
	if o.notRun {
		g.bucket(c).giveBack(cost)
	}
	return retryAfter
}

func (g *Generator) bucket(c *workload.Call) *bucket { return g.buckets[c.Stream.Customer] }

// reportProgress calls progress until the function that it returns is called.
func (g *Generator) reportProgress() (stop func()) {
	if g.progress == nil {
		return func() {}
	}
	ended := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				g.mu.Lock()
				sent, done := g.sent, len(g.done)
				g.mu.Unlock()
				g.progress(sent, done)
			case <-ended:
				return
			}
		}
	})
	return func() {
		close(ended)
		wg.Wait()
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
