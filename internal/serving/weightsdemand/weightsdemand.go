// Package weightsdemand measures what callers ask of each model and adapter.
// It has no input or output.
package weightsdemand

import (
	"math"
	"time"
)

const (
	// timeConstant is that of the estimate: it follows a shift of demand
	// within seconds and spans several requests of a busy model.
	timeConstant = 2500 * time.Millisecond
	// waitsFor is how long a request counts as waiting after it was told of.
	waitsFor = 1200 * time.Millisecond
	// forgetBelow is the work in tokens a second that is no demand any more.
	forgetBelow = 1.0
)

// Key names a model, or an adapter of it, in a pool.
type Key struct {
	Pool, Model, Adapter string
}

// Level is the demand for one key.
type Level struct {
	// TokensPerSecond is the work that arrives, Waiting counts requests that
	// no engine could take.
	TokensPerSecond float64
	Waiting         int
	// Running counts requests that were sent and have not ended.
	Running int
	// Idle is the time since the last request.
	Idle time.Duration
}

// Merge returns the level of two VMs together.
func (l Level) Merge(o Level) Level {
	return Level{
		TokensPerSecond: l.TokensPerSecond + o.TokensPerSecond,
		Waiting:         l.Waiting + o.Waiting,
		Running:         l.Running + o.Running,
		Idle:            min(l.Idle, o.Idle),
	}
}

// Meter measures the demand at one VM. It is not safe for concurrent use.
type Meter struct {
	counts map[Key]*count
}

type count struct {
	rate    float64
	at      time.Time
	asked   time.Time
	running int
	waiting []time.Time
}

// New returns a meter without demand.
func New() *Meter { return &Meter{counts: make(map[Key]*count)} }

// AddRequest counts a request; waits tells that no engine could take it.
func (m *Meter) AddRequest(k Key, tokens int, waits bool, now time.Time) {
	c := m.count(k, now)
	c.decay(now)
	c.asked = now
	if waits {
		c.waiting = append(c.waiting, now)
		return
	}
	c.rate += float64(tokens) / timeConstant.Seconds()
}

// AddRunning counts a request that was sent, by 1, or has ended, by -1.
func (m *Meter) AddRunning(k Key, change int, now time.Time) {
	m.count(k, now).running += change
}

func (m *Meter) count(k Key, now time.Time) *count {
	c := m.counts[k]
	if c == nil {
		c = &count{at: now, asked: now}
		m.counts[k] = c
	}
	return c
}

func (c *count) decay(now time.Time) {
	c.rate *= math.Exp(-max(0, now.Sub(c.at).Seconds()) / timeConstant.Seconds())
	c.at = now
	for len(c.waiting) > 0 && now.Sub(c.waiting[0]) > waitsFor {
		c.waiting = c.waiting[1:]
	}
}

// Levels returns the demand of all keys that have some.
func (m *Meter) Levels(now time.Time) map[Key]Level {
	levels := make(map[Key]Level, len(m.counts))
	for k, c := range m.counts {
		c.decay(now)
		if c.rate < forgetBelow && len(c.waiting) == 0 && c.running == 0 {
			delete(m.counts, k)
			continue
		}
		levels[k] = Level{TokensPerSecond: c.rate, Waiting: len(c.waiting), Running: c.running, Idle: now.Sub(c.asked)}
	}
	return levels
}
