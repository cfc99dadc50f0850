// Package configstore reads and publishes the configuration in the platform's
// service. An edit and, from time to time, a whole snapshot lie as immutable
// objects in the object store; the head, the history and the ids of all edits
// are rows of the table that one transaction writes.
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

// Client reads and publishes configurations. Its methods may be called
// at the same time.
type Client struct {
	table   table.Table
	objects objectstore.Store
	clock   clockwork.Clock
	known   func() *revision.Snapshot
}

// New returns a publication over the platform's table and object store. known
// returns a snapshot that the process holds already; reads replay the edits
// since that one where they can.
func New(t table.Table, objects objectstore.Store, known func() *revision.Snapshot, clock clockwork.Clock) *Client {
	return &Client{table: t, objects: objects, known: known, clock: clock}
}

// Head returns the head; revision zero before the first edit. The error is
// StoreUnavailable.
func (c *Client) Head(ctx context.Context) (head.Head, error) {
	return head.Read(ctx, c.table)
}

// Snapshot returns the snapshot that h names.
func (c *Client) Snapshot(ctx context.Context, h head.Head) (*revision.Snapshot, error) {
	s := c.known()
	if s.Revision == h.Revision {
		return s, nil
	}
	if s.Revision > h.Revision || s.Revision < h.ObjectRevision {
		var err error
		if s, err = c.whole(ctx, h.Object, h.ObjectRevision); err != nil {
			return nil, err
		}
	}
	records, err := c.Records(ctx, s.Revision, h)
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
func (c *Client) Records(ctx context.Context, after int64, h head.Head) ([]revision.Record, error) {
	var records []revision.Record
	for rev := after + 1; rev <= h.Revision; rev++ {
		key := h.Edit
		if rev < h.Revision {
			entry, err := c.Entry(ctx, rev)
			if err != nil {
				return nil, err
			}
			key = entry.Edit
		}
		var r revision.Record
		if err := c.read(ctx, key, &r); err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

func (c *Client) whole(ctx context.Context, key string, rev int64) (*revision.Snapshot, error) {
	s := revision.Empty()
	if rev == 0 {
		return s, nil
	}
	return s, c.read(ctx, key, s)
}

func (c *Client) read(ctx context.Context, key string, v any) error {
	data, err := c.objects.Get(ctx, key)
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
func (c *Client) Entry(ctx context.Context, rev int64) (Entry, error) {
	var entry Entry
	row, err := c.table.Get(ctx, revisionKey(rev))
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
func (c *Client) History(ctx context.Context, limit int) ([]Entry, error) {
	h, err := c.Head(ctx)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	for rev := h.Revision; rev > 0 && len(entries) < limit; rev-- {
		entry, err := c.Entry(ctx, rev)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// At returns the snapshot of an earlier revision; NotFound when there is no
// such revision.
func (c *Client) At(ctx context.Context, rev int64) (*revision.Snapshot, error) {
	if rev == 0 {
		return revision.Empty(), nil
	}
	entry, err := c.Entry(ctx, rev)
	if err != nil {
		return nil, err
	}
	return c.Snapshot(ctx, head.Head{
		Revision: rev, Digest: entry.Digest, Edit: entry.Edit,
		Object: entry.Object, ObjectRevision: entry.ObjectRevision,
	})
}

// Published returns the history's line of the edit with the given id; ok is
// false when no such edit was published.
func (c *Client) Published(ctx context.Context, id string) (entry Entry, ok bool, err error) {
	row, err := c.table.Get(ctx, editKey(id))
	if err != nil || row.Version == 0 {
		return Entry{}, false, err
	}
	var rev int64
	if err := json.Unmarshal(row.Value, &rev); err != nil {
		return Entry{}, false, failure.Wrap(failure.Internal, err, "decode edit row")
	}
	entry, err = c.Entry(ctx, rev)
	return entry, err == nil, err
}
