package assigner

import "time"

const (
	throughputWindow    = time.Second
	throughputExpiry    = 30 * time.Second
	throughputSmoothing = 0.3
)

// throughput is an exponentially weighted moving average of the tokens finished
// per second.
type throughput struct {
	start  time.Time
	tokens float64
	rate   float64
}

// add counts finished tokens. The average is updated once per
// throughputWindow, and restarted when the last update is older than
// throughputExpiry.
func (t *throughput) add(now time.Time, tokens float64) {
	if t.start.IsZero() || now.Sub(t.start) > throughputExpiry {
		*t = throughput{start: now}
		return
	}
	t.tokens += tokens
	elapsed := now.Sub(t.start)
	if elapsed < throughputWindow {
		return
	}
	rate := t.tokens / elapsed.Seconds()
	if t.rate == 0 {
		t.rate = rate
	}
	t.rate += throughputSmoothing * (rate - t.rate)
	t.start = now
	t.tokens = 0
}

// perSecond returns the average, or zero when it was last updated more than
// throughputExpiry ago.
func (t *throughput) perSecond(now time.Time) float64 {
	if now.Sub(t.start) > throughputExpiry {
		return 0
	}
	return t.rate
}
