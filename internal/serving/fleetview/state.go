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
	// paceWeight is the weight of one observation in a target's pace.
	paceWeight = 0.2
	// minPace and maxPace bound how far one target's pace may differ from
	// the assumed one.
	minPace, maxPace = 0.3, 6.0
	// paceHalfLife lets a target that was slow be tried again.
	paceHalfLife = 8 * time.Second
	// firstDown and lastDown bound the time without work for a target that
	// cannot be reached; it doubles with each failure.
	firstDown, lastDown = 400 * time.Millisecond, 3 * time.Second
	// absentFor is how long a model counts as absent after an engine denied
	// holding it; by then the holder of the order duty has a new report.
	absentFor = 700 * time.Millisecond
	// inventoryFor is how long the duty holder's word on what an engine
	// holds goes before the engine's own row.
	inventoryFor = 4 * time.Second
)

// state is what is known of one target.
type state struct {
	target *target.Target
	// own is this VM's work, others that of each peer.
	own      load
	others   map[string]load
	prefixes *prefixes

	failures   float64
	failuresAt time.Time
	pace       float64
	paceAt     time.Time

	downUntil time.Time
	downFor   time.Duration
	absent    map[string]time.Time

	inventory   []target.LoadedModel
	inventoryAt time.Time
}

func newState(t *target.Target) *state {
	return &state{
		target:   t,
		others:   make(map[string]load),
		prefixes: newPrefixes(),
		pace:     1,
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
func (s *state) held(now time.Time) []target.LoadedModel {
	if !s.inventoryAt.IsZero() && now.Sub(s.inventoryAt) < inventoryFor {
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
	return s.failures * decay(now.Sub(s.failuresAt), failureHalfLife)
}

func (s *state) observe(failed bool, now time.Time) {
	rate := s.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	s.failures, s.failuresAt = rate, now
}

// currentPace returns how many times slower the target is than assumed.
func (s *state) currentPace(now time.Time) float64 {
	return 1 + (s.pace-1)*decay(now.Sub(s.paceAt), paceHalfLife)
}

func (s *state) observePace(ratio float64, now time.Time) {
	ratio = min(max(ratio, minPace), maxPace)
	s.pace = s.currentPace(now)*(1-paceWeight) + ratio*paceWeight
	s.paceAt = now
}

func (s *state) unreachable(now time.Time) {
	s.downFor = min(max(firstDown, 2*s.downFor), lastDown)
	s.downUntil = now.Add(s.downFor)
}

func decay(d, halfLife time.Duration) float64 {
	return math.Exp2(-d.Seconds() / halfLife.Seconds())
}
