// Package load is a load generator: it sends the requests of a workload to
// gateways and measures the responses that callers receive. Arrivals are
// open-loop: a slow response delays no other request, and latencies count from
// the arrival time in the workload.
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

// Generator sends the requests of one workload once.
type Generator struct {
	work     *workload.Workload
	callers  map[string]*caller.Caller
	progress func(sent, done int)

	mu       sync.Mutex
	buckets  map[string]*bucket
	outcomes []outcome
	sent     int
}

// outcome is the result of a call after its retries. The times first, to the first
// token or to the end of a plain response, and end count from the arrival; gaps are
// the times between tokens.
type outcome struct {
	call       *workload.Call
	status     int
	code       string
	notRun     bool
	insideRate bool
	retries    int
	first      time.Duration
	end        time.Duration
	gaps       []time.Duration
	complete   bool
}

// New returns a Generator that sends w to the gateways at the addresses. If
// progress is not nil, it is called about once a second with the numbers of
// requests sent and finished.
func New(w *workload.Workload, gateways []netip.AddrPort, progress func(sent, done int)) *Generator {
	g := &Generator{work: w, callers: map[string]*caller.Caller{}, progress: progress, buckets: map[string]*bucket{}}
	for name, c := range w.Customers {
		g.callers[name] = caller.New(gateways, caller.WithKey(c.Key), caller.WithDataCentre(c.DataCentre))
		g.buckets[name] = newBucket(c.TokensPerSecond, c.BurstTokens)
	}
	return g
}

// Run sends every call at its arrival time, waits for the responses and returns
// the result. After ctx is done it sends no further call. Run may be called
// only once.
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
		wg.Go(func() { g.runCall(ctx, start, &calls[i]) })
	}
	wg.Wait()
	stop()
	return newResult(g.work, g.outcomes, time.Since(start))
}

func (g *Generator) runCall(ctx context.Context, start time.Time, c *workload.Call) {
	arrival := start.Add(c.At)
	ctx, cancel := context.WithDeadline(ctx, arrival.Add(g.work.Timeout))
	defer cancel()
	o := outcome{call: c}
	for {
		retryAfter := g.attempt(ctx, c, arrival, &o)
		if retryAfter <= 0 || o.retries >= g.work.Retries || !sleepUntil(ctx, time.Now().Add(retryAfter)) {
			break
		}
		o.retries++
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes = append(g.outcomes, o)
}

// attempt sends a call once and refunds its tokens if it did not run. It returns
// the delay before the next attempt, or zero if the call must not be retried.
func (g *Generator) attempt(ctx context.Context, c *workload.Call, arrival time.Time, o *outcome) time.Duration {
	cost := c.Cost()
	o.insideRate = g.bucket(c).take(time.Now(), cost)
	retryAfter := send(ctx, g.callers[c.Stream.Customer], c, arrival, o)
	if o.notRun {
		g.bucket(c).refund(cost)
	}
	return retryAfter
}

func (g *Generator) bucket(c *workload.Call) *bucket { return g.buckets[c.Stream.Customer] }

// reportProgress calls progress once a second until stop is called.
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
				sent, done := g.sent, len(g.outcomes)
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

// sleepUntil reports whether the time was reached before ctx was done.
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
