package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"fireflypier.example/fireflypier/internal/table"
)

const (
	// buckets is the number of buckets of rows; each sweep covers one bucket.
	buckets = 1 << (4 * bucketDigits)
	// sweepsPerRetention is the approximate number of sweeps of a bucket, by all
	// gateways together, within the retention.
	sweepsPerRetention = 4
	minSweepInterval   = 50 * time.Millisecond
	// shutdownTimeout is the maximum wait for background writes at the end of Run.
	shutdownTimeout = 10 * time.Second
)

// Run removes old rows until ctx is done, and then waits up to shutdownTimeout for
// outcomes that are being recorded. It must be called only once. The number of
// sweeps of a row within the retention does not depend on the number of gateways.
func (c *Claims) Run(ctx context.Context) {
	defer close(c.done)
	defer c.finish()
	for {
		select {
		case <-c.clock.After(jitter(2 * c.sweepInterval())):
		case <-ctx.Done():
			return
		}
		if err := c.sweep(ctx, rand.IntN(buckets)); err != nil {
			c.logger.Debug("could not remove old claims", "error", err)
		}
	}
}

// finish waits for the background writes, up to shutdownTimeout.
func (c *Claims) finish() {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.writers.Wait()
	}()
	select {
	case <-finished:
	case <-c.clock.After(shutdownTimeout):
		c.logger.Warn("shutting down with unrecorded outcomes")
	}
}

// Done is closed when Run has returned.
func (c *Claims) Done() <-chan struct{} { return c.done }

func (c *Claims) sweepInterval() time.Duration {
	interval := c.retention / sweepsPerRetention / buckets * time.Duration(max(1, c.gateways()))
	return max(interval, minSweepInterval)
}

// sweep deletes the expired and the undecodable rows of one bucket, at most
// maxBatchWrites per transaction.
func (c *Claims) sweep(ctx context.Context, bucket int) error {
	rows, err := c.table.Scan(ctx, fmt.Sprintf("%s%0*x", RowPrefix, bucketDigits, bucket))
	if err != nil {
		return err
	}
	var writes []table.Write
	for _, row := range rows {
		recorded, err := decode(row)
		if err != nil || c.clock.Since(recorded.ClaimedAt) > c.retention {
			writes = append(writes, table.Write{Key: row.Key, Expect: row.Version, Delete: true})
		}
	}
	for len(writes) > 0 {
		n := min(len(writes), maxBatchWrites)
		if _, err := table.Commit(ctx, c.table, table.NewTx(writes[:n]...)); err != nil {
			return err
		}
		writes = writes[n:]
	}
	return nil
}
