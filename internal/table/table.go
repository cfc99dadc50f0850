// Package table is the interface to the platform's transactional table
// service and the one safe way to write to it.
package table

import (
	"context"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
)

// Row is one row of the table. A Row with Version zero does not exist.
type Row struct {
	// Key names the row.
	Key string `json:"key"`
	// Version grows with every commit of the table; versions are never
	// used twice, not even after a delete.
	Version int64 `json:"version"`
	// AttemptID is the id of the transaction that wrote the row.
	AttemptID string `json:"attempt_id"`
	// Value is the content.
	Value []byte `json:"value"`
}

// Write is one conditional write of a transaction.
type Write struct {
	// Key names the row.
	Key string `json:"key"`
	// Expect is the version that the row must have; zero means absent.
	Expect int64 `json:"expect"`
	// Value is the new content, unless Delete is set.
	Value []byte `json:"value,omitzero"`
	// Delete removes the row.
	Delete bool `json:"delete,omitzero"`
}

// Tx is a transaction: all writes take effect, or none.
type Tx struct {
	// AttemptID is unique to the transaction and kept in each written row.
	AttemptID string `json:"attempt_id"`
	// Writes lists the conditional writes; keys must differ.
	Writes []Write `json:"writes"`
}

// NewTx returns a transaction of the given writes with a fresh attempt id.
func NewTx(writes ...Write) Tx {
	return Tx{AttemptID: uuid.NewString(), Writes: writes}
}

// Table is the platform's transactional table service. Its errors are
// failures: Conflict (nothing was written, a version differed),
// StoreUnavailable (nothing was written) and OutcomeUnknown (the answer was
// lost). All methods may be called at the same time.
type Table interface {
	// Get returns the row of key; an absent row has Version zero.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the rows whose keys begin with prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies tx and returns the version given to the written rows.
	Commit(ctx context.Context, tx Tx) (int64, error)
}

// settleAttempts bounds how often a commit with a lost answer is tried.
const settleAttempts = 3

// Commit applies tx to t and settles a lost answer: the same transaction is
// sent again, and where its condition then fails, the row is read back to see
// whether this transaction wrote it. The error is OutcomeUnknown only where
// that cannot be told, for instance because a later writer replaced the row.
func Commit(ctx context.Context, t Table, tx Tx) (int64, error) {
	version, err := t.Commit(ctx, tx)
	for attempt := 1; attempt < settleAttempts && failure.Is(err, failure.OutcomeUnknown); attempt++ {
		version, err = settle(ctx, t, tx)
	}
	return version, err
}

func settle(ctx context.Context, t Table, tx Tx) (int64, error) {
	version, err := t.Commit(ctx, tx)
	if err == nil {
		return version, nil
	}
	if !failure.Is(err, failure.Conflict) {
		return 0, unknown(err)
	}
	for _, w := range tx.Writes {
		row, err := t.Get(ctx, w.Key)
		if err != nil {
			return 0, unknown(err)
		}
		if row.Version > 0 && row.AttemptID == tx.AttemptID {
			return row.Version, nil
		}
	}
	return 0, unknown(errors.New("the row was replaced before the answer arrived"))
}

func unknown(err error) error {
	return failure.Wrap(failure.OutcomeUnknown, err, "the outcome of a table write is unknown")
}
