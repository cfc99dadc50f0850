package fleetview

import (
	"time"

	"fireflypier.example/fireflypier/internal/serving/spillover"
	"fireflypier.example/fireflypier/internal/serving/target"
)

// WithSpillover has the view decide with b whether a request leaves the data centre.
// Without it, a target elsewhere costs crossDataCentreCost more, and the best one is
// chosen.
func WithSpillover(b *spillover.Balancer) Option {
	return func(v *View) { v.spillover = b }
}

// pick is the best target at home or away.
type pick struct {
	target   *target.Target
	limit    target.Limit
	callWait time.Duration
	expected time.Duration
	// own is the part of expected that the work of the request itself takes.
	own    time.Duration
	cached int
	// idle is set if no request is known to be outstanding, room as in Choice.
	idle, room bool
	// known is the cost without the random part, cost the cost with it.
	known, cost time.Duration
	slowdown    float64
}

// best are the best targets at home and away. All are at home without a balancer.
type best struct{ home, away pick }

// add keeps p if it is the best target on its side.
func (b *best) add(p *pick, away bool) {
	to := &b.home
	if away {
		to = &b.away
	}
	if to.target == nil || p.cost < to.cost {
		*to = *p
	}
}

// isAway reports whether a target counts as away.
func (v *View) isAway(t *target.Target) bool {
	return v.spillover != nil && t.DataCentre != v.dataCentre
}

// decide chooses between the best targets at home and away, and returns the cost of the
// chosen one. choice is the random number of this choice.
func (v *View) decide(c *Choice, b *best, r *Requirements, pace float64, choice uint64, now time.Time) time.Duration {
	if v.spillover != nil && b.any() {
		v.herding.generator.Seed(choice, 0)
		request := b.spillover(r, pace, now)
		v.noteLoads(now)
		request.Age, request.Draw = v.viewAge(now), v.herding.byTarget.Float64()
		c.Spillover = v.spillover.Decide(&request, now)
	}
	return c.set(b)
}

// any reports whether there is a target on either side.
func (b *best) any() bool { return b.home.target != nil || b.away.target != nil }

// spillover returns the request for a decision between the best targets at home and away,
// without the age of the view and the random number.
func (b *best) spillover(r *Requirements, pace float64, now time.Time) spillover.Request {
	return spillover.Request{
		Pool:      r.Pool.Name,
		Home:      b.home.candidate(pace),
		Away:      b.away.candidate(pace),
		Objective: r.Objective,
		Left:      r.Objective - now.Sub(r.Arrival),
		Bytes:     r.Bytes,
	}
}

// set sets the target that c.Spillover chooses, and returns its cost.
func (c *Choice) set(b *best) time.Duration {
	chosen := &b.home
	if c.Spillover != nil && c.Spillover.Leaves() {
		chosen = &b.away
	}
	c.Target, c.Limit, c.CallWait, c.Expected, c.Cached = chosen.target, chosen.limit, chosen.callWait, chosen.expected, chosen.cached
	c.Probe, c.Room = chosen.target != nil && chosen.idle, chosen.room
	c.Extra = chosen.cost - waitCost(chosen.limit, chosen.callWait) - chosen.expected
	c.ownShare = float64(chosen.own) / float64(max(1, chosen.expected))
	return chosen.cost
}

// noteLoads records when the loads of the other VMs last came. The caller holds v.mu.
func (v *View) noteLoads(now time.Time) {
	if v.loadsUnnoted() {
		v.othersNew, v.othersAt = false, now
	}
}

// loadsUnnoted reports whether no choice has followed the latest loads of the other VMs.
func (v *View) loadsUnnoted() bool { return v.othersNew || v.othersAt.IsZero() }

// viewAge returns the age at which the loads of the other VMs are known here. Loads come
// at least every half of the usual age; it grows by the time for which they are overdue.
// The caller holds v.mu.
func (v *View) viewAge(now time.Time) time.Duration {
	if v.herding.choosers <= 1 || v.loadsUnnoted() {
		return v.herding.age
	}
	return v.herding.age + max(0, now.Sub(v.othersAt)-v.herding.age/2)
}

func (p *pick) candidate(pace float64) spillover.Candidate {
	saved := float64(p.cached) / prefillTokensPerMillisecond * float64(time.Millisecond)
	return spillover.Candidate{Exists: p.target != nil, Expected: p.known, Cost: p.cost, Saved: time.Duration(saved * pace * p.slowdown), Cold: p.limit.Steady}
}
