package forward

import (
	"context"
	"time"

	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/policy"
)

// stallShare is the fraction of the time for which callers wait for the next event
// after which a stream without events goes on at another engine.
const stallShare = 0.75

// watchdog cancels an attempt whose target does not start to answer, or whose stream
// stalls, if another target may then run the request. If the retry budget is used up,
// the caller is told early enough to return by itself.
type watchdog struct {
	j      *job
	target string
	cancel context.CancelFunc
	timer  *time.Timer
	// stall is the longest pause between events; zero if a stalled stream must not go
	// on elsewhere.
	stall time.Duration
}

// watch returns the watchdog of an attempt with the time left before its deadline.
func (j *job) watch(c *fleetview.Choice, left time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{j: j, target: c.Target.ID, cancel: cancel}
	if !j.mayRunTwice() || j.runs+1 >= j.route.MaxAttempts || c.Candidates < 2 {
		return w
	}
	if j.route.Kind == policy.Stream {
		w.stall = time.Duration(stallShare * float64(j.route.CallerTimeout()))
	}
	wait := max(j.route.Objective, responseTimeoutFactor*c.Expected) + responseTimeoutSlack
	if j.want.Late {
		// More urgent requests that come later delay it: that is no failure.
		patience := j.r.Arrival.Add(j.patience()).Sub(j.f.Clock.Now())
		wait = max(wait, time.Duration(stallShare*float64(patience)))
	}
	if wait < left {
		w.timer = time.AfterFunc(wait, w.fire)
	}
	return w
}

// awaitEvent begins the wait for the next part of a stream.
func (w *watchdog) awaitEvent() {
	if w.stall > 0 {
		w.timer = time.AfterFunc(w.stall, w.fire)
	}
}

// stop ends the supervision. A fire that is under way goes on.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) fire() {
	j := w.j
	now := j.f.Clock.Now()
	if j.deadline.Sub(now) < minTimeLeft || !j.mayRunTwice() {
		return
	}
	j.log(now).Info("attempt canceled, the target does not answer", "target", w.target)
	w.cancel()
}
