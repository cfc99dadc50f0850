package forward

import (
	"strconv"
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/serving/admission"
	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/policy"
)

// lateRank is the rank of requests that would be late. Ranks of customers' requests are
// below it.
const lateRank = policy.MaxRank

// corrections are what is learned of expected times, by pool and rank.
type corrections struct {
	mu     sync.Mutex
	byPool map[string]*[policy.MaxRank + 1]admission.Correction
}

func newCorrections() *corrections {
	return &corrections{byPool: make(map[string]*[policy.MaxRank + 1]admission.Correction)}
}

// with calls use with the correction of a pool and a rank.
func (c *corrections) with(pool string, rank int, use func(*admission.Correction)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ranks := c.byPool[pool]
	if ranks == nil {
		ranks = &[policy.MaxRank + 1]admission.Correction{}
		c.byPool[pool] = ranks
	}
	use(&ranks[rank])
}

// factor returns the factor for the objectives of a pool and a rank.
func (c *corrections) factor(pool string, rank int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ranks := c.byPool[pool]; ranks != nil {
		return ranks[rank].Factor()
	}
	return (&admission.Correction{}).Factor()
}

// resetRank gives the request the rank of its route and customer, unless it has run: then
// it keeps the rank with which it did.
func (j *job) resetRank() {
	if j.runs > 0 {
		return
	}
	j.want.Rank, j.want.Late = j.route.RankFor(j.customer), false
}

// divided reports whether the requests for the pool differ in urgency or in who sends them.
func (j *job) divided() bool {
	p := j.f.Policy()
	return p != nil && p.Divided(j.pool.Name)
}

// admit decides whether the request is sent to the chosen target. If it would be late,
// c becomes the choice at the late rank. A request that may have run already is sent: a
// refusal would not spare its target any work. So is one that probes an idle target,
// which may have become faster.
func (j *job) admit(c *fleetview.Choice, now time.Time) admission.Decision {
	j.boundPart = 0
	divided := j.pool.Engine != nil && j.divided()
	if divided {
		j.checkShare(now)
	}
	if j.pool.Engine == nil || j.runs > 0 || c.Probe {
		return admission.OnTime{}
	}
	var late fleetview.Choice
	r := j.admissionRequest(c, &late, divided, now, j.f.View.Choose)
	if !divided {
		return admission.Decide(r)
	}
	if j.route.Objective > 0 && r.Expected <= r.Objective {
		j.boundPart = float64(r.Expected) / float64(j.route.Objective-now.Sub(j.r.Arrival))
	}
	d := admission.Decide(r)
	rank := j.want.Rank
	switch d.(type) {
	case admission.OnTime:
		j.recordAdmitted(now)
		j.f.Metrics.countAdmission(admittedOnTime, rank)
		return d
	case admission.Late:
		*c = late
		j.want.Rank, j.want.Late = lateRank, true
		j.recordAdmitted(now)
		j.f.Metrics.countAdmission(admittedLate, rank)
		j.log(now).Info("request put back, it would be late or exceeds the share of its customer", "target", c.Target.ID, "rank", rank, "expected_ms", r.Expected.Milliseconds(),
			"late_expected_ms", c.Expected.Milliseconds(), "objective_ms", r.Objective.Milliseconds(), "patience_ms", r.Patience.Milliseconds(), "over_share", r.OverShare)
	default:
		j.f.Metrics.countAdmission(admittedNot, rank)
	}
	j.boundPart = 0
	return d
}

// admissionRequest returns the request on which admission decides for the choice c. Its
// ExpectedLate sets late to what choose returns at the late rank.
func (j *job) admissionRequest(c, late *fleetview.Choice, divided bool, now time.Time, choose func(*fleetview.Requirements, time.Time) fleetview.Choice) admission.Request {
	age := now.Sub(j.r.Arrival)
	r := admission.Request{Expected: c.CallWait + c.Expected, Patience: j.patience() - age}
	if !divided {
		return r
	}
	r.Room, r.OverShare = c.Room, j.overShare
	if j.route.Objective <= 0 {
		return r
	}
	r.Objective = time.Duration(j.f.corrections.factor(j.pool.Name, j.want.Rank) * float64(j.route.Objective-age))
	r.ExpectedLate = func() time.Duration {
		want := j.want
		want.Rank, want.Late = lateRank, true
		*late = choose(&want, now)
		if late.Target == nil {
			*late = *c // its target has been removed since it was chosen
		}
		return late.CallWait + late.Expected
	}
	return r
}

// observeObjective corrects the bound on expected times by whether a request that was
// admitted as on time was on time. It has an effect once.
func (j *job) observeObjective(took time.Duration) {
	if j.boundPart <= 0 {
		return
	}
	j.f.corrections.with(j.pool.Name, j.want.Rank, func(c *admission.Correction) {
		c.Observe(j.boundPart, took <= j.route.Objective)
	})
	j.boundPart = 0
}

// The decisions on requests, as metric labels.
const (
	admittedOnTime = "on_time"
	admittedLate   = "late"
	admittedNot    = "refused"
)

func (m *Metrics) countAdmission(decision string, rank int) {
	m.admissions.WithLabelValues(decision, strconv.Itoa(rank)).Inc()
}
