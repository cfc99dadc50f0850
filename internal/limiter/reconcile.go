package limiter

import (
	"context"
	"time"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/share"
	"fireflypier.example/fireflypier/internal/table"
)

// swapsAtOnce bounds the swaps of one row in one reconciliation.
const swapsAtOnce = 3

// due reports whether the row may have to be read or swapped now.
func (cu *customer) due() bool {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	now := cu.now()
	cu.share.Usable(now)
	if cu.share.Parts() > 0 || cu.share.Pending() {
		return true
	}
	return cu.share.Demand(now) > 0 || len(cu.waiters) > 0
}

// readDue reports whether the row has to be read. A gateway without a share
// learns of moves from the answers to its pulls and reads rarely.
func (cu *customer) readDue() bool {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if _, read := cu.share.Version(); !read || cu.share.Pending() || cu.lost {
		cu.lost = false
		return true
	}
	interval := otherReadInterval
	if cu.share.Parts() > 0 {
		interval = holderReadInterval
	}
	return cu.now().Sub(cu.share.ReadAt()) >= interval
}

// reconcile reads the row when that is due and swaps it when the share asks
// for it.
func (cu *customer) reconcile(ctx context.Context) {
	cu.swapping.Lock()
	defer cu.swapping.Unlock()
	if cu.readDue() && !cu.read(ctx) {
		return
	}
	for range swapsAtOnce {
		if !cu.swap(ctx) {
			return
		}
	}
}

// read reads the row and reports whether it could.
func (cu *customer) read(ctx context.Context) bool {
	begun := cu.now()
	cu.limiter.counts.reads.Inc()
	row, err := cu.limiter.parts.Table.Get(ctx, share.RowPrefix+cu.name)
	if err != nil {
		cu.limiter.parts.Logger.Debug("share row not read", "customer", cu.name, "error", err)
		return false
	}
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.observe(row.Value, row.Version, begun)
	return true
}

// swap makes the swap that the share proposes, if any, and reports whether
// another may follow at once.
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
		cu.limiter.counts.swaps.Inc()
		version, err = table.Commit(ctx, cu.limiter.parts.Table,
			table.NewTx(table.Write{Key: share.RowPrefix + cu.name, Expect: p.Expect, Value: value}))
		outcome = outcomeOf(err)
	}
	cu.mu.Lock()
	cu.share.Resolve(outcome, version, cu.now())
	cu.mu.Unlock()
	if outcome == share.Written {
		return true
	}
	cu.limiter.parts.Logger.Debug("share row not swapped", "customer", cu.name, "error", err)
	return cu.read(ctx)
}

// outcomeOf tells what an error of a commit says about the swap.
func outcomeOf(err error) share.Outcome {
	switch {
	case err == nil:
		return share.Written
	case failure.Is(err, failure.Conflict), failure.Is(err, failure.StoreUnavailable):
		return share.NotWritten
	}
	return share.Unknown
}

// release gives the share away; a swap that fails is tried again.
func (cu *customer) release(ctx context.Context) {
	cu.mu.Lock()
	cu.share.Leave()
	cu.mu.Unlock()
	for range swapsAtOnce {
		cu.reconcile(ctx)
		cu.mu.Lock()
		held := cu.share.Parts() > 0 || cu.share.Pending()
		cu.mu.Unlock()
		if !held {
			return
		}
		timer := cu.limiter.parts.Clock.NewTimer(releaseInterval)
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// releaseInterval is the time between two tries to give a share away.
const releaseInterval = 200 * time.Millisecond
