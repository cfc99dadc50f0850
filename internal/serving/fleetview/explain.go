package fleetview

import (
	"slices"
	"strings"
	"time"

	"fireflypier.example/fireflypier/internal/serving/target"
)

// Explanation is a choice with what all targets of the pool would cost.
type Explanation struct {
	// Choice is what Choose most likely returns. It has no random part: Choose may return
	// another target whose cost is higher by about RandomScale. Probe is set only if this VM
	// is the only one that chooses.
	Choice      Choice
	RandomScale time.Duration
	// Age is the age of the view. LeavingShare is the share of the pool's requests that may
	// leave the data centre; it is 1 without a balancer.
	Age          time.Duration
	LeavingShare float64
	// Candidates are all targets of the pool, ordered by ID.
	Candidates []Candidate
}

// Candidate is a target of the pool, with what it would cost the request if nothing excluded
// it.
type Candidate struct {
	Target *target.Target
	// Exclusion tells why the target cannot be chosen, Until when that ends; zero if that
	// is unknown.
	Exclusion Exclusion
	Until     time.Time
	// OtherBorn is a later incarnation than that of the row, which has answered requests;
	// zero if there is none. It does not exclude the target, but the request would be
	// answered 421.
	OtherBorn int64
	// Expected is the time until the first event or the answer. Distance is the part of it
	// for the way to another data centre.
	Expected, Distance time.Duration
	// CallWait is the cost of the limit of the target, Returning that of coming back to it
	// after a distance, Stall, Failures and Pauses those of its faults and of streams there.
	CallWait, Returning, Stall, Failures, Pauses time.Duration
	// Cost is the sum of Expected and these five costs.
	Cost time.Duration
	// Cached is as in Choice, Requests the number of unfinished requests of all VMs, Limit
	// the limit of the target.
	Cached, Requests int
	Limit            target.Limit
	// ColdFor is the time for which the target counts as cold.
	ColdFor time.Duration
}

// Explain returns what Choose would choose for a request, and why. Unlike Choose it changes
// nothing but the kept sizes of models, which follow from the configuration alone, and draws
// no random numbers.
func (v *View) Explain(r *Requirements, now time.Time) Explanation {
	v.mu.Lock()
	defer v.mu.Unlock()
	x := Explanation{LeavingShare: 1, Age: v.viewAge(now)}
	c := &x.Choice
	var b best
	var free alternatives
	eligible := v.eligible(r, c, now)
	// Of targets of the same cost, the first one is named each time.
	slices.SortFunc(eligible, func(a, b *state) int { return strings.Compare(a.target.ID, b.target.ID) })
	preferredID := preferred(r, eligible)
	pace, _, _ := v.knownPace(r.Pool, r.Model)
	herding := v.herding // a copy, whose rate may decay
	x.RandomScale = time.Duration(pace.ahead * float64(herding.spread(pace.scale(r.PromptTokens), len(eligible), now)))
	var p priced
	for _, s := range eligible {
		if v.consider(&p, c, s, r, &pace, preferredID, now) {
			free.add(p.limit, p.cost)
			b.add(&p.pick, v.isAway(s.target))
		}
	}
	if v.spillover != nil {
		x.LeavingShare = v.spillover.Share(r.Pool.Name)
		if b.any() {
			request := b.spillover(r, pace.own, now)
			request.Age, request.Draw = x.Age, likelyDraw
			c.Spillover, x.LeavingShare = v.spillover.Preview(&request, now)
		}
	}
	cost := c.set(&b)
	c.MaxCallWait = free.maxWait(c, cost, r.MaxCallWait)
	c.Probe = c.Probe && v.herding.choosers <= 1
	for _, s := range v.targets {
		if s.target.Pool == r.Pool.Name {
			x.Candidates = append(x.Candidates, v.candidate(s, r, &pace, preferredID, now))
		}
	}
	slices.SortFunc(x.Candidates, func(a, b Candidate) int { return strings.Compare(a.Target.ID, b.Target.ID) })
	return x
}

// likelyDraw stands for the random number of a spillover decision: with it, the decision is
// the one that is taken more often.
const likelyDraw = 0.5

// candidate returns a target of the pool with its exclusion and what it would cost.
func (v *View) candidate(s *state, r *Requirements, pace *modelPace, preferredID string, now time.Time) Candidate {
	t := v.terms(s, r.Pool, now)
	var p priced
	v.price(&p, s, &t, r, pace, preferredID, now)
	c := Candidate{
		Target: s.target, Exclusion: v.ineligible(s, r, now), Expected: p.expected, CallWait: waitCost(t.limit, t.callWait),
		Returning: p.returning, Stall: p.stall, Failures: p.failures, Pauses: p.pauses, Cost: p.cost,
		Cached: p.cached, Requests: p.requests, Limit: t.limit,
	}
	if c.Exclusion == NotExcluded {
		c.Exclusion, c.Until = t.unavailable(s, r, now)
	}
	if c.Exclusion == InBackoff {
		c.Until = s.backoffUntil
	}
	if s.target.DataCentre != v.dataCentre {
		c.Distance = crossDataCentreCost
	}
	if m := v.marks[s.target.ID]; m != nil && m.born > s.target.Born {
		c.OtherBorn = m.born
	}
	c.ColdFor = max(0, v.coldUntil(s.target, r.Pool).Sub(now))
	return c
}
