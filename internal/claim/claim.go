package claim

import (
	"context"
	"time"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/recording"
	"fireflypier.example/fireflypier/internal/table"
)

// Claim is the exclusive right to dispatch one request once. It ends with
// Answered, Unknown or Release, and is not safe for concurrent use.
type Claim struct {
	claims    *Claims
	key       string
	flight    *flight
	content   content
	version   int64
	startedAt time.Time
	window    time.Duration
}

// Check returns an error if the request must not be dispatched any more. It must
// be called right before the first byte is sent. It fails with DeadlineExceeded
// when the claim is older than the dispatch window, for example after the process
// was paused, since repeats may have received OutcomeUnknown by then.
func (c *Claim) Check() error {
	now := c.claims.clock.Now()
	// Unlike the monotonic clock, the wall clock includes the time for which the
	// VM was suspended.
	elapsed := max(now.Sub(c.startedAt), now.Round(0).Sub(c.startedAt.Round(0)))
	if elapsed > c.window {
		return failure.New(failure.DeadlineExceeded, "the claim is %v old; the request is not dispatched any more", elapsed)
	}
	return nil
}

// Answered records the answer. It returns when the answer is recorded, when
// recordTimeout has passed or when ctx is done; in the latter cases the write
// continues in the background.
func (c *Claim) Answered(ctx context.Context, answer *recording.Answer) {
	c.content.State = stateAnswered
	c.content.Answer = answer
	if answer.Omitted {
		c.claims.endFlight(c.key, c.flight, nil, answerNotKept(answer.Status))
	} else {
		c.claims.endFlight(c.key, c.flight, answer, nil)
	}
	c.record(ctx)
}

// Unknown records that the request may have run but has no answer. It waits as
// Answered does.
func (c *Claim) Unknown(ctx context.Context) {
	c.content.State = stateUnknown
	c.claims.endFlight(c.key, c.flight, nil, outcomeUnknown("the first request with this id may have run"))
	c.record(ctx)
}

// Release removes the claim of a request that certainly did not run, so that a
// repeat may run. It waits as Answered does.
func (c *Claim) Release(ctx context.Context) {
	recorded := c.writeInBackground(table.Write{Key: c.key, Expect: c.version, Delete: true})
	c.waitFor(ctx, recorded)
	c.claims.endFlight(c.key, c.flight, nil, nil)
}

func (c *Claim) record(ctx context.Context) {
	value, err := c.content.encode()
	if err != nil {
		c.claims.logger.Error("could not encode the outcome of a claim", "error", err)
		return
	}
	c.waitFor(ctx, c.writeInBackground(table.Write{Key: c.key, Expect: c.version, Value: value}))
}

func (c *Claim) waitFor(ctx context.Context, recorded <-chan struct{}) {
	select {
	case <-recorded:
	case <-c.claims.clock.After(recordTimeout):
	case <-ctx.Done():
	}
}

// writeInBackground retries w in the background until it has taken effect, fails
// with a conflict or retryTimeout has passed. It then closes the returned channel.
// If too many background writes are in progress, it drops w and the channel stays
// open.
func (c *Claim) writeInBackground(w table.Write) <-chan struct{} {
	settled := make(chan struct{})
	c.claims.runInBackground(func() {
		defer close(settled)
		until := c.claims.clock.Now().Add(retryTimeout)
		for c.claims.clock.Now().Before(until) {
			o := <-c.claims.batcher.write(w)
			if o.err == nil || failure.Is(o.err, failure.Conflict) {
				return
			}
			c.claims.logger.Debug("could not record the outcome of a claim; retrying", "error", o.err)
			c.claims.clock.Sleep(jitter(retryInterval))
		}
	})
	return settled
}

// retract removes a row that may have been written although the claim was
// abandoned. Nothing was dispatched, so a repeat may run.
func (c *Claim) retract(o outcome) {
	if failure.Is(o.err, failure.Conflict) || failure.Is(o.err, failure.StoreUnavailable) {
		return
	}
	until := c.claims.clock.Now().Add(retryTimeout)
	for c.claims.clock.Now().Before(until) {
		if c.tryRemove() {
			return
		}
		c.claims.clock.Sleep(jitter(retryInterval))
	}
}

// tryRemove deletes the row if it belongs to this claim. It returns false if the
// deletion must be retried.
func (c *Claim) tryRemove() bool {
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
	o := <-c.claims.batcher.write(table.Write{Key: c.key, Expect: row.Version, Delete: true})
	return o.err == nil || failure.Is(o.err, failure.Conflict)
}
