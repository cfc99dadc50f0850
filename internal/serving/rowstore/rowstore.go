// Package rowstore is the interface to the platform's transactional store,
// which keeps everything that is agreed or must last.
package rowstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Table names a table of the store.
type Table int

// The tables.
const (
	// Policies holds the operator's configuration; it is read only.
	Policies Table = iota
	// Targets holds one row for each live target; it is read only.
	Targets
	// Members holds one row for each VM of this system.
	Members
	// Duties tells which VM may give orders.
	Duties
)

// PolicyKey is the row of Policies that holds the configuration in force.
const PolicyKey = "policy"

// Row is one row.
type Row struct {
	// Key names the row within its table.
	Key string
	// Value is the content; nil for a deleted row.
	Value []byte
	// Version grows with every transaction of the store; zero means absent.
	Version int64
	// Deleted marks a row that a change has dropped.
	Deleted bool
}

// Page is the answer to a read.
type Page struct {
	// Rows are all rows of a listing, or the rows that changed.
	Rows []Row
	// Version is the newest version that the answer covers.
	Version int64
	// Time is the store's steady clock.
	Time time.Duration
}

// Write is one conditional change of a row.
type Write struct {
	// Table and Key name the row.
	Table Table
	Key   string
	// Expect is the version that the row must have; zero means absent, and
	// AnyVersion makes no condition.
	Expect int64
	// Value is the new content, unless Delete is set.
	Value  []byte
	Delete bool
}

// AnyVersion makes a write unconditional.
const AnyVersion = -1

// Result is the outcome of a transaction that the store has answered.
type Result struct {
	// Applied is false when a row had another version than expected.
	Applied bool
	// Version is the version of the written rows.
	Version int64
	// Current lists the rows of the conditions when nothing was applied.
	Current []Row
	// Time is the store's steady clock.
	Time time.Duration
}

// The failures of calls.
var (
	// ErrHistoryTruncated means that changes after the version are no longer
	// known; the table must be listed again.
	ErrHistoryTruncated = errors.New("the store no longer has the changes asked for")
	// ErrRefused means that the store has turned the call away: nothing was
	// done.
	ErrRefused = errors.New("the store turned the call away")
	// ErrUnanswered means that the call may have been carried out, or may
	// still be.
	ErrUnanswered = errors.New("the store did not answer")
)

// Store is the platform's store. Its methods may be called at the same time.
type Store interface {
	// List returns all rows of a table as of one moment.
	List(ctx context.Context, t Table) (Page, error)
	// Follow returns the changes of a table after a version; it waits for
	// the first one, at most for wait.
	Follow(ctx context.Context, t Table, after int64, wait time.Duration) (Page, error)
	// Write applies all writes or none.
	Write(ctx context.Context, writes ...Write) (Result, error)
}
