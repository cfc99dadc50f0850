// Package retrybudget bounds how often this VM sends requests a second time,
// so that all VMs together stay within the operators' bound. It has no input
// or output.
package retrybudget

import "time"

const (
	// usedRatio and usedSlack are the parts of the operators' ratio and slack
	// that are given out; the rest covers restarts, which forget what was
	// used, and requests that a window counts at another VM.
	usedRatio = 0.75
	usedSlack = 0.5
	// steps is the number of parts of a window that are counted separately.
	steps = 20
)

// Bound is the operators' bound over all VMs: within a window, a pool may get
// Ratio repeats for each request and Slack repeats besides.
type Bound struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Budget counts requests and repeats by pool. It is not safe for concurrent
// use.
type Budget struct {
	bound Bound
	start time.Time
	pools map[string]*window
}

// window holds the counts of the last steps.
type window struct {
	requests, repeats [steps]float64
	last              int64
}

// New returns a budget that has counted nothing.
func New(b Bound) *Budget {
	return &Budget{bound: b, pools: make(map[string]*window)}
}

// SetBound replaces the bound; the counts begin anew.
func (b *Budget) SetBound(bound Bound) {
	b.bound = bound
	b.pools = make(map[string]*window)
}

// RecordRequest counts a request for a pool.
func (b *Budget) RecordRequest(pool string, now time.Time) {
	w := b.window(pool, now)
	w.requests[w.last%steps]++
}

// Take reports whether one more repeat is allowed among a number of VMs, and
// counts it.
func (b *Budget) Take(pool string, vms int, now time.Time) bool {
	w := b.window(pool, now)
	requests, repeats := sum(&w.requests), sum(&w.repeats)
	allowed := usedRatio*b.bound.Ratio*requests + usedSlack*b.bound.Slack/float64(max(1, vms))
	if repeats+1 > allowed {
		return false
	}
	w.repeats[w.last%steps]++
	return true
}

func (b *Budget) window(pool string, now time.Time) *window {
	if b.start.IsZero() {
		b.start = now
	}
	step := int64(now.Sub(b.start) / (b.bound.Window / steps))
	w := b.pools[pool]
	if w == nil {
		w = &window{last: step}
		b.pools[pool] = w
	}
	for ; w.last < step; w.last++ {
		if step-w.last > steps {
			*w = window{last: step}
			break
		}
		w.requests[(w.last+1)%steps], w.repeats[(w.last+1)%steps] = 0, 0
	}
	return w
}

func sum(counts *[steps]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}
