package revision_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/revision"
)

func init() {
	if err := flag.Set("rapid.seed", "6"); err != nil {
		panic(err)
	}
}

var editTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// drawEdit draws an edit of customers and rates, which may be inconsistent.
func drawEdit(t *rapid.T, id int, basedOn int64) *revision.Edit {
	e := &revision.Edit{ID: fmt.Sprint(id), BasedOn: basedOn}
	e.Put.Customers = map[string]object.Customer{}
	e.Put.Rates = map[string]object.Rate{}
	name := rapid.IntRange(0, 3)
	for range rapid.IntRange(0, 2).Draw(t, "customers") {
		e.Put.Customers[fmt.Sprintf("c%d", name.Draw(t, "customer"))] = object.Customer{Rate: fmt.Sprintf("r%d", name.Draw(t, "its rate"))}
	}
	for range rapid.IntRange(0, 2).Draw(t, "rates") {
		e.Put.Rates[fmt.Sprintf("r%d", name.Draw(t, "rate"))] = object.Rate{TokensPerSecond: float64(rapid.IntRange(0, 3).Draw(t, "tokens")), BurstTokens: 1}
	}
	for range rapid.IntRange(0, 1).Draw(t, "deletes") {
		e.Delete = append(e.Delete, rapid.SampledFrom([]string{"customer/c0", "rate/r0", "rate/r1", "key/none"}).Draw(t, "delete"))
	}
	return e
}

// Guards against a merge that produces an inconsistent set, modifies its
// base, or does not refuse exactly the edits of objects that a later revision
// has changed, and against replicas that reach different digests from the
// same record.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := revision.Empty()
		touched := map[string]int64{}
		for i := range rapid.IntRange(1, 12).Draw(t, "edits") {
			basedOn := rapid.Int64Range(max(0, s.Revision-2), s.Revision).Draw(t, "based on")
			e := drawEdit(t, i, basedOn)
			before := s.Digest()
			next, err := s.Merge(e, editTime)
			overlaps := false
			names := append([]string{}, e.Delete...)
			for _, ref := range e.Put.Refs() {
				names = append(names, ref.String())
			}
			for _, name := range names {
				overlaps = overlaps || touched[name] > basedOn
			}
			if s.Digest() != before {
				t.Fatal("merge modified its base snapshot")
			}
			if overlaps != failure.Is(err, failure.Conflict) {
				t.Fatalf("edit overlaps a later revision: %v, but merge returned: %v", overlaps, err)
			}
			if err != nil {
				continue
			}
			if problems := next.Objects.Check(); len(problems) > 0 {
				t.Fatalf("merged set is inconsistent: %v", problems)
			}
			checkReplay(t, s, next, e)
			for _, name := range names {
				touched[name] = next.Revision
			}
			s = next
		}
	})
}

// checkReplay checks that the record of an edit, encoded and decoded, turns s
// into next in a replica, and that a record with a wrong digest is rejected.
func checkReplay(t *rapid.T, s, next *revision.Snapshot, e *revision.Edit) {
	r := revision.Record{Revision: next.Revision, Digest: next.Digest(), Time: next.Time, Edit: *e}
	data, err := document.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var received revision.Record
	if err := document.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	replica, err := s.Replay(&received)
	if err != nil || replica.Digest() != next.Digest() {
		t.Fatalf("replay produced a different set: %v", err)
	}
	received.Digest = "0"
	if _, err := s.Replay(&received); err == nil {
		t.Fatal("a record with a wrong digest was replayed")
	}
}

// Guards against a difference of two sets that does not turn one into the
// other, on which the restoration of an earlier revision depends.
func TestDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() *revision.Snapshot {
			s := revision.Empty()
			for i := range 6 {
				if next, err := s.Merge(drawEdit(t, i, s.Revision), editTime); err == nil {
					s = next
				}
			}
			return s
		}
		from, to := draw(), draw()
		e := from.Difference(&to.Objects, &revision.Edit{ID: "restore", BasedOn: from.Revision})
		next, err := from.Merge(e, editTime)
		if err != nil {
			t.Fatal(err)
		}
		if !next.Equal(to) {
			t.Fatalf("merged difference gives %v, want %v", next.Objects, to.Objects)
		}
	})
}
