package admission

import (
	"math"
	"time"

	"fireflypier.example/fireflypier/internal/serving/policy"
)

const (
	// rateTimeConstant is the time constant of the rate at which work is admitted. It
	// spans several digests, after each of which a VM admits more or less.
	rateTimeConstant = 2 * time.Second
	// honouredShare is the part of the time that they have left for which callers wait
	// for their return at most.
	honouredShare = 1.0 / 3
)

// Returns spreads the returns of the requests for a pool that a VM refuses over the time
// in which capacity becomes free: otherwise all that are refused in a surge return
// together, and most of them are refused again. It takes the rate at which the VM has
// requests admitted for the rate at which capacity becomes free to it. The zero value has
// admitted nothing.
type Returns struct {
	// admitted is the decaying sum of the work admitted, as of updated; began is the time
	// of the first call.
	admitted       float64
	began, updated time.Time
	// due is the work that will return, by rank; the last of it returns at dueUntil.
	due      [policy.MaxRank + 1]float64
	dueUntil time.Time
}

// Admit records that work was admitted.
func (r *Returns) Admit(work float64, now time.Time) {
	r.update(now)
	r.admitted += work
}

// Refuse returns the time after which a refused request of a rank returns: after all of
// its rank and of more urgent ones that will return, and not before earliest. The caller
// has the time left: nothing is added to earliest beyond that. A request whose time is too
// short is not expected to return.
func (r *Returns) Refuse(rank int, work float64, earliest, left time.Duration, now time.Time) time.Duration {
	r.update(now)
	rate := r.rate(now)
	if rate <= 0 {
		return earliest
	}
	ahead := 0.0
	for _, n := range r.due[:rank+1] {
		ahead += n
	}
	// ahead/rate is not representable if hardly anything has been admitted for long.
	after := earliest + time.Duration(min(ahead/rate, max(0, left.Seconds()))*float64(time.Second))
	if after <= time.Duration(honouredShare*float64(left)) {
		r.due[rank] += work
		if at := now.Add(after); at.After(r.dueUntil) {
			r.dueUntil = at
		}
	}
	return after
}

// rate returns the work admitted per second.
func (r *Returns) rate(now time.Time) float64 {
	seen := 1 - decay(now.Sub(r.began))
	if seen <= 0 {
		return 0
	}
	return r.admitted / (rateTimeConstant.Seconds() * seen)
}

// update takes the work that has become due since the last call off, the most urgent
// first, and all of it when the last request has returned: what is left then has not been
// admitted at the rate that was expected.
func (r *Returns) update(now time.Time) {
	if r.began.IsZero() {
		r.began, r.updated = now, now
	}
	elapsed := now.Sub(r.updated)
	if elapsed <= 0 {
		return
	}
	done := r.rate(r.updated) * elapsed.Seconds()
	if now.After(r.dueUntil) {
		done = math.Inf(1)
	}
	for rank := range r.due {
		n := min(done, r.due[rank])
		r.due[rank] -= n
		done -= n
	}
	r.admitted *= decay(elapsed)
	r.updated = now
}

func decay(d time.Duration) float64 {
	return math.Exp(-d.Seconds() / rateTimeConstant.Seconds())
}
