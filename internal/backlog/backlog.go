// Package backlog estimates the work ahead at an engine from lagging reports
// and from what this gateway has sent since.
package backlog

import (
	"math"
	"time"
)

const (
	// othersHalfLife is the age at which half of what a report says of
	// others still counts: by then others have reacted to it as well.
	othersHalfLife = 150 * time.Millisecond
	sampleInterval = 50 * time.Millisecond
	sampleCount    = 64
)

// Backlog is the work at one engine. It is not safe for concurrent use; the
// zero value is an idle engine.
type Backlog struct {
	own      float64
	others   float64
	reported time.Time
	samples  [sampleCount]sample
	newest   int
}

// sample is the own work at the end of an interval.
type sample struct {
	at  time.Time
	own float64
}

// Add counts tokens sent at a time.
func (b *Backlog) Add(now time.Time, tokens float64) { b.change(now, tokens) }

// Finish counts tokens that ended at a time.
func (b *Backlog) Finish(now time.Time, tokens float64) { b.change(now, -tokens) }

func (b *Backlog) change(now time.Time, tokens float64) {
	b.own = max(0, b.own+tokens)
	if now.Sub(b.samples[b.newest].at) >= sampleInterval {
		b.newest = (b.newest + 1) % sampleCount
		b.samples[b.newest].at = now
	}
	b.samples[b.newest].own = b.own
}

// Report takes the engine's own count of unfinished tokens as of a time. The
// part that this gateway had sent by then is known, the rest is others'.
func (b *Backlog) Report(at time.Time, tokens float64) {
	b.others = max(0, tokens-b.ownAt(at))
	b.reported = at
}

// ownAt returns this gateway's work at a time; before the oldest sample it
// is taken to be zero.
func (b *Backlog) ownAt(at time.Time) float64 {
	for i := range sampleCount {
		s := &b.samples[(b.newest-i+sampleCount)%sampleCount]
		if !s.at.After(at) {
			return s.own
		}
	}
	return 0
}

// Outstanding returns the unfinished tokens of this gateway.
func (b *Backlog) Outstanding() float64 { return b.own }

// Ahead returns the estimate of all unfinished tokens. What a report says of
// others counts less as it ages, so that many gateways do not all act on the
// same old report.
func (b *Backlog) Ahead(now time.Time) float64 {
	age := now.Sub(b.reported)
	if b.others == 0 || age <= 0 {
		return b.own + b.others
	}
	return b.own + b.others*math.Exp2(-float64(age)/float64(othersHalfLife))
}
