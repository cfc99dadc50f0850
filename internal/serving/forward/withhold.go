package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/transport"
)

const (
	// evacuatedRetryAfter is the retry delay for callers whose pool has only targets in
	// evacuated data centres. Nobody knows when the operator ends that; it takes about this
	// time to reach all VMs.
	evacuatedRetryAfter = 2 * time.Second
	// newsInterval is the time between two checks whether this VM has heard of changes.
	newsInterval = 25 * time.Millisecond
	// staleView is the reason for which a request is withheld that was to be written when
	// the process went on after a pause.
	staleView fleetview.Reason = "view_stale"
)

// errWithheld marks an attempt that this VM has not sent.
var errWithheld = errors.New("the request is withheld from its target")

// stale reports whether this VM may have missed an evacuation.
func (f *Forwarder) stale() bool { return f.Stale != nil && f.Stale() }

// awaitNews waits while this VM may have missed an evacuation.
func (j *job) awaitNews(ctx context.Context) {
	for j.f.stale() {
		select {
		case <-j.f.Clock.After(newsInterval):
		case <-ctx.Done():
			return
		}
	}
}

// guard keeps one attempt from being written when its target must get no requests any more.
type guard struct {
	j      *job
	choice fleetview.Choice
	reason atomic.Pointer[fleetview.Reason]
}

// withGuard returns a context in which the attempt is sent only if its target still may get it.
func (j *job) withGuard(ctx context.Context, c *fleetview.Choice) (context.Context, *guard) {
	g := &guard{j: j, choice: *c}
	return transport.WithGuard(ctx, g.allows), g
}

func (g *guard) allows() bool {
	f := g.j.f
	reason := f.View.Withheld(&g.choice, g.j.pool, f.Clock.Now())
	if reason == "" && f.stale() {
		reason = staleView
	}
	if reason == "" {
		return true
	}
	g.reason.Store(&reason)
	return false
}

// withheld reports whether the attempt was not sent because of the guard, and records that.
func (g *guard) withheld(ticket *fleetview.Ticket, err error) bool {
	reason := g.reason.Load()
	var unsent *transport.NotSentError
	if reason == nil || !errors.As(err, &unsent) {
		return false
	}
	f := g.j.f
	now := f.Clock.Now()
	ticket.End(false, now)
	f.Metrics.countWithheld(string(*reason))
	g.j.log(now).Info("request withheld", "target", g.choice.Target.ID, "data_centre", g.choice.Target.DataCentre, "reason", string(*reason), "attempt", g.j.sends)
	return true
}

// faultInterval is the shortest time between two log lines on statements of targets that are
// not usable: a target may have one in each answer.
const faultInterval = time.Second

// faultLog bounds such lines.
type faultLog struct {
	mu sync.Mutex
	at time.Time
}

func (l *faultLog) log(now time.Time, logger hclog.Logger, fields ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at) < faultInterval {
		return
	}
	l.at = now
	logger.Warn("statement of a target is not usable", fields...)
}

// refuseEvacuated refuses a request whose pool has only targets in evacuated data centres.
// Nothing can be loaded for it.
func (j *job) refuseEvacuated(now time.Time, c *fleetview.Choice) error {
	after := spread(evacuatedRetryAfter)
	j.f.Metrics.countRejection(rejectEvacuated)
	j.log(now).Info("no target for the request, the data centres of its pool are evacuated", "pool", j.pool.Name, "evacuated", c.Evacuated, "retry_after_ms", after.Milliseconds())
	e := failure.New(failure.NoReplica, "the targets that could serve the request are taken out of service")
	e.RetryAfter = after
	return e
}

// suspect records that a target could not be reached, did not answer in time or broke a
// connection, unless the request ended on this side or the answer to another one shows that the
// target lives.
func (j *job) suspect(ctx context.Context, t *target.Target, err error, now time.Time) {
	if ctx.Err() == nil && !errors.Is(err, exchange.ErrOtherAnswer) {
		j.f.View.Suspect(t.ID, t.Born, now)
	}
}
