package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"fireflypier.example/fireflypier/internal/table"
)

const (
	// buckets is the number of parts of the rows that are swept one by one.
	buckets = 1 << (4 * bucketDigits)
	// sweepsPerRetention is how often the fleet looks at a row while it is
	// kept.
	sweepsPerRetention = 4
	shortestSweepPause = 50 * time.Millisecond
	// closingWait bounds the wait for outcomes that are being recorded.
	closingWait = 10 * time.Second
)

// Run removes old rows until ctx ends, then waits a bounded time for the
// outcomes that are being recorded. It may be called once. The fleet together looks at each
// row a few times while it is kept, however many gateways there are.
func (c *Claims) Run(ctx context.Context) {
	defer close(c.done)
	defer c.finish()
	for {
		select {
		case <-c.clock.After(jitter(2 * c.sweepPause())):
		case <-ctx.Done():
			return
		}
		if err := c.sweep(ctx, rand.IntN(buckets)); err != nil {
			c.logger.Debug("old claims not removed", "error", err)
		}
	}
}

// finish waits for the background writes.
func (c *Claims) finish() {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.writers.Wait()
	}()
	select {
	case <-finished:
	case <-c.clock.After(closingWait):
		c.logger.Warn("outcomes are left that the store did not take")
	}
}

// Done is closed when Run has returned.
func (c *Claims) Done() <-chan struct{} { return c.done }

func (c *Claims) sweepPause() time.Duration {
	pause := c.retain / sweepsPerRetention / buckets * time.Duration(max(1, c.fleet()))
	return max(pause, shortestSweepPause)
}

// sweep deletes the expired rows of one bucket in transactions of a bounded
// size.
func (c *Claims) sweep(ctx context.Context, bucket int) error {
	rows, err := c.table.Scan(ctx, fmt.Sprintf("%s%0*x", RowPrefix, bucketDigits, bucket))
	if err != nil {
		return err
	}
	var writes []table.Write
	for _, row := range rows {
		held, err := decode(row)
		if err != nil || c.clock.Since(held.ClaimedAt) > c.retain {
			writes = append(writes, table.Write{Key: row.Key, Expect: row.Version, Delete: true})
		}
	}
	for len(writes) > 0 {
		n := min(len(writes), maxGroupWrites)
		if _, err := table.Commit(ctx, c.table, table.NewTx(writes[:n]...)); err != nil {
			return err
		}
		writes = writes[n:]
	}
	return nil
}
