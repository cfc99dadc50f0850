// Package revision merges edits into numbered, immutable snapshots of the
// whole set of objects.
package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/object"
)

// Edit is a change of the set of objects by an operator.
type Edit struct {
	// ID identifies the edit; if the edit is repeated, the first outcome is
	// reported again.
	ID string `json:"id"`
	// BasedOn is the revision that the operator saw when making the edit.
	BasedOn int64 `json:"based_on"`
	// Put holds the objects to add or to replace.
	Put object.Set `json:"put,omitzero"`
	// Delete lists the objects to remove, each as "kind/name".
	Delete []string `json:"delete,omitzero"`
	// Restore, if above zero, replaces the whole set with that of an earlier
	// revision; Put and Delete must then be empty.
	Restore int64 `json:"restore,omitzero"`
	// Author is the operator's name.
	Author string `json:"author,omitzero"`
}

// Record is an edit that became a revision. Replaying it on the snapshot of the
// preceding revision yields the snapshot of its own.
type Record struct {
	// Revision is the revision that the edit produced, and Digest is the digest
	// of its snapshot.
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	// MemberVersion is the version of the member list at the commit.
	MemberVersion int64 `json:"member_version,omitzero"`
	// Time is when the edit was merged.
	Time time.Time `json:"time"`
	// Edit is the edit, with Restore already resolved to Put and Delete.
	Edit Edit `json:"edit"`
}

// Snapshot is an immutable revision of the whole set of objects.
type Snapshot struct {
	// Revision counts from one; zero is the empty set before any edit.
	Revision int64 `json:"revision"`
	// Objects is the set of objects.
	Objects object.Set `json:"objects"`
	// Changed holds, by "kind/name", the revision that last changed or
	// deleted the object.
	Changed map[string]int64 `json:"changed"`
	// EditID and Author identify the edit that produced the revision.
	EditID string `json:"edit_id"`
	Author string `json:"author,omitzero"`
	// Time is when the edit was merged.
	Time time.Time `json:"time"`
	// MemberVersion is the version of the member list at the commit.
	MemberVersion int64 `json:"member_version,omitzero"`
}

// Empty returns the empty snapshot of revision zero.
func Empty() *Snapshot {
	return &Snapshot{Objects: *(&object.Set{}).Clone(), Changed: map[string]int64{}}
}

// Merge applies e to s and returns the next snapshot. If e touches objects that
// a revision after e.BasedOn has changed, the error is Conflict and names them;
// if the resulting set is inconsistent, it is InvalidObjects; if a name in
// e.Delete is malformed, it is BadRequest.
func (s *Snapshot) Merge(e *Edit, now time.Time) (*Snapshot, error) {
	deletes, err := parseRefs(e.Delete)
	if err != nil {
		return nil, err
	}
	touched := touched(e, deletes)
	if conflicts := s.conflicts(e, touched); len(conflicts) > 0 {
		return nil, failure.New(failure.Conflict, "changed since revision %d: %s", e.BasedOn, strings.Join(conflicts, ", "))
	}
	next := s.next(e, deletes, touched, now)
	if problems := next.Objects.Check(); len(problems) > 0 {
		return nil, failure.New(failure.InvalidObjects, "%s", joinProblems(problems))
	}
	return next, nil
}

func (s *Snapshot) next(e *Edit, deletes []object.Ref, touched []string, now time.Time) *Snapshot {
	next := &Snapshot{
		Revision:      s.Revision + 1,
		Objects:       *s.Objects.Clone(),
		Changed:       maps.Clone(s.Changed),
		EditID:        e.ID,
		Author:        e.Author,
		Time:          now,
		MemberVersion: s.MemberVersion,
	}
	next.Objects.Merge(&e.Put)
	for _, ref := range deletes {
		next.Objects.Delete(ref)
	}
	for _, ref := range touched {
		next.Changed[ref] = next.Revision
	}
	return next
}

// Replay returns the snapshot that results from applying r to s. The error is
// Internal if r is not the record of the revision after s, or if the digest of
// the result differs from that of r.
func (s *Snapshot) Replay(r *Record) (*Snapshot, error) {
	if r.Revision != s.Revision+1 {
		return nil, failure.New(failure.Internal, "record of revision %d does not follow revision %d", r.Revision, s.Revision)
	}
	deletes, err := parseRefs(r.Edit.Delete)
	if err != nil {
		return nil, err
	}
	next := s.next(&r.Edit, deletes, touched(&r.Edit, deletes), r.Time)
	next.MemberVersion = r.MemberVersion
	if next.Digest() != r.Digest {
		return nil, failure.New(failure.Internal, "digest of revision %d differs from the digest in its record", r.Revision)
	}
	return next, nil
}

// Difference returns an edit that turns the set of s into target. It has the
// ID, BasedOn and Author of e.
func (s *Snapshot) Difference(target *object.Set, e *Edit) *Edit {
	edit := &Edit{ID: e.ID, BasedOn: e.BasedOn, Author: e.Author}
	edit.Put = *target.Clone()
	edit.Put.Subtract(&s.Objects)
	for _, ref := range s.Objects.Refs() {
		if !target.Has(ref) {
			edit.Delete = append(edit.Delete, ref.String())
		}
	}
	return edit
}

func joinProblems(problems []object.Problem) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "; ")
}

func parseRefs(names []string) ([]object.Ref, error) {
	refs := make([]object.Ref, 0, len(names))
	for _, name := range names {
		kind, rest, ok := strings.Cut(name, "/")
		if !ok || rest == "" {
			return nil, failure.New(failure.BadRequest, "delete: %q is not of the form kind/name", name)
		}
		refs = append(refs, object.Ref{Kind: object.Kind(kind), Name: rest})
	}
	return refs, nil
}

func touched(e *Edit, deletes []object.Ref) []string {
	var names []string
	for _, ref := range e.Put.Refs() {
		names = append(names, ref.String())
	}
	for _, ref := range deletes {
		names = append(names, ref.String())
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (s *Snapshot) conflicts(e *Edit, touched []string) []string {
	var names []string
	for _, name := range touched {
		if s.Changed[name] > e.BasedOn {
			names = append(names, name)
		}
	}
	return names
}

// Digest returns the SHA-256 of the canonical form of the snapshot, in
// hexadecimal. Every snapshot can be encoded; Digest panics otherwise.
func (s *Snapshot) Digest() string {
	data, err := document.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("revision: encode snapshot: %v", err))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Equal reports whether both snapshots hold the same objects.
func (s *Snapshot) Equal(other *Snapshot) bool {
	return reflect.DeepEqual(s.Objects, other.Objects)
}
