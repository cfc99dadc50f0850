// Package table defines the interface of the platform's transactional table service.
// Write to the table with the function Commit, which also handles lost answers.
package table

import (
	"context"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
)

// Row is a row of the table. Version zero means that the row does not exist.
type Row struct {
	// Key identifies the row.
	Key string `json:"key"`
	// Version increases with every commit to the table and is never reused, not
	// even after a deletion.
	Version int64 `json:"version"`
	// AttemptID is the ID of the transaction that wrote the row.
	AttemptID string `json:"attempt_id"`
	// Value is the content.
	Value []byte `json:"value"`
}

// Write is one conditional write of a transaction.
type Write struct {
	// Key identifies the row.
	Key string `json:"key"`
	// Expect is the version that the row must have; zero means that it must not
	// exist.
	Expect int64 `json:"expect"`
	// Value is the new content; unused if Delete is set.
	Value []byte `json:"value,omitzero"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"delete,omitzero"`
}

// Tx is an atomic transaction: either all writes take effect or none.
type Tx struct {
	// AttemptID is unique to the transaction and stored in each written row.
	AttemptID string `json:"attempt_id"`
	// Writes lists the conditional writes; their keys must be distinct.
	Writes []Write `json:"writes"`
}

// NewTx returns a transaction of the given writes with a new attempt ID.
func NewTx(writes ...Write) Tx {
	return Tx{AttemptID: uuid.NewString(), Writes: writes}
}

// Table is the platform's transactional table service. Its errors are failures of
// these kinds: Conflict (a version differed and nothing was written),
// StoreUnavailable (nothing was written) and OutcomeUnknown (the answer was lost).
// All methods are safe for concurrent use.
type Table interface {
	// Get returns the row with the given key; its Version is zero if it does not
	// exist.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the rows whose keys begin with prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies tx and returns the version of the written rows.
	Commit(ctx context.Context, tx Tx) (int64, error)
}

// commitAttempts limits the attempts of a commit whose answer is lost.
const commitAttempts = 3

// Commit applies tx to t. If the answer is lost, Commit sends the same transaction
// again; if a condition then fails, it reads the rows and checks by the attempt ID
// whether this transaction has written them. The error is OutcomeUnknown only if the
// outcome cannot be determined, for example because a later transaction has replaced
// the rows.
func Commit(ctx context.Context, t Table, tx Tx) (int64, error) {
	version, err := t.Commit(ctx, tx)
	for attempt := 1; attempt < commitAttempts && failure.Is(err, failure.OutcomeUnknown); attempt++ {
		version, err = resolve(ctx, t, tx)
	}
	return version, err
}

func resolve(ctx context.Context, t Table, tx Tx) (int64, error) {
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
	return 0, unknown(errors.New("no row contains the attempt ID of the transaction"))
}

func unknown(err error) error {
	return failure.Wrap(failure.OutcomeUnknown, err, "the outcome of a table write is unknown")
}
