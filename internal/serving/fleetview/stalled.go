package fleetview

import (
	"time"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

// Stalled returns the number of targets that seem to have stalled: requests of this VM are
// overdue there, without any first event since.
func (v *View) Stalled(now time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, s := range v.targets {
		if s.stall(policy.MaxRank, now) > 0 {
			n++
		}
	}
	return n
}
