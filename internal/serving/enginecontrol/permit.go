package enginecontrol

import (
	"context"
	"time"

	"fireflypier.example/fireflypier/internal/serving/target"
)

// maxAdapterWait is the longest time for which an adapter load waits until the limit of
// its engine allows the order: requests wait for it.
const maxAdapterWait = 300 * time.Millisecond

// permitted reports whether a call may be made to the engine now. If the engine wants none,
// or its limit does not allow it yet, e.permit is the time from which on to ask again.
func (c *Controller) permitted(ctx context.Context, e *engine) bool {
	if wait := c.Distance(e.target); wait > 0 {
		e.permit, e.reserved = c.Clock.Now().Add(wait), false
		return false
	}
	if !c.Limit(e.target).Named {
		e.permit, e.reserved = time.Time{}, false
		return true
	}
	if c.Clock.Now().Before(e.permit) {
		return false
	}
	c.reserveCall(ctx, e)
	if !e.reserved || c.Clock.Now().Before(e.permit) {
		return false
	}
	e.reserved = false
	return true
}

// awaitPermit waits until the engine's limit allows a call, if that is soon.
func (c *Controller) awaitPermit(ctx context.Context, e *engine) {
	if !c.Limit(e.target).Named {
		return
	}
	c.reserveCall(ctx, e)
	if wait := e.permit.Sub(c.Clock.Now()); e.reserved && wait <= maxAdapterWait {
		e.call(func() { c.sleep(ctx, wait) })
	}
}

// reserveCall reserves a call to the engine, unless one is reserved already.
func (c *Controller) reserveCall(ctx context.Context, e *engine) {
	if e.reserved {
		return
	}
	var wait time.Duration
	var ok bool
	e.call(func() { wait, ok = c.Permit(ctx, e.target) })
	if !ok {
		wait = max(wait, refusedBackoff)
	}
	e.reserved, e.permit = ok, c.Clock.Now().Add(wait)
}

// observe records what the engine says in an answer about further calls, if anything.
func (c *Controller) observe(e *engine, m *target.Marks, sent time.Time) {
	if *m != (target.Marks{}) {
		c.Observe(e.target, m, sent)
	}
}

// sleep returns after d or when ctx ends.
func (c *Controller) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-c.Clock.After(d):
	case <-ctx.Done():
	}
}
