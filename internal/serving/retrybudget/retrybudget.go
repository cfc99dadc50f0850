// Package retrybudget limits how often this VM retries requests, so that all
// VMs together stay within the operators' bound. It performs no I/O.
package retrybudget

import "time"

const (
	// usedRatio and usedSlack are the fractions of the operators' ratio and
	// slack that VMs use. The rest covers restarts, which reset the counts,
	// and requests that are counted at another VM.
	usedRatio = 0.75
	usedSlack = 0.5
	// steps is the number of equal steps of the sliding window, each with its
	// own counts.
	steps = 20
)

// Bound is the operators' bound over all VMs: within a window, a pool may get
// Ratio retries for each request, plus Slack retries.
type Bound struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Budget counts requests and retries by pool in a sliding window. It is not safe
// for concurrent use.
type Budget struct {
	bound Bound
	start time.Time
	pools map[string]*window
}

// window holds the counts of one pool in ring buffers. last is the number of the
// current step.
type window struct {
	requests, retries [steps]float64
	last              int64
}

// New returns a budget whose counts are zero.
func New(b Bound) *Budget {
	return &Budget{bound: b, pools: make(map[string]*window)}
}

// SetBound replaces the bound and resets the counts.
func (b *Budget) SetBound(bound Bound) {
	b.bound = bound
	b.pools = make(map[string]*window)
}

// RecordRequest counts a request for a pool, which increases the number of
// retries allowed to that pool.
func (b *Budget) RecordRequest(pool string, now time.Time) {
	w := b.window(pool, now)
	w.requests[w.last%steps]++
}

// Take reports whether one more retry is allowed, and counts it if so. vms is
// the number of VMs that share the slack.
func (b *Budget) Take(pool string, vms int, now time.Time) bool {
	w := b.window(pool, now)
	requests, retries := sum(&w.requests), sum(&w.retries)
	allowed := usedRatio*b.bound.Ratio*requests + usedSlack*b.bound.Slack/float64(max(1, vms))
	if retries+1 > allowed {
		return false
	}
	w.retries[w.last%steps]++
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
		w.requests[(w.last+1)%steps], w.retries[(w.last+1)%steps] = 0, 0
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
