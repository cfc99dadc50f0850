package forward

import (
	"context"
	"time"

	"fireflypier.example/fireflypier/internal/failure"
)

// leavingRetryAfter is the retry delay that a VM returns to callers while it shuts down:
// other VMs can serve them at once.
const leavingRetryAfter = 100 * time.Millisecond

// drainInterval is the time between two checks of Drain.
const drainInterval = 20 * time.Millisecond

// departure is the shutdown of this VM.
type departure struct {
	// acceptUntil is the time until which all requests are served, end that at which
	// those that still run are given up.
	acceptUntil, end time.Time
}

// Leave has requests that arrive after acceptUntil refused unless they certainly end
// before end, and gives those that still run then up, so that their callers get an answer
// before the process ends.
func (f *Forwarder) Leave(acceptUntil, end time.Time) {
	f.departure.Store(&departure{acceptUntil, end})
	f.Clock.AfterFunc(end.Sub(f.Clock.Now()), f.giveUp)
}

// Drain waits until no request is being served, at most until end.
func (f *Forwarder) Drain(end time.Time) {
	for f.running.Load() > 0 && f.Clock.Now().Before(end) {
		<-f.Clock.After(drainInterval)
	}
}

// outlasts returns the departure of this VM if the request could outlast it, and nil if not.
func (j *job) outlasts(now time.Time) *departure {
	d := j.f.departure.Load()
	if d == nil || now.Before(d.acceptUntil) || j.deadline.Before(d.end) {
		return nil
	}
	return d
}

// checkDeparture returns the failure for the caller if the request could outlast this VM.
func (j *job) checkDeparture() error {
	now := j.f.Clock.Now()
	d := j.outlasts(now)
	if d == nil {
		return nil
	}
	j.f.Metrics.countRejection(rejectLeaving)
	j.log(now).Info("request refused, the VM shuts down", "ends_in_ms", d.end.Sub(now).Milliseconds(), "left_ms", j.deadline.Sub(now).Milliseconds())
	e := failure.New(failure.Leaving, "the VM shuts down")
	e.RetryAfter = leavingRetryAfter
	return e
}

// withEnd returns a context that ends at the deadline of the request, and when this VM
// gives up its requests.
func (j *job) withEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	stop := context.AfterFunc(j.f.work, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
