package configstore

import (
	"context"
	"fmt"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/head"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/table"
)

// Publish merges e into the latest revision, swaps the head and returns the record
// of the new revision. It is idempotent: if an edit with the same ID has been
// published at any earlier time, Publish returns the record of that edit. The errors
// are BadRequest, Conflict, InvalidObjects, NotFound, StoreUnavailable,
// OutcomeUnknown and Internal.
func (repo *Repository) Publish(ctx context.Context, e *revision.Edit) (*revision.Record, error) {
	if e.ID == "" {
		return nil, failure.New(failure.BadRequest, "the edit has no ID")
	}
	var err error
	for range publishAttempts {
		var r *revision.Record
		var headChanged bool
		r, headChanged, err = repo.publishOnce(ctx, e)
		if !headChanged {
			return r, err
		}
	}
	return nil, err
}

// publishOnce tries to publish e once; headChanged is true if another writer has
// replaced the head in the meantime.
func (repo *Repository) publishOnce(ctx context.Context, e *revision.Edit) (r *revision.Record, headChanged bool, err error) {
	published, ok, err := repo.Published(ctx, e.ID)
	if err != nil {
		return nil, false, err
	}
	if ok {
		r = &revision.Record{}
		return r, false, repo.read(ctx, published.Edit, r)
	}
	h, err := repo.Head(ctx)
	if err != nil {
		return nil, false, err
	}
	current, err := repo.Snapshot(ctx, h)
	if err != nil {
		return nil, false, err
	}
	if e, err = repo.resolveRestore(ctx, current, e); err != nil {
		return nil, false, err
	}
	next, err := current.Merge(e, repo.clock.Now())
	if err != nil {
		return nil, false, err
	}
	next.MemberVersion = h.Members.Version
	r = &revision.Record{
		Revision: next.Revision, Digest: next.Digest(), MemberVersion: next.MemberVersion,
		Time: next.Time, Edit: *e,
	}
	if err := repo.swap(ctx, h, next, r); err != nil {
		return nil, failure.Is(err, failure.Conflict), err
	}
	return r, false, nil
}

// resolveRestore replaces an edit that restores an earlier revision by the equivalent edit
// of individual objects. Other edits are returned unchanged.
func (repo *Repository) resolveRestore(ctx context.Context, current *revision.Snapshot, e *revision.Edit) (*revision.Edit, error) {
	if e.Restore == 0 {
		return e, nil
	}
	if len(e.Delete) > 0 || len(e.Put.Refs()) > 0 {
		return nil, failure.New(failure.BadRequest, "an edit that restores a revision must not put or delete objects")
	}
	earlier, err := repo.At(ctx, e.Restore)
	if err != nil {
		return nil, err
	}
	return current.Difference(&earlier.Objects, e), nil
}

// swap stores the edit and, if one is due, the snapshot. It then replaces the head
// and adds the history rows in one transaction.
func (repo *Repository) swap(ctx context.Context, h head.Head, next *revision.Snapshot, r *revision.Record) error {
	entry := Entry{
		Revision: r.Revision, Digest: r.Digest, EditID: r.Edit.ID, Author: r.Edit.Author, Time: r.Time,
		Edit:   fmt.Sprintf("config/edit/%d-%s", r.Revision, r.Digest),
		Object: h.Object, ObjectRevision: h.ObjectRevision,
	}
	if err := repo.put(ctx, entry.Edit, r); err != nil {
		return err
	}
	if next.Revision-h.ObjectRevision >= snapshotInterval {
		entry.Object = fmt.Sprintf("config/snapshot/%d-%s", next.Revision, r.Digest)
		entry.ObjectRevision = next.Revision
		if err := repo.put(ctx, entry.Object, next); err != nil {
			return err
		}
	}
	tx, err := transaction(h, &entry)
	if err != nil {
		return err
	}
	_, err = table.Commit(ctx, repo.table, tx)
	return err
}

func transaction(h head.Head, entry *Entry) (table.Tx, error) {
	next := h
	next.Revision, next.Digest, next.Edit = entry.Revision, entry.Digest, entry.Edit
	next.Object, next.ObjectRevision = entry.Object, entry.ObjectRevision
	swap, err := h.Swap(next)
	if err != nil {
		return table.Tx{}, err
	}
	row, err := json.Marshal(entry)
	if err != nil {
		return table.Tx{}, failure.Wrap(failure.Internal, err, "encode revision row")
	}
	rev, err := json.Marshal(entry.Revision)
	if err != nil {
		return table.Tx{}, failure.Wrap(failure.Internal, err, "encode edit row")
	}
	return table.NewTx(swap,
		table.Write{Key: editKey(entry.EditID), Value: rev},
		table.Write{Key: revisionKey(entry.Revision), Value: row}), nil
}

func (repo *Repository) put(ctx context.Context, key string, v any) error {
	data, err := document.Marshal(v)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode object %s", key)
	}
	return repo.objects.Put(ctx, key, data)
}
