// Package demand estimates the arrival rate of work for each model and adapter.
package demand

import (
	"maps"
	"math"
	"time"
)

const (
	// The estimate is the higher of two moving averages: the one with
	// fastTimeConstant follows a sudden rise, the one with slowTimeConstant
	// delays the fall after it.
	fastTimeConstant = 45 * time.Second
	slowTimeConstant = 8 * time.Minute
	// waitingTTL is how long the waiting requests that a gateway reported
	// are counted.
	waitingTTL = 10 * time.Second
	// minTokensPerSecond is the rate below which demand counts as zero.
	minTokensPerSecond = 1e-3
)

// Estimator holds the estimates of all models and adapters by name. It does no
// I/O and is not safe for concurrent use.
type Estimator struct {
	started   time.Time
	estimates map[string]*estimate
}

// Level is the estimated demand for one model or adapter.
type Level struct {
	// TokensPerSecond is the arrival rate of work.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Waiting is the number of requests at all gateways that wait until an
	// engine has loaded the weights.
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

// New returns an Estimator without estimates.
func New() *Estimator { return &Estimator{estimates: map[string]*estimate{}} }

// Add adds the tokens of work for a model or adapter that a gateway has received
// since its previous report, and replaces the number of requests that wait there
// for the weights.
func (d *Estimator) Add(gateway, name string, tokens float64, requests int, now time.Time) {
	if d.started.IsZero() {
		d.started = now
	}
	e, ok := d.estimates[name]
	if !ok {
		e = &estimate{at: now, waiting: map[string]waiting{}}
		d.estimates[name] = e
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

// decay brings both averages from e.at to now.
func (e *estimate) decay(now time.Time) {
	elapsed := now.Sub(e.at).Seconds()
	if elapsed <= 0 {
		return
	}
	e.fast *= math.Exp(-elapsed / fastTimeConstant.Seconds())
	e.slow *= math.Exp(-elapsed / slowTimeConstant.Seconds())
	e.at = now
}

// ObservedFor returns the time since the first call of Add, or zero before it.
func (d *Estimator) ObservedFor(now time.Time) time.Duration {
	if d.started.IsZero() {
		return 0
	}
	return now.Sub(d.started)
}

// Levels returns the estimates at the time now by name. Names without demand are
// left out and their estimates deleted.
func (d *Estimator) Levels(now time.Time) map[string]Level {
	levels := make(map[string]Level, len(d.estimates))
	for name, e := range d.estimates {
		level := e.level(now)
		if level.TokensPerSecond < minTokensPerSecond && level.Waiting == 0 {
			delete(d.estimates, name)
			continue
		}
		levels[name] = level
	}
	return levels
}

// level returns the higher of the two averages, so that the estimate rises
// quickly and falls slowly.
func (e *estimate) level(now time.Time) Level {
	e.decay(now)
	maps.DeleteFunc(e.waiting, func(_ string, w waiting) bool { return now.Sub(w.at) > waitingTTL })
	level := Level{TokensPerSecond: max(e.fast, e.slow)}
	for _, w := range e.waiting {
		level.Waiting += w.requests
	}
	return level
}
