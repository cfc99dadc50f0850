// Package publication reads and publishes the configuration in the platform's
// service. An edit and, from time to time, a whole snapshot lie as immutable
// objects in the object store; the head, the history and the ids of all edits
// are rows of the table that one transaction writes.
package publication

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
	// publishAttempts bounds how often an edit is merged again after another
	// edit has moved the head.
	publishAttempts = 16
	// snapshotInterval is the number of revisions from one stored snapshot
	// to the next, and so bounds the edits that a fresh process replays.
	snapshotInterval = 32
)

// Entry is one line of the history.
type Entry struct {
	// Revision and Digest name the snapshot.
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// EditID and Author tell which edit made the revision, Time when.
	EditID string    `json:"edit_id"`
	Author string    `json:"author,omitzero"`
	Time   time.Time `json:"time"`
	// Edit is the key of the edit; Object and ObjectRevision tell the last
	// whole snapshot.
	Edit           string `json:"edit"`
	Object         string `json:"object"`
	ObjectRevision int64  `json:"object_revision"`
}

// Publication reads and publishes configurations. Its methods may be called
// at the same time.
type Publication struct {
	table   table.Table
	objects objectstore.Store
	clock   clockwork.Clock
	known   func() *revision.Snapshot
}

// New returns a publication over the platform's table and object store. known
// returns a snapshot that the process holds already; reads replay the edits
// since that one where they can.
func New(t table.Table, objects objectstore.Store, known func() *revision.Snapshot, clock clockwork.Clock) *Publication {
	return &Publication{table: t, objects: objects, known: known, clock: clock}
}

// Head returns the head; revision zero before the first edit. The error is
// StoreUnavailable.
func (p *Publication) Head(ctx context.Context) (head.Head, error) {
	return head.Read(ctx, p.table)
}

// Snapshot returns the snapshot that h names.
func (p *Publication) Snapshot(ctx context.Context, h head.Head) (*revision.Snapshot, error) {
	s := p.known()
	if s.Revision == h.Revision {
		return s, nil
	}
	if s.Revision > h.Revision || s.Revision < h.ObjectRevision {
		var err error
		if s, err = p.whole(ctx, h.Object, h.ObjectRevision); err != nil {
			return nil, err
		}
	}
	records, err := p.Records(ctx, s.Revision, h)
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

// Records returns the edits after a revision up to the one that h names.
func (p *Publication) Records(ctx context.Context, after int64, h head.Head) ([]revision.Record, error) {
	var records []revision.Record
	for rev := after + 1; rev <= h.Revision; rev++ {
		key := h.Edit
		if rev < h.Revision {
			entry, err := p.Entry(ctx, rev)
			if err != nil {
				return nil, err
			}
			key = entry.Edit
		}
		var r revision.Record
		if err := p.read(ctx, key, &r); err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

func (p *Publication) whole(ctx context.Context, key string, rev int64) (*revision.Snapshot, error) {
	s := revision.Empty()
	if rev == 0 {
		return s, nil
	}
	return s, p.read(ctx, key, s)
}

func (p *Publication) read(ctx context.Context, key string, v any) error {
	data, err := p.objects.Get(ctx, key)
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

// Entry returns the history's line of a revision; NotFound when there is no
// such revision.
func (p *Publication) Entry(ctx context.Context, rev int64) (Entry, error) {
	var entry Entry
	row, err := p.table.Get(ctx, revisionKey(rev))
	if err != nil {
		return entry, err
	}
	if row.Version == 0 {
		return entry, failure.New(failure.NotFound, "there is no revision %d", rev)
	}
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return entry, failure.Wrap(failure.Internal, err, "decode revision row")
	}
	return entry, nil
}

// History returns the latest lines of the history, newest first, at most
// limit.
func (p *Publication) History(ctx context.Context, limit int) ([]Entry, error) {
	h, err := p.Head(ctx)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	for rev := h.Revision; rev > 0 && len(entries) < limit; rev-- {
		entry, err := p.Entry(ctx, rev)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// At returns the snapshot of an earlier revision; NotFound when there is no
// such revision.
func (p *Publication) At(ctx context.Context, rev int64) (*revision.Snapshot, error) {
	if rev == 0 {
		return revision.Empty(), nil
	}
	entry, err := p.Entry(ctx, rev)
	if err != nil {
		return nil, err
	}
	return p.Snapshot(ctx, head.Head{
		Revision: rev, Digest: entry.Digest, Edit: entry.Edit,
		Object: entry.Object, ObjectRevision: entry.ObjectRevision,
	})
}

// Published returns the history's line of the edit with the given id; ok is
// false when no such edit was published.
func (p *Publication) Published(ctx context.Context, id string) (entry Entry, ok bool, err error) {
	row, err := p.table.Get(ctx, editKey(id))
	if err != nil || row.Version == 0 {
		return Entry{}, false, err
	}
	var rev int64
	if err := json.Unmarshal(row.Value, &rev); err != nil {
		return Entry{}, false, failure.Wrap(failure.Internal, err, "decode edit row")
	}
	entry, err = p.Entry(ctx, rev)
	return entry, err == nil, err
}
