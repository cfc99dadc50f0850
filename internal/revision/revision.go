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

// Edit is one operator's change.
type Edit struct {
	// ID makes a repeated edit safe; the first outcome is reported again.
	ID string `json:"id"`
	// BasedOn is the revision that the operator had seen.
	BasedOn int64 `json:"based_on"`
	// Put holds the objects to add or replace.
	Put object.Set `json:"put,omitzero"`
	// Delete lists the objects to remove as "kind/name".
	Delete []string `json:"delete,omitzero"`
	// Author is the operator's name.
	Author string `json:"author,omitzero"`
}

// Snapshot is an immutable revision of the whole set.
type Snapshot struct {
	// Revision counts from one; zero is the empty set before any edit.
	Revision int64 `json:"revision"`
	// Objects is the set.
	Objects object.Set `json:"objects"`
	// Changed holds, by "kind/name", the revision that last changed or
	// deleted the object.
	Changed map[string]int64 `json:"changed"`
	// EditID and Author tell which edit made the revision.
	EditID string `json:"edit_id"`
	Author string `json:"author,omitzero"`
	// Time is when the edit was merged.
	Time time.Time `json:"time"`
}

// Empty returns revision zero.
func Empty() *Snapshot {
	return &Snapshot{Objects: *(&object.Set{}).Clone(), Changed: map[string]int64{}}
}

// Merge applies e to s and returns the next snapshot. Edits of objects that
// a revision above e.BasedOn has changed give a failure of kind Conflict that
// names them; a set that fails its check gives InvalidObjects.
func (s *Snapshot) Merge(e *Edit, now time.Time) (*Snapshot, error) {
	deletes, err := parseRefs(e.Delete)
	if err != nil {
		return nil, err
	}
	touched := s.touched(e, deletes)
	if conflicts := s.conflicts(e, touched); len(conflicts) > 0 {
		return nil, failure.New(failure.Conflict, "changed since revision %d: %s", e.BasedOn, strings.Join(conflicts, ", "))
	}
	next := &Snapshot{
		Revision: s.Revision + 1,
		Objects:  *s.Objects.Clone(),
		Changed:  maps.Clone(s.Changed),
		EditID:   e.ID,
		Author:   e.Author,
		Time:     now,
	}
	next.Objects.Merge(&e.Put)
	for _, ref := range deletes {
		next.Objects.Delete(ref)
	}
	for _, ref := range touched {
		next.Changed[ref] = next.Revision
	}
	if problems := next.Objects.Check(); len(problems) > 0 {
		return nil, failure.New(failure.InvalidObjects, "%s", joinProblems(problems))
	}
	return next, nil
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

func (s *Snapshot) touched(e *Edit, deletes []object.Ref) []string {
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

// Digest returns the hexadecimal SHA-256 of the snapshot's canonical form.
func (s *Snapshot) Digest() string {
	data, err := document.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("revision: a snapshot always encodes: %v", err))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Equal reports whether both snapshots hold the same objects.
func (s *Snapshot) Equal(other *Snapshot) bool {
	return reflect.DeepEqual(s.Objects, other.Objects)
}
