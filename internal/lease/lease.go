// Package lease assigns a piece of work to one process through a row in the
// table. A lease only avoids duplicate work and gives no mutual exclusion: a
// holder that was paused may continue for a while alongside its successor, so
// the work must be safe without the lease.
package lease

import (
	"context"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/table"
)

// RowPrefix is the prefix of the key of every lease row.
const RowPrefix = "lease/"

const (
	// Timeout is the time for which a row must stay unchanged before another
	// process takes the lease.
	Timeout = 2500 * time.Millisecond
	// stagger is the additional wait per rank, so that candidates don't compete
	// for the row.
	stagger = 500 * time.Millisecond
)

// Lease is one process's view of one lease row. It is not safe for concurrent
// use.
type Lease struct {
	table  table.Table
	key    string
	holder string

	held       bool
	version    int64
	lastChange time.Time
	renewal    int64
}

// New returns a lease that is not held yet. holder must be unique to the
// incarnation of the process.
func New(t table.Table, key, holder string) *Lease {
	return &Lease{table: t, key: RowPrefix + key, holder: holder}
}

type row struct {
	Holder  string `json:"holder"`
	Renewal int64  `json:"renewal"`
}

// Held reports whether the lease was held after the last call of
// AcquireOrRenew or Release.
func (l *Lease) Held() bool { return l.held }

// AcquireOrRenew renews a held lease or tries to acquire it, and reports whether
// it is held. It must be called at least once per second. rank is the position of
// this process among the candidates, starting at zero. While the store is
// unavailable, the lease stays held or not held as before.
func (l *Lease) AcquireOrRenew(ctx context.Context, now time.Time, rank int) (bool, error) {
	if l.held {
		return l.renew(ctx)
	}
	current, err := l.table.Get(ctx, l.key)
	if err != nil {
		return false, err
	}
	if current.Version != l.version || l.lastChange.IsZero() {
		l.version = current.Version
		l.lastChange = now
	}
	wait := time.Duration(rank) * stagger
	if current.Version != 0 {
		wait += Timeout
	}
	if now.Sub(l.lastChange) < wait {
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

// write replaces the row if its version is unchanged. A conflict means that
// another process has written it, so the lease is not held.
func (l *Lease) write(ctx context.Context) (bool, error) {
	l.renewal++
	value, err := json.Marshal(row{Holder: l.holder, Renewal: l.renewal})
	if err != nil {
		return false, errors.Wrap(err, "encode lease row")
	}
	version, err := table.Commit(ctx, l.table, table.NewTx(table.Write{Key: l.key, Expect: l.version, Value: value}))
	if failure.Is(err, failure.Conflict) {
		l.held = false
		l.lastChange = time.Time{}
		return false, nil
	}
	if err != nil {
		return false, err
	}
	l.held = true
	l.version = version
	return true, nil
}

// reread reads the row to find out whether a renewal with an unknown outcome
// took effect.
func (l *Lease) reread(ctx context.Context) error {
	current, err := l.table.Get(ctx, l.key)
	if err != nil {
		return err
	}
	var r row
	if current.Version != 0 {
		if err := json.Unmarshal(current.Value, &r); err != nil {
			return failure.Wrap(failure.Internal, err, "decode lease row %s", l.key)
		}
	}
	l.held = r.Holder == l.holder
	l.version = current.Version
	l.lastChange = time.Time{}
	return nil
}

// Release deletes the row of a held lease, so that another process can acquire
// it without waiting for Timeout.
func (l *Lease) Release(ctx context.Context) error {
	if !l.held {
		return nil
	}
	l.held = false
	l.lastChange = time.Time{}
	_, err := table.Commit(ctx, l.table, table.NewTx(table.Write{Key: l.key, Expect: l.version, Delete: true}))
	return err
}
