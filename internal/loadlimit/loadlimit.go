// Package loadlimit bounds the loads that a planner may start: the loads per
// second and the concurrent loads, each as a share of the fleet-wide limit.
package loadlimit

import (
	"math"
	"time"
)

// Limiter limits the rate and the concurrency of loads. It performs no I/O and
// is not safe for concurrent use.
type Limiter struct {
	perSecond     float64
	maxConcurrent int
	tokens        float64
	refilled      time.Time
}

// New returns a limiter without limits; call SetLimits to set them.
func New() *Limiter { return &Limiter{tokens: 1, maxConcurrent: math.MaxInt} }

// SetLimits sets the limits to the fleet-wide limits divided by shares. A limit
// of zero means no limit. The share of concurrent loads is at least one, so that
// no shard waits forever.
func (l *Limiter) SetLimits(perSecond float64, maxConcurrent, shares int) {
	l.perSecond = perSecond / float64(max(1, shares))
	l.maxConcurrent = math.MaxInt
	if maxConcurrent > 0 {
		l.maxConcurrent = max(1, maxConcurrent/max(1, shares))
	}
}

// Available returns the number of loads that may start at now while inProgress
// loads are unfinished.
func (l *Limiter) Available(now time.Time, inProgress int) int {
	free := max(0, l.maxConcurrent-inProgress)
	if l.perSecond == 0 {
		return free
	}
	l.refill(now)
	return min(free, int(l.tokens))
}

func (l *Limiter) refill(now time.Time) {
	if !l.refilled.IsZero() {
		l.tokens += now.Sub(l.refilled).Seconds() * l.perSecond
	}
	l.refilled = now
	l.tokens = min(l.tokens, max(1, l.perSecond))
}

// Take records that n loads have started.
func (l *Limiter) Take(n int) {
	if l.perSecond > 0 {
		l.tokens -= float64(n)
	}
}
