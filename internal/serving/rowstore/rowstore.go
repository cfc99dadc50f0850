// Package rowstore is the interface to the platform's transactional store, which
// holds all state that needs agreement between VMs or durability.
package rowstore

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Table identifies a table of the store.
type Table int

// Tables of the store.
const (
	// Policies holds the operator's configuration; it is read-only.
	Policies Table = iota
	// Targets holds one row for each live target; it is read-only.
	Targets
	// Members holds one row for each VM of this system.
	Members
	// Duties holds the row of the VM that may send orders to engines, see package
	// election.
	Duties
)

// PolicyKey is the key of the row of Policies with the configuration in force.
const PolicyKey = "policy"

// EvacuationPrefix begins the keys of the rows of Policies that evacuate a data centre: the
// rest of the key is its name. The value has no meaning.
const EvacuationPrefix = "evacuation:"

// Row is a row of a table.
type Row struct {
	// Key identifies the row within its table.
	Key string
	// Value is the content, nil for a deleted row.
	Value []byte
	// Version increases with every transaction of the store, also over its restorations
	// from copies; see VersionAt. Zero means absent.
	Version int64
	// Deleted is true for a row that a change has deleted.
	Deleted bool
}

// Page is the result of a read.
type Page struct {
	// Rows are all rows of a table, or only the changed ones.
	Rows []Row
	// Version is the newest version that the result covers.
	Version int64
	// Time is the reading of the store's monotonic clock.
	Time time.Duration
}

// Copy is a VM's copy of a table, or what has changed in it.
type Copy struct {
	Page
	// Complete is set if the rows are all rows of the table, except for those in Doubted.
	Complete bool
	// Doubted has the rows that the VM leaves out of a complete copy for now, since a
	// restoration of the store has brought them back.
	Doubted []Row
	// Held has the keys of rows that the store has deleted and that the VM keeps for now,
	// since an outage may be the reason.
	Held []string
	// ChangedAt is the version of the newest change that the VM knows of.
	ChangedAt int64
	// Age is the time since the last answer of the store that the copy holds.
	Age time.Duration
	// Source is the peer that has sent the copy.
	Source netip.AddrPort
}

// numberBits is the number of bits of a version that hold the transaction's number. With
// the epoch above them, versions up to epoch 8191 are exact in floating point.
const numberBits = 40

// VersionAt returns the version of the transaction with a number in an epoch of the store.
// The store numbers its transactions; when it is restored from a copy, its epoch rises and
// its numbers go back. A version of a later epoch is higher than all of the earlier ones.
func VersionAt(epoch, number int64) int64 { return epoch<<numberBits + number }

// Epoch returns the epoch of a version; zero for a store that names none.
func Epoch(version int64) int64 { return version >> numberBits }

// Number returns the number of a version's transaction within its epoch.
func Number(version int64) int64 { return version & (1<<numberBits - 1) }

// Write is a conditional write or deletion of a row.
type Write struct {
	// Table and Key identify the row.
	Table Table
	Key   string
	// Expect is the version that the row must have. Zero means that the row must
	// not exist, AnyVersion that there is no condition.
	Expect int64
	// Value is the new content, unless Delete is set.
	Value  []byte
	Delete bool
}

// AnyVersion makes a write unconditional.
const AnyVersion = -1

// Result is the store's answer to a transaction.
type Result struct {
	// Applied is false if a row did not have the expected version.
	Applied bool
	// Version is the version of the written rows.
	Version int64
	// Current lists the rows of the conditions if nothing was applied.
	Current []Row
	// Time is the reading of the store's monotonic clock.
	Time time.Duration
}

// Errors of calls to the store.
var (
	// ErrHistoryTruncated means that the store no longer has the changes after the
	// version; the table must be listed again.
	ErrHistoryTruncated = errors.New("store history no longer covers the requested version")
	// ErrRefused means that the store has rejected the call and changed nothing.
	ErrRefused = errors.New("store refused the call")
	// ErrUnanswered means that the outcome is unknown: the call may have been
	// executed, or may still be.
	ErrUnanswered = errors.New("store did not answer")
	// ErrRestored means that the store was restored from a copy after the version that a
	// write expects. The condition may have held by chance, and the write been applied.
	ErrRestored = errors.New("store was restored from a copy since the expected version")
)

// Store is the platform's store. It is safe for concurrent use.
type Store interface {
	// List returns a consistent snapshot of all rows of a table.
	List(ctx context.Context, t Table) (Page, error)
	// Follow returns the changes of a table after a version. Without changes it
	// blocks until the first one, for at most wait. It returns ErrHistoryTruncated for
	// a version of an earlier epoch.
	Follow(ctx context.Context, t Table, after int64, wait time.Duration) (Page, error)
	// Write atomically applies all writes or none.
	Write(ctx context.Context, writes ...Write) (Result, error)
}
