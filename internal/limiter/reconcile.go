package limiter

import (
	"context"
	"time"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/share"
	"fireflypier.example/fireflypier/internal/table"
)

// maxSwaps bounds the swaps of one row in one reconciliation, and the attempts
// to hand over a share.
const maxSwaps = 3

// reconcileDue reports whether the row may have to be read or swapped. It also
// calls Usable regularly, which records the time of the last quorum.
func (cu *customer) reconcileDue() bool {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	now := cu.now()
	cu.share.Usable(now)
	if cu.share.Parts() > 0 || cu.share.Pending() {
		return true
	}
	return cu.share.Demand(now) > 0 || len(cu.waiters) > 0
}

// readDue reports whether the row has to be read. A gateway without parts gets
// newer rows with the replies to its pulls and reads less often.
func (cu *customer) readDue() bool {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if _, read := cu.share.Version(); !read || cu.share.Pending() || cu.holderUnreachable {
		cu.holderUnreachable = false
		return true
	}
	interval := nonHolderReadInterval
	if cu.share.Parts() > 0 {
		interval = holderReadInterval
	}
	return cu.now().Sub(cu.share.ReadAt()) >= interval
}

// reconcile reads the row if that is due and executes the swaps that the share
// proposes.
func (cu *customer) reconcile(ctx context.Context) {
	cu.rowMu.Lock()
	defer cu.rowMu.Unlock()
	if cu.readDue() && !cu.read(ctx) {
		return
	}
	for range maxSwaps {
		if !cu.swap(ctx) {
			return
		}
	}
}

// read reads the row from the store and reports whether that succeeded.
func (cu *customer) read(ctx context.Context) bool {
	readAt := cu.now()
	cu.limiter.metrics.reads.Inc()
	row, err := cu.limiter.config.Table.Get(ctx, share.RowPrefix+cu.name)
	if err != nil {
		cu.limiter.config.Logger.Debug("share row not read", "customer", cu.name, "error", err)
		return false
	}
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.observe(row.Value, row.Version, readAt)
	return true
}

// swap executes the swap that the share proposes, if any. again reports whether
// another swap may follow at once.
func (cu *customer) swap(ctx context.Context) (again bool) {
	cu.mu.Lock()
	p, ok := cu.share.Propose(cu.now())
	cu.mu.Unlock()
	if !ok {
		return false
	}
	value, err := p.Row.Encode()
	outcome, version := share.NotWritten, int64(0)
	if err == nil {
		cu.limiter.metrics.swaps.Inc()
		version, err = table.Commit(ctx, cu.limiter.config.Table,
			table.NewTx(table.Write{Key: share.RowPrefix + cu.name, Expect: p.Expect, Value: value}))
		outcome = outcomeOf(err)
	}
	cu.mu.Lock()
	cu.share.Resolve(outcome, version, cu.now())
	cu.mu.Unlock()
	if outcome == share.Written {
		return true
	}
	cu.limiter.config.Logger.Debug("share row not swapped", "customer", cu.name, "error", err)
	return cu.read(ctx)
}

// outcomeOf returns the outcome of a swap whose commit returned err.
func outcomeOf(err error) share.Outcome {
	switch {
	case err == nil:
		return share.Written
	case failure.Is(err, failure.Conflict), failure.Is(err, failure.StoreUnavailable):
		return share.NotWritten
	}
	return share.Unknown
}

// release hands over the share, with up to maxSwaps attempts.
func (cu *customer) release(ctx context.Context) {
	cu.mu.Lock()
	cu.share.Leave()
	cu.mu.Unlock()
	for range maxSwaps {
		cu.reconcile(ctx)
		cu.mu.Lock()
		held := cu.share.Parts() > 0 || cu.share.Pending()
		cu.mu.Unlock()
		if !held {
			return
		}
		timer := cu.limiter.config.Clock.NewTimer(releaseRetryInterval)
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// releaseRetryInterval is the time between two attempts to hand over a share.
const releaseRetryInterval = 200 * time.Millisecond
