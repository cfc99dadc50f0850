package forward

import (
	"context"
	"time"

	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/targetlimit"
)

const (
	// callWaitShare is the part of a caller's time for which its request may wait until
	// the limit of a target allows it, maxCallWait the upper bound: a caller that is
	// refused early can still return.
	callWaitShare = 0.15
	maxCallWait   = 600 * time.Millisecond
	// maxReservations bounds the lenders that are asked for one request.
	maxReservations = 3
	// lenderRetryInterval is the time without calls to a limited target whose lender
	// cannot be reached.
	lenderRetryInterval = 500 * time.Millisecond
	// lenderSlack is the time that the lender of a cold target may take beyond the wait that
	// the request accepts: another target could serve it by then.
	lenderSlack = 50 * time.Millisecond
)

// callWait returns the longest time for which the request may wait until the limit of a
// target allows it.
func (j *job) callWait(now time.Time) time.Duration {
	if j.reservations >= maxReservations {
		return 0
	}
	patience := j.r.Arrival.Add(j.patience()).Sub(now)
	return min(time.Duration(callWaitShare*float64(max(0, patience))), maxCallWait)
}

// reserve reserves a call to the chosen target, and waits for its time. If it returns
// false, another target must be chosen: the lender has no time for the request, or the
// target does not take it any more.
func (j *job) reserve(ctx context.Context, c *fleetview.Choice) bool {
	f, t := j.f, c.Target
	j.reservations++
	now := f.Clock.Now()
	maxWait := c.MaxCallWait
	wait, reserved, asked, err := f.askLender(ctx, c, maxWait)
	answered := f.Clock.Now()
	next := answered.Add(wait)
	switch {
	case err != nil:
		next = answered.Add(lenderRetryInterval)
	case reserved:
		next = next.Add(targetlimit.Interval(c.Limit))
	}
	f.View.SetNextCall(t.ID, t.Born, next)
	c.CallAt = asked.Add(wait) // the answer may be late, as after a pause of the process
	f.Metrics.countReservation(reserved, err)
	j.log(now).Info("call to a target with a limit", "target", t.ID, "per_second", c.Limit.PerSecond, "cold", c.Limit.Steady, "reserved", reserved,
		"wait_ms", wait.Milliseconds(), "max_wait_ms", maxWait.Milliseconds(), "error", err)
	if err != nil || !reserved {
		return false
	}
	if wait <= 0 {
		return true
	}
	select {
	case <-f.Clock.After(wait):
	case <-ctx.Done():
		return true // the attempt fails with the reason
	}
	return f.View.Accepts(t.ID, t.Born, f.Clock.Now())
}

// askLender reserves a call at the lender of the chosen target.
func (f *Forwarder) askLender(ctx context.Context, c *fleetview.Choice, maxWait time.Duration) (wait time.Duration, reserved bool, asked time.Time, err error) {
	if c.Limit.Steady {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxWait+lenderSlack)
		defer cancel()
	}
	return f.Reserve(ctx, c.Target, c.Limit, maxWait)
}
