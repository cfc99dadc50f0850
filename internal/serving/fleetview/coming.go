package fleetview

import (
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

const (
	// placementDelay is the time from the first request for a model to the start of
	// its load: the demand reaches the leader, which has another model drain first
	// if memory is short.
	placementDelay = 600 * time.Millisecond
	// minLoadRemaining is the estimate for a load that should have ended.
	minLoadRemaining = 200 * time.Millisecond
)

// LoadRemaining returns the estimated time until an engine of the pool has loaded a
// model that was first found missing at since. A caller whose time is too short for it
// should not be kept waiting.
func (v *View) LoadRemaining(pool string, m *policy.Model, since, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	var first time.Time
	load := m.ColdLoad
	for _, s := range v.targets {
		if s.target.Pool != pool || s.target.Draining || v.evacuated(s.target) {
			continue
		}
		if at, ok := s.coming[m.Name]; ok && (first.IsZero() || at.Before(first)) {
			first = at
		}
		w := &s.target.Weights
		load = min(load, m.LoadTime(slices.Contains(w.InMemory, m.Name), slices.Contains(w.OnDisk, m.Name)))
	}
	if first.IsZero() {
		first = since.Add(placementDelay + load)
	}
	return max(minLoadRemaining, first.Sub(now))
}
