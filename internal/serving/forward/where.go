package forward

import (
	"time"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/admission"
	"fireflypier.example/fireflypier/internal/serving/dryrun"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/ratelimit"
)

// reasonProbe is the reason for which a request is sent to an idle target that seems too slow
// for it: it tells whether the target has become faster.
const reasonProbe = "probe"

// Where returns where a request would go now, and why. It sends nothing, changes no state
// and counts nothing. Whether a request is quarantined depends on its body, and is left out.
func (f *Forwarder) Where(q *dryrun.Question) (*dryrun.Answer, error) {
	p := f.Policy()
	if p == nil {
		return nil, failure.New(failure.StaleConfiguration, "no configuration has been loaded yet")
	}
	now := f.Clock.Now()
	j, err := f.dryRun(p, q, now)
	if err != nil {
		return nil, err
	}
	x := f.View.Explain(&j.want, now)
	a := &dryrun.Answer{
		PolicyVersion: p.Version,
		Route:         j.route.Name,
		Pool:          j.pool.Name,
		Rank:          j.want.Rank,
		Objective:     j.route.Objective,
		Timeout:       j.deadline.Sub(now),
		Patience:      j.patience(),
		Spillover:     dryrun.Spillover{Decision: spilloverName(&x.Choice), Share: x.LeavingShare},
		RandomScale:   x.RandomScale,
		ViewAge:       x.Age,
	}
	if j.route.Name != "" {
		a.Kind = j.route.Kind.String()
	}
	for _, s := range j.route.Split {
		a.Pools = append(a.Pools, dryrun.PoolShare{Pool: s.Pool, Weight: s.Weight})
	}
	for i := range x.Candidates {
		a.Targets = append(a.Targets, j.describe(&x.Candidates[i], now))
	}
	a.Rate = j.rate(now)
	a.Decision = j.decision(&x.Choice, a.Rate, p, now)
	return a, nil
}

// dryRun returns the job of a request that is not served.
func (f *Forwarder) dryRun(p *policy.Policy, q *dryrun.Question, now time.Time) (*job, error) {
	j := &job{f: f, r: &exchange.Request{
		HostName: q.Host, Path: q.Path, Arrival: now, TimeLimit: q.TimeLimit, Model: q.Model, Adapter: q.Adapter,
		PromptTokens: q.PromptTokens, AnswerTokens: q.AnswerTokens, Sized: q.PromptTokens+q.AnswerTokens > 0, Prefix: q.Prefix,
	}}
	if err := j.findPool(p, q); err != nil {
		return nil, err
	}
	if err := checkWeights(j.pool, q); err != nil {
		return nil, err
	}
	if q.Customer != "" {
		customer, ok := p.CustomerNamed(q.Customer)
		if !ok {
			// The text may be a key.
			return nil, failure.New(failure.NotFound, "the customer is unknown; its name is needed, not a key")
		}
		j.customer = customer
	}
	j.setDeadline()
	j.setRequirements()
	j.want.MaxCallWait = j.callWait(now)
	return j, nil
}

// findPool sets the route and the pool that a question is about. Without a pool it is the
// one with the largest weight, and without a path the only route that leads to the pool.
func (j *job) findPool(p *policy.Policy, q *dryrun.Question) error {
	name := q.Pool
	switch {
	case q.Path != "":
		route, ok := p.Route(q.Host, q.Path)
		if !ok {
			return failure.New(failure.UnknownRoute, "no route matches the host %q and the path %q", q.Host, q.Path)
		}
		j.route = route
		if name == "" {
			name = heaviest(route.Split)
		}
	case q.Host != "":
		return failure.New(failure.BadRequest, "a host needs a path")
	case name == "":
		return failure.New(failure.BadRequest, "a host and a path, or a pool, is needed")
	}
	var ok bool
	if j.pool, ok = p.Pool(name); !ok {
		return failure.New(failure.NotFound, "the pool %q is unknown", name)
	}
	if j.route == nil {
		j.route = onlyRoute(p, name)
	} else if !leadsTo(j.route, name) {
		return failure.New(failure.NotFound, "the route %q does not lead to the pool %q", j.route.Name, name)
	}
	return nil
}

// heaviest returns the pool with the largest weight; empty if there is none.
func heaviest(split []policy.Share) string {
	var found policy.Share
	for _, s := range split {
		if found.Pool == "" || s.Weight > found.Weight {
			found = s
		}
	}
	return found.Pool
}

func leadsTo(r *policy.Route, pool string) bool {
	for _, s := range r.Split {
		if s.Pool == pool {
			return true
		}
	}
	return false
}

// onlyRoute returns the route that leads to a pool, and one without properties if there is
// none or more than one.
func onlyRoute(p *policy.Policy, pool string) *policy.Route {
	found := &policy.Route{Open: true}
	for i := range p.Routes {
		if !leadsTo(&p.Routes[i], pool) {
			continue
		}
		if found.Name != "" {
			return &policy.Route{Open: true}
		}
		found = &p.Routes[i]
	}
	return found
}

// checkWeights returns an error if the pool does not have the weights.
func checkWeights(pool *policy.Pool, q *dryrun.Question) error {
	switch {
	case pool.Engine == nil && q.Model+q.Adapter != "":
		return failure.New(failure.UnknownModel, "the pool %q has plain services, without models", pool.Name)
	case pool.Engine == nil:
		return nil
	case q.Model == "":
		return failure.New(failure.BadRequest, "the pool %q has engines: a model is needed", pool.Name)
	}
	m, ok := pool.Engine.Model(q.Model)
	if !ok {
		return failure.New(failure.UnknownModel, "the pool %q has no model %q", pool.Name, q.Model)
	}
	if q.Adapter != "" && !m.HasAdapter(q.Adapter) {
		return failure.New(failure.UnknownModel, "the model %q has no adapter %q", m.Name, q.Adapter)
	}
	return nil
}

// describe returns a target as it appears in an answer.
func (j *job) describe(c *fleetview.Candidate, now time.Time) dryrun.Target {
	t := dryrun.Target{
		ID: c.Target.ID, Born: c.Target.Born, DataCentre: c.Target.DataCentre, Excluded: string(c.Exclusion), OtherBorn: c.OtherBorn,
		Expected: c.Expected, Distance: c.Distance, CallWait: c.CallWait, Returning: c.Returning, Stall: c.Stall, Failures: c.Failures,
		Pauses: c.Pauses, Cost: c.Cost, Requests: c.Requests, LimitPerSecond: c.Limit.PerSecond, ColdFor: c.ColdFor,
	}
	if !c.Until.IsZero() {
		t.Until = max(0, c.Until.Sub(now))
	}
	if len(j.want.Chain) > 0 {
		t.CachedTokens = &c.Cached
	}
	return t
}

// rate returns the state of the customer's rate; nil without a customer.
func (j *job) rate(now time.Time) *dryrun.Rate {
	if j.customer == nil {
		return nil
	}
	j.setCost()
	j.f.mu.Lock()
	defer j.f.mu.Unlock()
	p := j.f.Rates.Preview(j.customer, j.cost, now)
	return &dryrun.Rate{
		Customer: j.customer.Name, Cost: j.cost, Limited: j.customer.Rate > 0,
		Level: p.Level, Own: p.Own, Capacity: p.Capacity, PerSecond: p.PerSecond, Result: p.Result.String(), After: p.After,
	}
}

// decision returns what would happen to the request, in the order of Serve.
func (j *job) decision(c *fleetview.Choice, rate *dryrun.Rate, p *policy.Policy, now time.Time) dryrun.Decision {
	d := dryrun.Decision{Expected: c.Expected}
	if c.Target != nil {
		d.Target = c.Target.ID
	}
	switch {
	case j.customer == nil && !j.route.Open && p.RequiresKey():
		d.Outcome, d.Reason = dryrun.Refused, failure.MissingKey.String()
	case j.outlasts(now) != nil:
		d.Outcome, d.Reason, d.RetryAfter = dryrun.Refused, rejectLeaving, leavingRetryAfter
	case rate != nil && rate.Result == ratelimit.Exceeded.String():
		d.Outcome, d.Reason, d.RetryAfter = dryrun.Refused, failure.RateExceeded.String(), rate.After
	case c.Target == nil:
		j.decideWithoutTarget(&d, c, now)
	default:
		j.decideAdmission(&d, c, now)
	}
	return d
}

// decideAdmission sets what admission decides, like admit.
func (j *job) decideAdmission(d *dryrun.Decision, c *fleetview.Choice, now time.Time) {
	divided := j.pool.Engine != nil && j.divided()
	if divided {
		j.overShare = j.f.shares.exceeds(j, now)
	}
	d.Outcome, d.OverShare = dryrun.Sent, j.overShare
	if j.pool.Engine == nil {
		return
	}
	var late fleetview.Choice
	result := admission.Decide(j.admissionRequest(c, &late, divided, now, func(want *fleetview.Requirements, now time.Time) fleetview.Choice {
		return j.f.View.Explain(want, now).Choice
	}))
	d.LateExpected = late.Expected
	if _, onTime := result.(admission.OnTime); c.Probe && !onTime {
		d.Reason = reasonProbe
		return
	}
	switch result := result.(type) {
	case admission.OnTime:
		if divided {
			d.Outcome = dryrun.OnTime
		}
	case admission.Late:
		d.Outcome, d.Target = dryrun.Late, late.Target.ID
	case admission.Refused:
		d.Outcome, d.Reason, d.RetryAfter = dryrun.Refused, rejectBusy, j.previewReturn(result.After, now)
	}
}

// decideWithoutTarget sets what happens to a request that finds no target, like choose.
func (j *job) decideWithoutTarget(d *dryrun.Decision, c *fleetview.Choice, now time.Time) {
	d.Outcome, d.Reason = dryrun.NoTarget, j.rejectionReason(c)
	switch {
	case c.InPool == 0 && c.Evacuated > 0:
		d.Reason, d.RetryAfter = rejectEvacuated, evacuatedRetryAfter
	case c.Candidates == 0 && !c.Returns.IsZero():
		d.RetryAfter = c.Returns.Sub(now)
	case j.pool.Engine == nil:
		d.RetryAfter = busyRetryAfter
	default:
		j.missingSince = now
		remaining, known := j.loadRemaining(c, now)
		if !known || now.Add(remaining).After(j.waitUntil()) {
			d.RetryAfter = remaining
			return
		}
		d.Outcome, d.LoadedIn = dryrun.Waits, remaining
	}
}
