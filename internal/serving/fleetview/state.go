package fleetview

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflypier.example/fireflypier/internal/serving/target"
)

const (
	// failureWeight is the weight of one outcome in a target's failure rate.
	failureWeight = 0.2
	// failureHalfLife is the half-life of the failure rate, so that a target
	// that failed is tried again.
	failureHalfLife = 3 * time.Second
	// slowdownWeight is the weight of one observation in a target's slowdown: three move it
	// by four fifths of the way.
	slowdownWeight = 0.4
	// minSlowdown and maxSlowdown bound the observed ratio of actual to expected
	// time.
	minSlowdown, maxSlowdown = 0.3, 6.0
	// slowdownHalfLife is the half-life of the slowdown, so that a target that
	// was slow is tried again.
	slowdownHalfLife = 8 * time.Second
	// minBackoff and maxBackoff bound the time for which an unreachable target
	// gets no requests; it doubles with each failed connection.
	minBackoff, maxBackoff = 400 * time.Millisecond, 3 * time.Second
	// absentTTL is how long a model or adapter counts as absent after the engine
	// reported that it does not hold it. By then the leader has a new report
	// from the engine.
	absentTTL = 700 * time.Millisecond
	// inventoryTTL is how long the inventory reported by the leader takes
	// precedence over the engine's own row.
	inventoryTTL = 4 * time.Second
)

// state is the view of one target.
type state struct {
	target *target.Target
	hash   uint64 // of the target's ID
	// own is this VM's outstanding load, others that of all other VMs.
	own, others load
	prefixes    *prefixes
	// outstanding has this VM's requests without a first event, lastStarted is the time
	// of the last first event.
	outstanding map[*Ticket]struct{}
	lastStarted time.Time

	// failureEstimate is the moving average of the failure rate as of
	// failureEstimateAt.
	failureEstimate   float64
	failureEstimateAt time.Time
	// slowdown is the moving average of the ratio of actual to expected time as
	// of slowdownAt; 1 is the assumed speed.
	slowdown   float64
	slowdownAt time.Time

	// backoffUntil is the end of the current backoff, backoff its length. It is
	// reset to 0 by an answer.
	backoffUntil time.Time
	backoff      time.Duration
	// absent has the time until which a model, or model/adapter, counts as
	// absent.
	absent map[string]time.Time

	// inventory is what SetInventory or AddAdapter set last. inventoryTTL counts
	// from inventoryAt, which is zero if neither was called.
	inventory   []target.LoadedModel
	inventoryAt time.Time
	// coming has the models that the engine is loading, with the expected end of
	// the load.
	coming map[string]time.Time
}

func newState(t *target.Target) *state {
	return &state{
		target:   t,
		hash:     xxhash.Sum64String(t.ID),
		prefixes: newPrefixes(),
		slowdown: 1,
		absent:   make(map[string]time.Time),

		outstanding: make(map[*Ticket]struct{}),
	}
}

func (s *state) total() load {
	l := s.own
	l.add(&s.others)
	return l
}

// held returns the models that the engine holds: the reported inventory while
// it is valid, and the engine's own row otherwise.
func (s *state) held(now time.Time) []target.LoadedModel {
	if !s.inventoryAt.IsZero() && now.Sub(s.inventoryAt) < inventoryTTL {
		return s.inventory
	}
	return s.target.Weights.Models
}

// holds reports whether the engine holds a model, and an adapter of it; an empty
// adapter counts as held.
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
