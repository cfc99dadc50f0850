// Package head reads and swaps the head row of the table, which names the
// configuration in force and the version of the member list. Edits of the
// configuration and changes of the member list swap the same row, so they
// have a single total order.
package head

import (
	"context"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/freshness"
	"fireflypier.example/fireflypier/internal/table"
)

// Key is the key of the head row.
const Key = "config/head"

// Head is the content of the head row.
type Head struct {
	// Revision and Digest identify the snapshot in force; revision zero is the
	// empty set before the first edit.
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// Object is the key of the latest whole snapshot in the object store, and
	// ObjectRevision is its revision.
	Object         string `json:"object"`
	ObjectRevision int64  `json:"object_revision"`
	// Edit is the key of the edit that produced the revision.
	Edit string `json:"edit"`
	// Members describes the current version of the member list.
	Members Members `json:"members"`

	version int64
}

// Members is the part of the head that changes of the member list write. Its
// fields are those of memberlist.List.
type Members struct {
	Version int64 `json:"version"`
	Floor   int64 `json:"floor"`
	Settled int64 `json:"settled"`
}

// Read returns the head, or the zero Head before the first write. The error is
// StoreUnavailable, or Internal if the row cannot be decoded.
func Read(ctx context.Context, t table.Table) (Head, error) {
	row, err := t.Get(ctx, Key)
	if err != nil {
		return Head{}, err
	}
	if row.Version == 0 {
		return Head{}, nil
	}
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, failure.Wrap(failure.Internal, err, "decode configuration head")
	}
	h.version = row.Version
	return h, nil
}

// Swap returns the write that replaces h with next. The write fails if h is no
// longer the head.
func (h Head) Swap(next Head) (table.Write, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return table.Write{}, failure.Wrap(failure.Internal, err, "encode configuration head")
	}
	return table.Write{Key: Key, Expect: h.version, Value: value}, nil
}

// State returns the state of a process that has adopted h.
func (h Head) State() freshness.State {
	return freshness.State{Revision: h.Revision, Members: h.Members.Version}
}
