// Package publication reads and swaps the head of the configuration in the
// platform's service: immutable snapshots in the object store, one head row
// in the table.
package publication

import (
	"context"
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/objectstore"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/table"
)

// HeadKey is the key of the head row.
const HeadKey = "config/head"

// publishAttempts bounds how often an edit is merged again after another
// edit has moved the head.
const publishAttempts = 16

// Head is the content of the head row.
type Head struct {
	// Revision and Digest name the snapshot in force.
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// Object is the key of the snapshot in the object store.
	Object string `json:"object"`
	// EditID and Author tell which edit made the revision.
	EditID string `json:"edit_id"`
	Author string `json:"author,omitzero"`

	version int64
}

// Publication reads and publishes configurations. Its methods may be called
// at the same time.
type Publication struct {
	table   table.Table
	objects objectstore.Store
	clock   clockwork.Clock
}

// New returns a publication over the platform's table and object store.
func New(t table.Table, objects objectstore.Store, clock clockwork.Clock) *Publication {
	return &Publication{table: t, objects: objects, clock: clock}
}

// Head returns the head; revision zero before the first edit. The error is
// StoreUnavailable.
func (p *Publication) Head(ctx context.Context) (Head, error) {
	row, err := p.table.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, err
	}
	if row.Version == 0 {
		return Head{}, nil
	}
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, failure.Wrap(failure.Internal, err, "decode configuration head")
	}
	head.version = row.Version
	return head, nil
}

// Snapshot returns the snapshot that h names.
func (p *Publication) Snapshot(ctx context.Context, h Head) (*revision.Snapshot, error) {
	if h.Revision == 0 {
		return revision.Empty(), nil
	}
	return p.snapshot(ctx, h.Object, h.Digest)
}

func (p *Publication) snapshot(ctx context.Context, key, digest string) (*revision.Snapshot, error) {
	data, err := p.objects.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	s := revision.Empty()
	if err := document.Unmarshal(data, s); err != nil {
		return nil, failure.Wrap(failure.Internal, err, "decode snapshot %s", key)
	}
	if s.Digest() != digest {
		return nil, failure.New(failure.Internal, "snapshot %s has another digest than the head says", key)
	}
	return s, nil
}

// Publish merges e into the highest revision and swaps the head. An edit
// that was published before gives its first outcome. The errors are Conflict,
// InvalidObjects, StoreUnavailable and OutcomeUnknown.
func (p *Publication) Publish(ctx context.Context, e *revision.Edit) (*revision.Snapshot, error) {
	var err error
	for range publishAttempts {
		var s *revision.Snapshot
		var moved bool
		s, moved, err = p.publishOnce(ctx, e)
		if !moved {
			return s, err
		}
	}
	return nil, err
}

// publishOnce tries one swap; moved is true when another edit came first.
func (p *Publication) publishOnce(ctx context.Context, e *revision.Edit) (s *revision.Snapshot, moved bool, err error) {
	head, err := p.Head(ctx)
	if err != nil {
		return nil, false, err
	}
	current, err := p.Snapshot(ctx, head)
	if err != nil {
		return nil, false, err
	}
	if current.EditID == e.ID && e.ID != "" {
		return current, false, nil
	}
	next, err := current.Merge(e, p.clock.Now())
	if err != nil {
		return nil, false, err
	}
	if err := p.swap(ctx, head, next); err != nil {
		return nil, failure.Is(err, failure.Conflict), err
	}
	return next, false, nil
}

func (p *Publication) swap(ctx context.Context, head Head, next *revision.Snapshot) error {
	digest := next.Digest()
	key := fmt.Sprintf("config/%d-%s", next.Revision, digest)
	data, err := document.Marshal(next)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode snapshot")
	}
	if err := p.objects.Put(ctx, key, data); err != nil {
		return err
	}
	row, err := json.Marshal(Head{
		Revision: next.Revision, Digest: digest, Object: key,
		EditID: next.EditID, Author: next.Author,
	})
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode configuration head")
	}
	_, err = table.Commit(ctx, p.table, table.NewTx(table.Write{Key: HeadKey, Expect: head.version, Value: row}))
	return err
}
