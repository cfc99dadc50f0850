// Package loadlimit bounds the loads that a planner may begin: a number a second
// and a number at once, each a part of the fleet's limit.
package loadlimit

import (
	"math"
	"time"
)

// Limiter hands out loads. It has no input or output and belongs to one
// goroutine.
type Limiter struct {
	perSecond float64
	atOnce    int
	tokens    float64
	refilled  time.Time
}

// New returns a permit without limits; call SetLimits.
func New() *Limiter { return &Limiter{tokens: 1, atOnce: math.MaxInt} }

// SetLimits replaces the limits by one of shares equal parts of the fleet's.
// A limit of zero means no limit. A part of the loads at once is at least
// one, so that no shard waits for ever.
func (p *Limiter) SetLimits(perSecond float64, atOnce, shares int) {
	p.perSecond = perSecond / float64(max(1, shares))
	p.atOnce = math.MaxInt
	if atOnce > 0 {
		p.atOnce = max(1, atOnce/max(1, shares))
	}
}

// Available returns the loads that may begin at the time now, while underWay
// are not finished.
func (p *Limiter) Available(now time.Time, underWay int) int {
	room := max(0, p.atOnce-underWay)
	if p.perSecond == 0 {
		return room
	}
	p.refill(now)
	return min(room, int(p.tokens))
}

func (p *Limiter) refill(now time.Time) {
	if !p.refilled.IsZero() {
		p.tokens += now.Sub(p.refilled).Seconds() * p.perSecond
	}
	p.refilled = now
	p.tokens = min(p.tokens, max(1, p.perSecond))
}

// Take records that n loads have begun.
func (p *Limiter) Take(n int) {
	if p.perSecond > 0 {
		p.tokens -= float64(n)
	}
}
