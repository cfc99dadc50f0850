package suspicion_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/suspicion"
)

func init() {
	if err := flag.Set("rapid.seed", "9"); err != nil {
		panic(err)
	}
}

// Guards against a suspicion or refutation that does not reach every member.
// After false suspicions and enough exchanges of rumors, a member that
// answers is unreachable to no other member, and one that does not answer is
// unreachable to all of them.
func TestSuspicionsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 6
		now := time.Unix(0, 0)
		views := make([]*suspicion.Suspicion, size)
		name := func(i int) string { return fmt.Sprint(i) }
		for i := range views {
			views[i] = suspicion.New(name(i))
		}
		crashed := size - 1
		member := rapid.IntRange(0, size-2)
		for range rapid.IntRange(1, 10).Draw(t, "false suspicions") {
			views[member.Draw(t, "accuser")].ReportFailure(name(member.Draw(t, "accused")), now)
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
		}
		send := func(from, to int) {
			for _, r := range views[from].Rumors(name(to), size, 16) {
				views[to].Receive(r, now)
			}
		}
		views[0].ReportFailure(name(crashed), now)
		for range 40 {
			for a := range size - 1 {
				for b := range size - 1 {
					if a != b {
						send(a, b)
						send(b, a)
					}
				}
			}
		}
		now = now.Add(3 * time.Second)
		for i := range size - 1 {
			if !views[i].Unreachable(name(crashed), now) {
				t.Fatalf("member %d does not count member %d, which has ended, as unreachable", i, crashed)
			}
			for j := range size - 1 {
				if i != j && views[i].Unreachable(name(j), now) {
					t.Fatalf("member %d counts member %d, which answers, as unreachable", i, j)
				}
			}
		}
	})
}

// Guards against a member that counts as unreachable without a failed call, for
// example after a pause of the observer, before the grace period is over, or
// after it has refuted the suspicion.
func TestUnreachableRequiresFailureAndGracePeriod(t *testing.T) {
	s := suspicion.New("self")
	start := time.Unix(0, 0)
	if s.Unreachable("other", start.Add(time.Hour)) {
		t.Fatal("unreachable without a failed call")
	}
	s.ReportFailure("other", start)
	if s.Unreachable("other", start.Add(time.Second)) {
		t.Fatal("unreachable within the grace period")
	}
	s.Receive(suspicion.Rumor{Incarnation: "other", Sequence: 1}, start.Add(time.Second))
	if s.Unreachable("other", start.Add(time.Hour)) {
		t.Fatal("unreachable after its refutation")
	}
}
