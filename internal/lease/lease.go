// Package lease keeps a row in the table that tells which process does a
// piece of work. It only avoids that two do the same: a holder that was
// paused may go on for a while beside its successor, so the work itself must
// be safe without it.
package lease

import (
	"context"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/table"
)

// RowPrefix begins the key of every lease row.
const RowPrefix = "lease/"

const (
	// Timeout is how long a row may stay unchanged before another process
	// takes it.
	Timeout = 2500 * time.Millisecond
	// stagger keeps the candidates from taking a row at the same time.
	stagger = 500 * time.Millisecond
)

// Lease is one process's view of one row. It belongs to one goroutine.
type Lease struct {
	table  table.Table
	key    string
	holder string

	held    bool
	version int64
	changed time.Time
	renewal int64
}

// New returns a lease that is not held. holder is unique to the process's
// incarnation.
func New(t table.Table, key, holder string) *Lease {
	return &Lease{table: t, key: RowPrefix + key, holder: holder}
}

type row struct {
	Holder  string `json:"holder"`
	Renewal int64  `json:"renewal"`
}

// Held reports whether the last AcquireOrRenew found the lease held.
func (l *Lease) Held() bool { return l.held }

// AcquireOrRenew renews the lease or tries to take it, and reports whether it is held.
// Call it at least once a second. rank is this process's place among the
// candidates, the first being zero. While the store is out the lease stays
// held or not held as it was.
func (l *Lease) AcquireOrRenew(ctx context.Context, now time.Time, rank int) (bool, error) {
	if l.held {
		return l.renew(ctx)
	}
	current, err := l.table.Get(ctx, l.key)
	if err != nil {
		return false, err
	}
	if current.Version != l.version || l.changed.IsZero() {
		l.version = current.Version
		l.changed = now
	}
	wait := time.Duration(rank) * stagger
	if current.Version != 0 {
		wait += Timeout
	}
	if now.Sub(l.changed) < wait {
		return false, nil
	}
	return l.write(ctx)
}

func (l *Lease) renew(ctx context.Context) (bool, error) {
	held, err := l.write(ctx)
	if err == nil || failure.Is(err, failure.StoreUnavailable) {
		return l.held, err
	}
	if !held && failure.Is(err, failure.OutcomeUnknown) {
		err = l.reread(ctx)
	}
	return l.held, err
}

// write swaps the row. A conflict means that another process holds it.
func (l *Lease) write(ctx context.Context) (bool, error) {
	l.renewal++
	value, err := json.Marshal(row{Holder: l.holder, Renewal: l.renewal})
	if err != nil {
		return false, errors.Wrap(err, "encode lease")
	}
	version, err := table.Commit(ctx, l.table, table.NewTx(table.Write{Key: l.key, Expect: l.version, Value: value}))
	if failure.Is(err, failure.Conflict) {
		l.held = false
		l.changed = time.Time{}
		return false, nil
	}
	if err != nil {
		return false, err
	}
	l.held = true
	l.version = version
	return true, nil
}

// reread settles a renewal whose outcome is unknown.
func (l *Lease) reread(ctx context.Context) error {
	current, err := l.table.Get(ctx, l.key)
	if err != nil {
		return err
	}
	var r row
	if current.Version != 0 {
		if err := json.Unmarshal(current.Value, &r); err != nil {
			return failure.Wrap(failure.Internal, err, "decode lease %s", l.key)
		}
	}
	l.held = r.Holder == l.holder
	l.version = current.Version
	l.changed = time.Time{}
	return nil
}

// Release gives a held lease up, so that another process takes it at once.
func (l *Lease) Release(ctx context.Context) error {
	if !l.held {
		return nil
	}
	l.held = false
	l.changed = time.Time{}
	_, err := table.Commit(ctx, l.table, table.NewTx(table.Write{Key: l.key, Expect: l.version, Delete: true}))
	return err
}
