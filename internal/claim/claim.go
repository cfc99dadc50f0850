package claim

import (
	"context"
	"time"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/recording"
	"fireflypier.example/fireflypier/internal/table"
)

// Claim is the right to dispatch one request once. It belongs to one
// goroutine and ends with Answered, Unknown or Release.
type Claim struct {
	claims  *Claims
	key     string
	flight  *flight
	content content
	version int64
	begun   time.Time
	window  time.Duration
}

// Check tells whether the request may still be dispatched. Call it right
// before the first byte. After a pause, in which others may have been told
// that the outcome is unknown, it returns DeadlineExceeded.
func (c *Claim) Check() error {
	now := c.claims.clock.Now()
	// The wall clock also counts the time for which the VM was suspended.
	elapsed := max(now.Sub(c.begun), now.Round(0).Sub(c.begun.Round(0)))
	if elapsed > c.window {
		return failure.New(failure.DeadlineExceeded, "the claim is %v old and is not dispatched any more", elapsed)
	}
	return nil
}

// Answered records the answer and returns once it is recorded, or after a
// bounded time; then the record follows in the background.
func (c *Claim) Answered(ctx context.Context, answer *recording.Answer) {
	c.content.State = stateAnswered
	c.content.Answer = answer
	if answer.Omitted {
		c.claims.leave(c.key, c.flight, nil, notKept(answer.Status))
	} else {
		c.claims.leave(c.key, c.flight, answer, nil)
	}
	c.record(ctx)
}

// Unknown records that the request may have run without an answer.
func (c *Claim) Unknown(ctx context.Context) {
	c.content.State = stateUnknown
	c.claims.leave(c.key, c.flight, nil, unknown("the first request with this id may have run"))
	c.record(ctx)
}

// Release removes the claim of a request that certainly did not run, so that
// a repeat may run.
func (c *Claim) Release(ctx context.Context) {
	recorded := c.settle(table.Write{Key: c.key, Expect: c.version, Delete: true})
	c.waitFor(ctx, recorded)
	c.claims.leave(c.key, c.flight, nil, nil)
}

func (c *Claim) record(ctx context.Context) {
	value, err := c.content.encode()
	if err != nil {
		c.claims.logger.Error("outcome not encoded", "error", err)
		return
	}
	c.waitFor(ctx, c.settle(table.Write{Key: c.key, Expect: c.version, Value: value}))
}

func (c *Claim) waitFor(ctx context.Context, recorded <-chan struct{}) {
	select {
	case <-recorded:
	case <-c.claims.clock.After(answerWait):
	case <-ctx.Done():
	}
}

// settle writes w in the background until it took effect or never can. The
// channel is closed then.
func (c *Claim) settle(w table.Write) <-chan struct{} {
	settled := make(chan struct{})
	c.claims.later(func() {
		defer close(settled)
		until := c.claims.clock.Now().Add(retryLimit)
		for c.claims.clock.Now().Before(until) {
			o := <-c.claims.group.write(w)
			if o.err == nil || failure.Is(o.err, failure.Conflict) {
				return
			}
			c.claims.logger.Debug("outcome not recorded yet", "error", o.err)
			c.claims.clock.Sleep(jitter(retryPause))
		}
	})
	return settled
}

// retract removes a row that was written although the claim was given up:
// nothing was dispatched, so that a repeat may run.
func (c *Claim) retract(o outcome) {
	if failure.Is(o.err, failure.Conflict) || failure.Is(o.err, failure.StoreUnavailable) {
		return
	}
	until := c.claims.clock.Now().Add(retryLimit)
	for c.claims.clock.Now().Before(until) {
		if c.remove() {
			return
		}
		c.claims.clock.Sleep(jitter(retryPause))
	}
}

// remove deletes the row if it is this claim's; it reports false when that
// must be tried again.
func (c *Claim) remove() bool {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	row, err := c.claims.table.Get(ctx, c.key)
	if err != nil {
		return false
	}
	if row.Version == 0 {
		return true
	}
	held, err := decode(row)
	if err != nil || held.ClaimID != c.content.ClaimID {
		return true
	}
	o := <-c.claims.group.write(table.Write{Key: c.key, Expect: row.Version, Delete: true})
	return o.err == nil || failure.Is(o.err, failure.Conflict)
}
