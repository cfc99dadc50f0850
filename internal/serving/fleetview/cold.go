package fleetview

import (
	"math"
	"time"

	"fireflypier.example/fireflypier/internal/serving/evacuation"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/targetlimit"
)

const (
	// coldNews is the change of the end of a cold time that peers are told of. It is above
	// the time that a digest takes, so that VMs don't tell each other the same time again.
	coldNews = 500 * time.Millisecond
	// maxOutage is the longest time for which a target or a data centre is expected to be
	// unreachable and to come back as the same incarnations.
	maxOutage = 5 * time.Second
	// zoneFailures is the number of targets of a data centre that must fail this VM, without
	// an answer from any other of its targets in between, for the data centre to count as
	// unreachable. One target that fails is more likely a fault of its own.
	zoneFailures = 2
	// callLateness is how much later than its reserved time a request may still be sent to
	// a cold target. Later ones, as after a pause of the process, could meet several of those
	// that were reserved meanwhile; at a cold rate of 7, one is reserved within this time.
	callLateness = 150 * time.Millisecond
	// rateStep is the factor by which the rate of calls to cold targets is reduced until the
	// operators' bound allows it, minColdRate its lower bound.
	rateStep    = 0.95
	minColdRate = 0.1
)

// WithEvacuation sets the register of evacuated data centres; without it, none is evacuated.
func WithEvacuation(r *evacuation.Register) Option {
	return func(v *View) { v.evacuation = r }
}

// cold is what the view knows of cold targets besides their marks.
type cold struct {
	// overage and slack are the operators' bound; the overage is zero if cold targets are
	// treated like others.
	overage, slack float64
	zones          map[string]*zone
}

// zone is a data centre as this VM reaches it.
type zone struct {
	// failed are the targets that have failed since the last answer of any target.
	failed map[string]time.Time
	outage outage
}

// outage is a time in which calls failed: lostAt is the last failure, foundAt the first
// answer to a later call, zero before that.
type outage struct{ lostAt, foundAt time.Time }

func (o *outage) lose(now time.Time) { *o = outage{lostAt: now} }

func (o *outage) find(sent, now time.Time) {
	if !o.lostAt.IsZero() && o.foundAt.IsZero() && sent.After(o.lostAt) {
		o.foundAt = now
	}
}

// coldUntil returns the end of the time for which what was lost counts as cold: nobody knows
// when before foundAt it has started again.
func (o *outage) coldUntil(start time.Duration) time.Time {
	switch {
	case o.lostAt.IsZero():
		return time.Time{}
	case o.foundAt.IsZero():
		return o.lostAt.Add(maxOutage + start)
	}
	return o.foundAt.Add(start)
}

// coldMark is what is known of the cold time of one incarnation.
type coldMark struct {
	// until is its end as the target has stated it at the time at, to this VM or another;
	// ownAt is when it has last told this VM.
	until, at, ownAt time.Time
	// rowUntil is its end by the target's row, which arrived at rowAt and is older by an
	// unknown time.
	rowUntil, rowAt time.Time
	// told is until as peers were last told.
	told   time.Time
	outage outage
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SetColdBound sets what a cold target may get within a second: overage times its rate plus a
// number slack. With an overage of zero, cold targets are treated like others.
func (v *View) SetColdBound(overage, slack float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cold.overage, v.cold.slack = overage, slack
}

// rate returns the rate at which calls to cold targets are reserved: theirs, unless the bound
// does not allow for the calls that may meet within a second.
func (c *cold) rate(perSecond float64) float64 {
	bound := perSecond*c.overage + c.slack
	r := perSecond
	for r > minColdRate && callsWithinSecond(r) > bound {
		r *= rateStep
	}
	return max(r, minColdRate)
}

// callsWithinSecond returns the largest number of calls within a second that lenders reserve
// together at a rate: the first lender all of them, a substitute a quarter (node.lenderShare),
// and, if up to half of the VMs are cut off, those of that part in proportion.
func callsWithinSecond(r float64) float64 {
	return math.Ceil(r) + math.Ceil(r/4) + math.Ceil(r/2) + math.Ceil(r/8)
}

// SetColdRow records the cold time in a target's row. It is called before Set, so that a new
// incarnation is never taken for a warm one. The row may be older than what the target has
// said, and does not shorten that. It reports whether the target counts as cold now and did
// not before.
func (v *View) SetColdRow(t *target.Target, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cold.overage <= 0 || !t.Cold.Stated {
		return false
	}
	m := v.markOf(t.ID, t.Born, now)
	if m == nil {
		return false
	}
	was := later(m.cold.rowUntil, m.cold.until).After(now)
	m.cold.rowUntil, m.cold.rowAt = now.Add(t.Cold.Left), now
	return !was && t.Cold.Left > 0
}

// SetCold records what an answer of an incarnation of a target, to a call sent at the time
// sent, states of its cold time. A statement does not shorten the cold time if the call was
// sent before that was learned. It reports whether the target counts as cold now and did not
// before. An answer without a statement only tells that the target can be reached.
func (v *View) SetCold(id string, born int64, c target.Cold, sent, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cold.overage <= 0 {
		return false
	}
	v.found(id, born, sent, now)
	if !c.Stated {
		return false
	}
	m := v.markOf(id, born, now)
	if m == nil {
		return false
	}
	asOf, until := sent.Add(-c.Age), now.Add(c.Left)
	if until.Before(m.cold.until) && !asOf.After(m.cold.at) {
		return false
	}
	if asOf.After(m.cold.rowAt) {
		m.cold.rowUntil = time.Time{}
	}
	m.cold.ownAt = now
	return v.updateCold(m, until, now, now)
}

// updateCold sets the stated end of a cold time. The caller holds v.mu.
func (v *View) updateCold(m *mark, until, at, now time.Time) bool {
	was := later(m.cold.rowUntil, m.cold.until).After(now)
	m.cold.until, m.cold.at = until, at
	if later(until, m.cold.told).After(now) && until.Sub(m.cold.told).Abs() > coldNews {
		m.cold.told = until
		v.changeMark(m)
	}
	return !was && until.After(now)
}

// fillCold adds the cold time to a mark for peers.
func (m *mark) fillCold(w *meshpb.Mark, now time.Time) {
	if !m.cold.at.IsZero() {
		w.ColdStated = true
		w.ColdLeftMs = max(0, m.cold.until.Sub(now).Milliseconds())
		w.ColdAgeMs = max(0, now.Sub(m.cold.at).Milliseconds())
	}
}

// MergeCold records the cold times that a peer has passed on. It returns the marks of targets
// that count as cold now and did not before.
func (v *View) MergeCold(marks []*meshpb.Mark, now time.Time) (changed []*meshpb.Mark) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cold.overage <= 0 {
		return nil
	}
	for _, w := range marks {
		if !w.GetColdStated() || w.GetColdLeftMs() < 0 || w.GetColdAgeMs() < 0 {
			continue
		}
		m := v.markOf(w.GetTarget(), w.GetBorn(), now)
		if m == nil {
			continue
		}
		at, until := now.Add(-time.Duration(w.GetColdAgeMs())*time.Millisecond), now.Add(time.Duration(w.GetColdLeftMs())*time.Millisecond)
		known := !m.cold.at.IsZero()
		switch {
		case known && !at.After(m.cold.at):
		case known && until.Before(m.cold.until) && now.Sub(m.cold.ownAt) <= ownLimitTTL:
		case known && until.Sub(m.cold.until).Abs() <= coldNews && m.cold.until.After(now):
		default:
			if v.updateCold(m, until, at, now) {
				changed = append(changed, w)
			}
		}
	}
	return changed
}

// Suspect records that a call to an incarnation of a target found it unreachable, or that it
// broke the connection: it probably comes back cold. If this happens at several targets of a
// data centre, all that are there are expected to.
func (v *View) Suspect(id string, born int64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.targets[id]
	if v.cold.overage <= 0 || s == nil || s.target.Born != born {
		return
	}
	m := v.markOf(id, born, now)
	if m == nil {
		return
	}
	m.cold.outage.lose(now)
	z := v.cold.zones[s.target.DataCentre]
	if z == nil {
		z = &zone{failed: make(map[string]time.Time)}
		v.cold.zones[s.target.DataCentre] = z
	}
	z.failed[id] = now
	for other, at := range z.failed {
		if now.Sub(at) > maxOutage {
			delete(z.failed, other)
		}
	}
	if len(z.failed) >= zoneFailures {
		z.outage.lose(now)
	}
}

// found records an answer of a target, to a call sent at the time sent. The caller holds v.mu.
func (v *View) found(id string, born int64, sent, now time.Time) {
	if m := v.knownMark(id, born); m != nil {
		m.cold.outage.find(sent, now)
	}
	s := v.targets[id]
	if s == nil {
		return
	}
	if z := v.cold.zones[s.target.DataCentre]; z != nil {
		z.outage.find(sent, now)
		for other, at := range z.failed {
			if sent.After(at) {
				delete(z.failed, other)
			}
		}
	}
}

// coldUntil returns the end of the time for which a target of a pool counts as cold. What the
// target has stated goes before what is only expected, if it has stated it later. The caller
// holds v.mu.
func (v *View) coldUntil(t *target.Target, pool *policy.Pool) time.Time {
	if v.cold.overage <= 0 || pool.ColdStart <= 0 || pool.ColdPerSecond <= 0 {
		return time.Time{}
	}
	var until, stated time.Time
	expect := func(since, end time.Time) {
		if !stated.After(since) {
			until = later(until, end)
		}
	}
	if m := v.knownMark(t.ID, t.Born); m != nil {
		until, stated = later(m.cold.until, m.cold.rowUntil), m.cold.at
		expect(m.cold.outage.lostAt, m.cold.outage.coldUntil(pool.ColdStart))
	}
	if z := v.cold.zones[t.DataCentre]; z != nil {
		expect(z.outage.lostAt, z.outage.coldUntil(pool.ColdStart))
	}
	if ended, ok := v.evacuation.EndedAt(t.DataCentre); ok {
		expect(ended, ended.Add(pool.ColdStart))
	}
	return until
}

// callLimit returns the limit of the requests to a target: the one that it states, or that of
// a cold target; and the time until a call may be allowed. The caller holds v.mu.
func (v *View) callLimit(s *state, m *mark, pool *policy.Pool, now time.Time) (target.Limit, time.Duration) {
	limit, wait := m.callWait(now)
	if !v.coldUntil(s.target, pool).After(now) {
		return limit, wait
	}
	rate := v.cold.rate(pool.ColdPerSecond)
	if !limit.Named || rate < limit.PerSecond {
		limit.PerSecond = rate
	}
	limit.Named, limit.Steady = true, true
	if m != nil {
		wait = max(0, m.limit.nextCall.Sub(now))
	}
	return limit, wait
}

// waitCost returns the cost of choosing a target with a limit: the time until it allows a call
// as far as that is known, and for a cold one the time between two calls. Other VMs see the
// same cold targets without load at the same moment.
func waitCost(l target.Limit, wait time.Duration) time.Duration {
	if l.Steady {
		return wait + targetlimit.Interval(l)
	}
	return wait
}

// wontLend reports whether a request that cannot wait would be refused a call to a cold target:
// the first call waits for an interval, and later ones for those before them. Asking the lender
// of each cold target would only make the request later.
func wontLend(l target.Limit, maxWait time.Duration) bool { return l.Steady && maxWait <= 0 }

// alternatives has the lowest cost of the targets that need no reservation.
type alternatives struct {
	cost  time.Duration
	found bool
}

func (a *alternatives) add(l target.Limit, cost time.Duration) {
	if !l.Named && (!a.found || cost < a.cost) {
		a.cost, a.found = cost, true
	}
}

// maxWait returns the longest wait for a call to the chosen target, of the given cost: for a
// cold one, no longer than another target that needs no reservation would take.
func (a *alternatives) maxWait(c *Choice, cost, most time.Duration) time.Duration {
	if !a.found || !c.Limit.Steady {
		return most
	}
	return min(most, max(0, a.cost-(cost-waitCost(c.Limit, c.CallWait))))
}

// EvacuationChanged wakes those that wait for a change of the targets.
func (v *View) EvacuationChanged() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notify()
}

// evacuated reports whether nothing may be sent to the data centre of a target.
func (v *View) evacuated(t *target.Target) bool { return v.evacuation.Active(t.DataCentre) }

// Reason tells why a request is withheld from the target that was chosen for it.
type Reason string

// The reasons for which a request is withheld.
const (
	Evacuated  Reason = "evacuated"
	BecameCold Reason = "became_cold"
	CallIsLate Reason = "call_late"
)

// Withheld returns why a request must not be sent to the chosen target any more; empty if it
// may. It is asked when the request is written, which may be long after the choice.
func (v *View) Withheld(c *Choice, pool *policy.Pool, now time.Time) Reason {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.evacuated(c.Target) {
		return Evacuated
	}
	if !v.coldUntil(c.Target, pool).After(now) {
		return ""
	}
	switch {
	case !c.Limit.Steady: // a call reserved by a limit of the target may be one of a burst
		return BecameCold
	case now.Sub(c.CallAt) > callLateness:
		return CallIsLate
	}
	return ""
}

// ColdTargets returns the number of targets that count as cold.
func (v *View) ColdTargets(p *policy.Policy, now time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, s := range v.targets {
		if pool, ok := p.Pool(s.target.Pool); ok && v.coldUntil(s.target, pool).After(now) {
			n++
		}
	}
	return n
}

// DataCentre is what runs in one data centre.
type DataCentre struct {
	// Targets is the number of targets, Requests that of the unfinished requests of all VMs
	// at them.
	Targets, Requests int
}

// In returns what runs in a data centre.
func (v *View) In(dataCentre string) DataCentre {
	v.mu.Lock()
	defer v.mu.Unlock()
	var d DataCentre
	for _, s := range v.targets {
		if s.target.DataCentre == dataCentre {
			total := s.total()
			d.Targets++
			d.Requests += total.requests.total()
		}
	}
	return d
}
