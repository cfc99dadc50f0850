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
	// maxGroupWrites bounds the rows of a transaction by default.
	maxGroupWrites = 256
	// maxGroupBytes bounds the content of one transaction.
	maxGroupBytes = 1 << 20
	// maxCommits bounds the transactions under way.
	maxCommits = 2
	// commitTimeout bounds one transaction with its settlement.
	commitTimeout = 6 * time.Second
)

// outcome is the result of one write.
type outcome struct {
	version int64
	err     error
}

// operation is one write that waits for its transaction.
type operation struct {
	write table.Write
	done  chan outcome
}

// group writes rows in groups: while transactions are under way, or the pace
// does not allow another, writes gather for the next one.
type group struct {
	table table.Table
	clock clockwork.Clock
	// interval is the shortest time between two transactions.
	interval time.Duration
	// most bounds the rows of one transaction.
	most int

	mu      sync.Mutex
	waiting []*operation
	commits int
	next    time.Time
}

// write submits w and returns the channel of its outcome.
func (g *group) write(w table.Write) <-chan outcome {
	op := &operation{write: w, done: make(chan outcome, 1)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = append(g.waiting, op)
	if g.commits < maxCommits {
		g.commits++
		go g.work()
	}
	return op.done
}

// work commits groups until nothing waits.
func (g *group) work() {
	for g.more() {
		g.pace()
		if ops := g.take(); len(ops) > 0 {
			g.commit(ops)
		}
	}
}

// more reports whether anything waits; when not, it ends the worker.
func (g *group) more() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) == 0 {
		g.commits--
		return false
	}
	return true
}

// pace waits until another transaction may begin.
func (g *group) pace() {
	g.mu.Lock()
	now := g.clock.Now()
	at := g.next
	if at.Before(now) {
		at = now
	}
	g.next = at.Add(g.interval)
	g.mu.Unlock()
	if wait := at.Sub(now); wait > 0 {
		g.clock.Sleep(wait)
	}
}

// take removes the next group.
func (g *group) take() []*operation {
	g.mu.Lock()
	defer g.mu.Unlock()
	keys := make(map[string]bool, len(g.waiting))
	var ops, rest []*operation
	bytes := 0
	for _, op := range g.waiting {
		size := len(op.write.Value)
		full := len(ops) == g.most || len(ops) > 0 && bytes+size > maxGroupBytes
		if full || keys[op.write.Key] {
			rest = append(rest, op)
			continue
		}
		keys[op.write.Key] = true
		bytes += size
		ops = append(ops, op)
	}
	g.waiting = rest
	return ops
}

// commit writes ops in one transaction. When a condition fails, the halves
// are written apart, so that one conflict costs a logarithmic number of
// transactions.
func (g *group) commit(ops []*operation) {
	writes := make([]table.Write, len(ops))
	for i, op := range ops {
		writes[i] = op.write
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	version, err := table.Commit(ctx, g.table, table.NewTx(writes...))
	cancel()
	if failure.Is(err, failure.Conflict) && len(ops) > 1 {
		half := len(ops) / 2
		g.commit(ops[:half])
		g.commit(ops[half:])
		return
	}
	for _, op := range ops {
		op.done <- outcome{version: version, err: err}
	}
}
