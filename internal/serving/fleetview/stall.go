package fleetview

import "time"

const (
	// maxOverdueCost bounds the cost of a target for each overdue request: a single one
	// may be slow by itself. It is of the order of the shortest objectives of first events.
	maxOverdueCost = 300 * time.Millisecond
	// maxStallCost bounds the cost for all overdue requests. It is below the two seconds
	// after which callers of streams may leave, so that a busy target elsewhere that could
	// not answer in time is no better.
	maxStallCost = 1200 * time.Millisecond
)

// stall returns the cost of a target that may have stalled, for a request of a rank: the
// time for which this VM's requests of the same or a more urgent rank have been overdue at
// it without any first event since, as a stall is likely to last as long again as it has.
func (s *state) stall(rank int, now time.Time) time.Duration {
	var longest, bound time.Duration
	for t := range s.outstanding {
		if t.expected <= 0 || t.pace == nil {
			continue // its time says nothing of the target, or is not learned
		}
		due := t.began.Add(t.expected)
		if s.lastStarted.After(due) {
			due = s.lastStarted
		}
		if overdue := now.Sub(due); overdue > 0 && t.rank <= rank {
			longest = max(longest, overdue)
			bound += maxOverdueCost
		}
	}
	return min(longest, bound, maxStallCost)
}
