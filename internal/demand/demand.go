// Package demand estimates how much work arrives for each model and adapter.
package demand

import (
	"maps"
	"math"
	"time"
)

const (
	// fastTimeConstant follows a rush, slowTimeConstant remembers it.
	fastTimeConstant = 45 * time.Second
	slowTimeConstant = 8 * time.Minute
	// waitingTTL is how long a gateway's waiting requests count.
	waitingTTL = 10 * time.Second
	// idleBelow is the rate in tokens a second that counts as nothing.
	idleBelow = 1e-3
)

// Estimator holds the estimates. It has no input or output and belongs to one
// goroutine.
type Estimator struct {
	started time.Time
	names   map[string]*estimate
}

// Level is the estimate for one model or adapter.
type Level struct {
	// TokensPerSecond is the work that arrives.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Waiting counts the requests that wait for weights, over all gateways.
	Waiting int `json:"waiting,omitzero"`
}

type estimate struct {
	fast, slow float64
	at         time.Time
	waiting    map[string]waiting
}

type waiting struct {
	requests int
	at       time.Time
}

// New returns a demand without estimates.
func New() *Estimator { return &Estimator{names: map[string]*estimate{}} }

// Add records that a gateway has received tokens of work for a name since its
// last message, and how many requests wait there.
func (d *Estimator) Add(gateway, name string, tokens float64, requests int, now time.Time) {
	if d.started.IsZero() {
		d.started = now
	}
	e, ok := d.names[name]
	if !ok {
		e = &estimate{at: now, waiting: map[string]waiting{}}
		d.names[name] = e
	}
	e.decay(now)
	e.fast += tokens / fastTimeConstant.Seconds()
	e.slow += tokens / slowTimeConstant.Seconds()
	if requests == 0 {
		delete(e.waiting, gateway)
		return
	}
	e.waiting[gateway] = waiting{requests: requests, at: now}
}

func (e *estimate) decay(now time.Time) {
	passed := now.Sub(e.at).Seconds()
	if passed <= 0 {
		return
	}
	e.fast *= math.Exp(-passed / fastTimeConstant.Seconds())
	e.slow *= math.Exp(-passed / slowTimeConstant.Seconds())
	e.at = now
}

// ObservedFor returns how long demand has been reported.
func (d *Estimator) ObservedFor(now time.Time) time.Duration {
	if d.started.IsZero() {
		return 0
	}
	return now.Sub(d.started)
}

// Levels returns the estimates at the time now, names without work left out.
func (d *Estimator) Levels(now time.Time) map[string]Level {
	levels := make(map[string]Level, len(d.names))
	for name, e := range d.names {
		level := e.level(now)
		if level.TokensPerSecond < idleBelow && level.Waiting == 0 {
			delete(d.names, name)
			continue
		}
		levels[name] = level
	}
	return levels
}

// level is the higher of the two averages, so that demand rises fast and is
// forgotten slowly.
func (e *estimate) level(now time.Time) Level {
	e.decay(now)
	maps.DeleteFunc(e.waiting, func(_ string, w waiting) bool { return now.Sub(w.at) > waitingTTL })
	level := Level{TokensPerSecond: max(e.fast, e.slow)}
	for _, w := range e.waiting {
		level.Waiting += w.requests
	}
	return level
}
