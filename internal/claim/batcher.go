package claim

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/table"
)

const (
	// maxBatchWrites is the default maximum number of rows in a transaction.
	maxBatchWrites = 256
	// maxBatchBytes is the maximum total size of the values in a transaction of
	// more than one row.
	maxBatchBytes = 1 << 20
	// maxCommits is the maximum number of concurrent transactions.
	maxCommits = 2
	// commitTimeout limits the time of a transaction, including the retries and
	// reads that determine an unknown outcome.
	commitTimeout = 6 * time.Second
)

// outcome is the result of one write.
type outcome struct {
	version int64
	err     error
}

// pendingWrite is a write that waits for its transaction.
type pendingWrite struct {
	write table.Write
	done  chan outcome
}

// batcher combines writes into transactions (group commit): writes accumulate for
// the next transaction while earlier ones are in progress or the interval has not
// passed.
type batcher struct {
	table table.Table
	clock clockwork.Clock
	// interval is the minimum time between the starts of two transactions.
	interval time.Duration
	// maxWrites is the maximum number of rows in a transaction.
	maxWrites int

	mu        sync.Mutex
	waiting   []*pendingWrite
	commits   int
	nextStart time.Time
}

// write queues w and returns a channel that receives its outcome.
func (b *batcher) write(w table.Write) <-chan outcome {
	op := &pendingWrite{write: w, done: make(chan outcome, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, op)
	if b.commits < maxCommits {
		b.commits++
		go b.run()
	}
	return op.done
}

// run commits batches until no write is waiting.
func (b *batcher) run() {
	for b.hasWork() {
		b.pace()
		if ops := b.nextBatch(); len(ops) > 0 {
			b.commit(ops)
		}
	}
}

// hasWork reports whether a write is waiting; if not, it deregisters the worker.
func (b *batcher) hasWork() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.commits--
		return false
	}
	return true
}

// pace waits until the next transaction may start.
func (b *batcher) pace() {
	b.mu.Lock()
	now := b.clock.Now()
	at := b.nextStart
	if at.Before(now) {
		at = now
	}
	b.nextStart = at.Add(b.interval)
	b.mu.Unlock()
	if wait := at.Sub(now); wait > 0 {
		b.clock.Sleep(wait)
	}
}

// nextBatch removes the writes of the next transaction from the queue. It takes
// at most one write per key.
func (b *batcher) nextBatch() []*pendingWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := make(map[string]bool, len(b.waiting))
	var ops, rest []*pendingWrite
	bytes := 0
	for _, op := range b.waiting {
		size := len(op.write.Value)
		full := len(ops) == b.maxWrites || len(ops) > 0 && bytes+size > maxBatchBytes
		if full || keys[op.write.Key] {
			rest = append(rest, op)
			continue
		}
		keys[op.write.Key] = true
		bytes += size
		ops = append(ops, op)
	}
	b.waiting = rest
	return ops
}

// commit writes ops in one transaction. If a condition fails, it commits both
// halves separately, so that one conflict costs a logarithmic number of
// transactions.
func (b *batcher) commit(ops []*pendingWrite) {
	writes := make([]table.Write, len(ops))
	for i, op := range ops {
		writes[i] = op.write
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	version, err := table.Commit(ctx, b.table, table.NewTx(writes...))
	cancel()
	if failure.Is(err, failure.Conflict) && len(ops) > 1 {
		half := len(ops) / 2
		b.commit(ops[:half])
		b.commit(ops[half:])
		return
	}
	for _, op := range ops {
		op.done <- outcome{version: version, err: err}
	}
}
