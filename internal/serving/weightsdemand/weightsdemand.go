// Package weightsdemand measures the demand for each model and adapter. It does no
// I/O.
package weightsdemand

import (
	"math"
	"time"
)

const (
	// timeConstant is the time constant of the exponentially decaying rate. It is
	// short enough to follow a shift of demand within seconds, and long enough to
	// span several requests of a model with high demand.
	timeConstant = 2500 * time.Millisecond
	// waitingWindow is how long a request counts as waiting after AddRequest.
	waitingWindow = 1200 * time.Millisecond
	// minRate is the rate in tokens per second below which there is no demand.
	minRate = 1.0
)

// Key identifies a model, or an adapter of it, in a pool. Adapter is empty for the
// model itself.
type Key struct {
	Pool, Model, Adapter string
}

// Level is the demand for one key.
type Level struct {
	// TokensPerSecond is the rate of requested tokens, scaled by the time that they take
	// if the models of the pool differ in size (fleetview.View.WorkTokens). Waiting is the
	// number of requests that no engine could accept.
	TokensPerSecond float64
	Waiting         int
	// UnmetPerSecond is the rate of requested tokens of the requests that no
	// engine could accept. It lasts longer than Waiting: the callers of refused
	// requests return.
	UnmetPerSecond float64
	// Running is the number of requests that were sent and have not ended.
	Running int
	// Idle is the time since the last request.
	Idle time.Duration
}

// Merge returns the combined demand of two VMs.
func (l Level) Merge(o Level) Level {
	return Level{
		TokensPerSecond: l.TokensPerSecond + o.TokensPerSecond,
		Waiting:         l.Waiting + o.Waiting,
		UnmetPerSecond:  l.UnmetPerSecond + o.UnmetPerSecond,
		Running:         l.Running + o.Running,
		Idle:            min(l.Idle, o.Idle),
	}
}

// Meter measures the demand at one VM. It is not safe for concurrent use.
type Meter struct {
	counters map[Key]*counter
}

type counter struct {
	rate, unmet float64 // tokens per second
	updated     time.Time
	lastRequest time.Time
	running     int
	waiting     []time.Time
}

// New returns a meter without demand.
func New() *Meter { return &Meter{counters: make(map[Key]*counter)} }

// AddRequest counts a request for a number of tokens. If noEngine is true, no engine
// could accept the request: it counts as waiting and as unmet demand.
func (m *Meter) AddRequest(k Key, tokens int, noEngine bool, now time.Time) {
	c := m.counter(k, now)
	c.decay(now)
	c.lastRequest = now
	if noEngine {
		c.waiting = append(c.waiting, now)
		c.unmet += float64(tokens) / timeConstant.Seconds()
		return
	}
	c.rate += float64(tokens) / timeConstant.Seconds()
}

// AdjustRunning changes the number of running requests: by 1 when a request is sent,
// by -1 when it ends.
func (m *Meter) AdjustRunning(k Key, change int, now time.Time) {
	m.counter(k, now).running += change
}

// counter returns the counter of a key, and creates it if necessary.
func (m *Meter) counter(k Key, now time.Time) *counter {
	c := m.counters[k]
	if c == nil {
		c = &counter{updated: now, lastRequest: now}
		m.counters[k] = c
	}
	return c
}

// decay updates the rates to the time now and drops waiting requests older than
// waitingWindow.
func (c *counter) decay(now time.Time) {
	left := math.Exp(-max(0, now.Sub(c.updated).Seconds()) / timeConstant.Seconds())
	c.rate *= left
	c.unmet *= left
	c.updated = now
	for len(c.waiting) > 0 && now.Sub(c.waiting[0]) > waitingWindow {
		c.waiting = c.waiting[1:]
	}
}

// Levels returns the demand of all keys with demand, and deletes the counters of
// the others.
func (m *Meter) Levels(now time.Time) map[Key]Level {
	levels := make(map[Key]Level, len(m.counters))
	for k, c := range m.counters {
		c.decay(now)
		if c.rate < minRate && c.unmet < minRate && len(c.waiting) == 0 && c.running == 0 {
			delete(m.counters, k)
			continue
		}
		levels[k] = Level{TokensPerSecond: c.rate, Waiting: len(c.waiting), UnmetPerSecond: c.unmet, Running: c.running, Idle: now.Sub(c.lastRequest)}
	}
	return levels
}
