package fleetview

import (
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
)

// Exclusion tells why a target cannot be chosen for a request.
type Exclusion string

// The exclusions of targets.
const (
	NotExcluded   Exclusion = ""
	IsDraining    Exclusion = "draining"
	IsLeaving     Exclusion = "leaving"
	IsEvacuated   Exclusion = "evacuated"
	ModelAbsent   Exclusion = "model_absent"
	AdapterAbsent Exclusion = "adapter_absent"
	DistanceAsked Exclusion = "distance_asked"
	AlreadyTried  Exclusion = "already_tried"
	InBackoff     Exclusion = "backoff"
	LimitUsedUp   Exclusion = "limit"
	IsCold        Exclusion = "cold"
)

// ineligible returns why a target of the pool does not accept work or does not hold the
// weights of a request.
func (v *View) ineligible(s *state, r *Requirements, now time.Time) Exclusion {
	switch {
	case s.target.Draining:
		return IsDraining
	case v.stateMark(s).leaves():
		return IsLeaving
	case v.evacuated(s.target):
		return IsEvacuated
	case r.Pool.Engine == nil:
		return NotExcluded
	}
	switch hasModel, hasAdapter := s.holds(r.Model, r.Adapter, now); {
	case !hasModel:
		return ModelAbsent
	case !hasAdapter:
		return AdapterAbsent
	}
	return NotExcluded
}

// count counts a target of the pool that is ineligible for the given reason.
func (c *Choice) count(e Exclusion, pool *policy.Pool) {
	switch e {
	case IsDraining, IsLeaving:
		return
	case IsEvacuated:
		c.Evacuated++
		return
	default:
	}
	c.InPool++
	if pool.Engine != nil && e != ModelAbsent {
		c.WithModel++
	}
}

// terms are the mark of a target and the limit of the requests to it.
type terms struct {
	mark  *mark
	limit target.Limit
	// callWait is the time until a call may be allowed.
	callWait time.Duration
}

// terms returns the terms of a target of a pool.
func (v *View) terms(s *state, pool *policy.Pool, now time.Time) terms {
	m := v.stateMark(s)
	limit, wait := v.callLimit(s, m, pool, now)
	return terms{m, limit, wait}
}

// unavailable returns why an eligible target takes no request now, and the time at which it
// takes requests again; zero if that is unknown or of no use to others.
func (t *terms) unavailable(s *state, r *Requirements, now time.Time) (Exclusion, time.Time) {
	if distance := t.mark.distance(now); distance > 0 {
		return DistanceAsked, now.Add(distance)
	}
	if slices.Contains(r.Exclude, s.target.ID) {
		return AlreadyTried, time.Time{}
	}
	if now.Before(s.backoffUntil) {
		return InBackoff, time.Time{}
	}
	if t.callWait <= r.MaxCallWait && !wontLend(t.limit, r.MaxCallWait) {
		return NotExcluded, time.Time{}
	}
	e := LimitUsedUp
	if t.limit.Steady {
		e = IsCold
	}
	return e, now.Add(waitCost(t.limit, t.callWait) - r.MaxCallWait)
}

// priced is a target with what it would cost a request.
type priced struct {
	pick
	// stall, failures, pauses and returning are the parts of known besides the expected
	// time and waitCost.
	stall, failures, pauses, returning time.Duration
	requests                           int
}

// consider counts an eligible target in c and sets p to what it would cost the request, if
// it takes requests.
func (v *View) consider(p *priced, c *Choice, s *state, r *Requirements, pace *modelPace, preferredID string, now time.Time) bool {
	t := v.terms(s, r.Pool, now)
	e, returns := t.unavailable(s, r, now)
	if !returns.IsZero() {
		c.excludeUntil(returns)
	}
	if e != NotExcluded {
		return false
	}
	c.Candidates++
	v.price(p, s, &t, r, pace, preferredID, now)
	return true
}

// price sets p to what a target would cost a request, without a random part.
func (v *View) price(p *priced, s *state, t *terms, r *Requirements, pace *modelPace, preferredID string, now time.Time) {
	total := s.total()
	expected, own, cached := v.expected(s, &total, r, pace, s.target.ID == preferredID, now)
	*p = priced{
		pick: pick{
			target: s.target, limit: t.limit, callWait: t.callWait, expected: expected, own: own, cached: cached,
			idle: total.requests.total() == 0, room: s.hasRoom(&total, r), slowdown: s.currentSlowdown(now),
		},
		stall:     s.stall(r.Rank, now),
		failures:  time.Duration(s.failureRate(now) * float64(failureCost)),
		pauses:    v.disturbance(s, &total, r, pace, cached, now),
		returning: t.mark.returnPenalty(now),
		requests:  total.requests.total(),
	}
	p.known = waitCost(t.limit, t.callWait) + expected + p.returning + p.stall + p.failures + p.pauses
	p.cost = p.known
}

// addRandom adds the random part to the cost.
func (p *priced) addRandom(r *Requirements, h *herding, spread time.Duration) {
	if r.Pool.Engine == nil {
		random := time.Duration(h.byTarget.Int64N(int64(time.Millisecond)))
		p.expected += random
		p.known += random
	}
	p.cost = p.known + h.disperse(spread)
}
