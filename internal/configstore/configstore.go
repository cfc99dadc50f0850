// Package configstore reads and publishes the configuration. Edits, and a whole
// snapshot at intervals, are immutable objects in the platform's object store. The
// head, the history and the IDs of all edits are rows of the platform's table that
// one transaction writes.
package configstore

import (
	"context"
	"fmt"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/head"
	"fireflypier.example/fireflypier/internal/objectstore"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/table"
)

const (
	// publishAttempts limits the attempts to merge an edit while the head is
	// changed concurrently.
	publishAttempts = 16
	// snapshotInterval is the number of revisions between two stored snapshots.
	// It limits the number of edits that a starting process replays.
	snapshotInterval = 32
)

// Entry describes one revision in the history.
type Entry struct {
	// Revision and Digest identify the snapshot.
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// EditID, Author and Time describe the edit that created the revision.
	EditID string    `json:"edit_id"`
	Author string    `json:"author,omitzero"`
	Time   time.Time `json:"time"`
	// Edit is the object key of the edit. Object and ObjectRevision are the object
	// key and the revision of the latest stored snapshot.
	Edit           string `json:"edit"`
	Object         string `json:"object"`
	ObjectRevision int64  `json:"object_revision"`
}

// Repository reads and publishes configurations. Its methods are safe for concurrent
// use.
type Repository struct {
	table   table.Table
	objects objectstore.Store
	clock   clockwork.Clock
	cached  func() *revision.Snapshot
}

// New returns a repository in the platform's table and object store. cached returns a
// snapshot that the process already has in memory; reads replay only the edits since
// that snapshot where possible.
func New(t table.Table, objects objectstore.Store, cached func() *revision.Snapshot, clock clockwork.Clock) *Repository {
	return &Repository{table: t, objects: objects, cached: cached, clock: clock}
}

// Head returns the head, whose revision is zero before the first edit. The error is
// StoreUnavailable, or Internal if the row cannot be decoded.
func (repo *Repository) Head(ctx context.Context) (head.Head, error) {
	return head.Read(ctx, repo.table)
}

// Snapshot returns the snapshot that h refers to.
func (repo *Repository) Snapshot(ctx context.Context, h head.Head) (*revision.Snapshot, error) {
	s := repo.cached()
	if s.Revision == h.Revision {
		return s, nil
	}
	if s.Revision > h.Revision || s.Revision < h.ObjectRevision {
		var err error
		if s, err = repo.storedSnapshot(ctx, h.Object, h.ObjectRevision); err != nil {
			return nil, err
		}
	}
	records, err := repo.Records(ctx, s.Revision, h)
	if err != nil {
		return nil, err
	}
	for i := range records {
		if s, err = s.Replay(&records[i]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Records returns the edits from the revision after the given one up to that of h.
func (repo *Repository) Records(ctx context.Context, after int64, h head.Head) ([]revision.Record, error) {
	var records []revision.Record
	for rev := after + 1; rev <= h.Revision; rev++ {
		key := h.Edit
		if rev < h.Revision {
			entry, err := repo.Entry(ctx, rev)
			if err != nil {
				return nil, err
			}
			key = entry.Edit
		}
		var r revision.Record
		if err := repo.read(ctx, key, &r); err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// storedSnapshot returns the snapshot stored under key, or the empty snapshot for
// revision zero.
func (repo *Repository) storedSnapshot(ctx context.Context, key string, rev int64) (*revision.Snapshot, error) {
	s := revision.Empty()
	if rev == 0 {
		return s, nil
	}
	return s, repo.read(ctx, key, s)
}

func (repo *Repository) read(ctx context.Context, key string, v any) error {
	data, err := repo.objects.Get(ctx, key)
	if err != nil {
		return err
	}
	if err := document.Unmarshal(data, v); err != nil {
		return failure.Wrap(failure.Internal, err, "decode object %s", key)
	}
	return nil
}

func revisionKey(rev int64) string { return fmt.Sprintf("config/revision/%d", rev) }

func editKey(id string) string { return "config/edit/" + id }

// Entry returns the history entry of a revision. The error is NotFound if the
// revision does not exist.
func (repo *Repository) Entry(ctx context.Context, rev int64) (Entry, error) {
	var entry Entry
	row, err := repo.table.Get(ctx, revisionKey(rev))
	if err != nil {
		return entry, err
	}
	if row.Version == 0 {
		return entry, failure.New(failure.NotFound, "revision %d does not exist", rev)
	}
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return entry, failure.Wrap(failure.Internal, err, "decode revision row")
	}
	return entry, nil
}

// History returns up to limit of the latest history entries, newest first.
func (repo *Repository) History(ctx context.Context, limit int) ([]Entry, error) {
	h, err := repo.Head(ctx)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	for rev := h.Revision; rev > 0 && len(entries) < limit; rev-- {
		entry, err := repo.Entry(ctx, rev)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// At returns the snapshot of an earlier revision. The error is NotFound if the
// revision does not exist.
func (repo *Repository) At(ctx context.Context, rev int64) (*revision.Snapshot, error) {
	if rev == 0 {
		return revision.Empty(), nil
	}
	entry, err := repo.Entry(ctx, rev)
	if err != nil {
		return nil, err
	}
	return repo.Snapshot(ctx, head.Head{
		Revision: rev, Digest: entry.Digest, Edit: entry.Edit,
		Object: entry.Object, ObjectRevision: entry.ObjectRevision,
	})
}

// Published returns the history entry of the edit with the given ID; ok is false if
// no such edit has been published.
func (repo *Repository) Published(ctx context.Context, id string) (entry Entry, ok bool, err error) {
	row, err := repo.table.Get(ctx, editKey(id))
	if err != nil || row.Version == 0 {
		return Entry{}, false, err
	}
	var rev int64
	if err := json.Unmarshal(row.Value, &rev); err != nil {
		return Entry{}, false, failure.Wrap(failure.Internal, err, "decode edit row")
	}
	entry, err = repo.Entry(ctx, rev)
	return entry, err == nil, err
}
