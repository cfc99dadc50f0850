// Package backlog estimates the unfinished work at an engine, in tokens, from
// delayed reports of the engine and from what this gateway has sent since.
package backlog

import (
	"math"
	"time"
)

const (
	// othersHalfLife is the age of a report at which the work of other
	// gateways counts half: by then they have reacted to the report as well.
	othersHalfLife = 150 * time.Millisecond
	sampleInterval = 50 * time.Millisecond
	sampleCount    = 64
)

// Backlog estimates the unfinished tokens at one engine. The zero value is an
// idle engine. It is not safe for concurrent use.
type Backlog struct {
	own        float64
	others     float64
	reportedAt time.Time
	samples    [sampleCount]sample
	newest     int
}

// sample is the number of unfinished tokens of this gateway at the end of an
// interval.
type sample struct {
	at  time.Time
	own float64
}

// Add counts tokens of a request that this gateway has sent.
func (b *Backlog) Add(now time.Time, tokens float64) { b.change(now, tokens) }

// Finish subtracts the tokens of a request of this gateway that has ended.
func (b *Backlog) Finish(now time.Time, tokens float64) { b.change(now, -tokens) }

func (b *Backlog) change(now time.Time, tokens float64) {
	b.own = max(0, b.own+tokens)
	if now.Sub(b.samples[b.newest].at) >= sampleInterval {
		b.newest = (b.newest + 1) % sampleCount
		b.samples[b.newest].at = now
	}
	b.samples[b.newest].own = b.own
}

// Report sets the number of unfinished tokens that the engine counted at the
// given time. What exceeds the outstanding tokens of this gateway at that time
// is attributed to other gateways.
func (b *Backlog) Report(at time.Time, tokens float64) {
	b.others = max(0, tokens-b.ownAt(at))
	b.reportedAt = at
}

// ownAt returns the outstanding tokens of this gateway at a time. It returns
// zero for a time before the oldest sample.
func (b *Backlog) ownAt(at time.Time) float64 {
	for i := range sampleCount {
		s := &b.samples[(b.newest-i+sampleCount)%sampleCount]
		if !s.at.After(at) {
			return s.own
		}
	}
	return 0
}

// Outstanding returns the number of unfinished tokens of this gateway.
func (b *Backlog) Outstanding() float64 { return b.own }

// Ahead returns the estimated number of unfinished tokens of all gateways. The
// share of other gateways decays with the age of the report, so that many
// gateways do not react to the same old report at once.
func (b *Backlog) Ahead(now time.Time) float64 {
	age := now.Sub(b.reportedAt)
	if b.others == 0 || age <= 0 {
		return b.own + b.others
	}
	return b.own + b.others*math.Exp2(-float64(age)/float64(othersHalfLife))
}
