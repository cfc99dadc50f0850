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

// Load is one run of a workload.
type Load struct {
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

// New returns a load of w on the gateways at the addresses. progress, when
// not nil, is called about once a second.
func New(w *workload.Workload, gateways []netip.AddrPort, progress func(sent, done int)) *Load {
	l := &Load{work: w, callers: map[string]*caller.Caller{}, progress: progress, buckets: map[string]*bucket{}}
	for name, c := range w.Customers {
		l.callers[name] = caller.New(gateways, caller.WithKey(c.Key), caller.WithDataCentre(c.DataCentre))
		l.buckets[name] = newBucket(c.TokensPerSecond, c.BurstTokens)
	}
	return l
}

// Run sends every call at its time, waits for the answers and returns the
// result. When ctx ends, no further call is sent.
func (l *Load) Run(ctx context.Context) *Result {
	calls := l.work.Calls()
	start := time.Now()
	var wg conc.WaitGroup
	stop := l.reportProgress()
	for i := range calls {
		if !sleepUntil(ctx, start.Add(calls[i].At)) {
			break
		}
		l.mu.Lock()
		l.sent++
		l.mu.Unlock()
		wg.Go(func() { l.run(ctx, start, &calls[i]) })
	}
	wg.Wait()
	stop()
	return newResult(l.work, l.done, time.Since(start))
}

func (l *Load) run(ctx context.Context, start time.Time, c *workload.Call) {
	arrival := start.Add(c.At)
	ctx, cancel := context.WithDeadline(ctx, arrival.Add(l.work.Timeout))
	defer cancel()
	o := outcome{call: c}
	for {
		refused := l.attempt(ctx, c, arrival, &o)
		if refused <= 0 || o.refusals >= l.work.Retries || !sleepUntil(ctx, time.Now().Add(refused)) {
			break
		}
		o.refusals++
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = append(l.done, o)
}

// attempt sends a call once. It returns when to come back after a refusal
// that did not run, else zero.
func (l *Load) attempt(ctx context.Context, c *workload.Call, arrival time.Time, o *outcome) time.Duration {
	cost := c.Cost()
	o.inRate = l.bucket(c).take(time.Now(), cost)
	retryAfter := send(ctx, l.callers[c.Stream.Customer], c, arrival, o)
	if o.notRun {
		l.bucket(c).giveBack(cost)
	}
	return retryAfter
}

func (l *Load) bucket(c *workload.Call) *bucket { return l.buckets[c.Stream.Customer] }

// reportProgress calls progress until the function that it returns is called.
func (l *Load) reportProgress() (stop func()) {
	if l.progress == nil {
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
				l.mu.Lock()
				sent, done := l.sent, len(l.done)
				l.mu.Unlock()
				l.progress(sent, done)
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
