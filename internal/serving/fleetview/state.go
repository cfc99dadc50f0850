package fleetview

import (
	"math"
	"time"

	"fireflypier.example/fireflypier/internal/serving/target"
)

const (
	// failureWeight is the weight of one outcome in a target's failure rate.
	failureWeight = 0.2
	// failureHalfLife lets a target that failed be tried again.
	failureHalfLife = 3 * time.Second
	// slowdownWeight is the weight of one observation in a target's pace.
	slowdownWeight = 0.2
	// minSlowdown and maxSlowdown bound how far one target's pace may differ from
	// the assumed one.
	minSlowdown, maxSlowdown = 0.3, 6.0
	// slowdownHalfLife lets a target that was slow be tried again.
	slowdownHalfLife = 8 * time.Second
	// minBackoff and maxBackoff bound the time without work for a target that
	// cannot be reached; it doubles with each failure.
	minBackoff, maxBackoff = 400 * time.Millisecond, 3 * time.Second
	// absentTTL is how long a model counts as absent after an engine denied
	// holding it; by then the holder of the order duty has a new report.
	absentTTL = 700 * time.Millisecond
	// inventoryTTL is how long the duty holder's word on what an engine
	// holds goes before the engine's own row.
	inventoryTTL = 4 * time.Second
)

// state is what is known of one target.
type state struct {
	target *target.Target
	// own is this VM's work, others that of each peer.
	own      load
	others   map[string]load
	prefixes *prefixes

	failureEstimate   float64
	failureEstimateAt time.Time
	slowdown          float64
	slowdownAt        time.Time

	backoffUntil time.Time
	backoff      time.Duration
	absent       map[string]time.Time

	inventory   []target.Held
	inventoryAt time.Time
}

func newState(t *target.Target) *state {
	return &state{
		target:   t,
		others:   make(map[string]load),
		prefixes: newPrefixes(),
		slowdown: 1,
		absent:   make(map[string]time.Time),
	}
}

func (s *state) total() load {
	l := s.own
	for _, o := range s.others {
		l.add(&o)
	}
	return l
}

// held returns what the engine holds, by the newest account.
func (s *state) held(now time.Time) []target.Held {
	if !s.inventoryAt.IsZero() && now.Sub(s.inventoryAt) < inventoryTTL {
		return s.inventory
	}
	return s.target.Weights.Models
}

// holds reports whether the engine holds a model, and an adapter of it.
func (s *state) holds(model, adapter string, now time.Time) (hasModel, hasAdapter bool) {
	if until, ok := s.absent[model]; ok && now.Before(until) {
		return false, false
	}
	w := target.Weights{Models: s.held(now)}
	h, ok := w.Find(model)
	if !ok {
		return false, false
	}
	if until, ok := s.absent[model+"/"+adapter]; ok && now.Before(until) {
		return true, false
	}
	return true, adapter == "" || h.HasAdapter(adapter)
}

func (s *state) failureRate(now time.Time) float64 {
	return s.failureEstimate * decay(now.Sub(s.failureEstimateAt), failureHalfLife)
}

func (s *state) observeOutcome(failed bool, now time.Time) {
	rate := s.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	s.failureEstimate, s.failureEstimateAt = rate, now
}

// currentSlowdown returns how many times slower the target is than assumed.
func (s *state) currentSlowdown(now time.Time) float64 {
	return 1 + (s.slowdown-1)*decay(now.Sub(s.slowdownAt), slowdownHalfLife)
}

func (s *state) observeSlowdown(ratio float64, now time.Time) {
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	s.slowdown = s.currentSlowdown(now)*(1-slowdownWeight) + ratio*slowdownWeight
	s.slowdownAt = now
}

func (s *state) unreachable(now time.Time) {
	s.backoff = min(max(minBackoff, 2*s.backoff), maxBackoff)
	s.backoffUntil = now.Add(s.backoff)
}

func decay(d, halfLife time.Duration) float64 {
	return math.Exp2(-d.Seconds() / halfLife.Seconds())
}
