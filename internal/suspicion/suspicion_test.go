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

// In a fleet whose members exchange rumors at random, a member that answers
// is silent to nobody in the end, whoever suspected it, and one that does not
// answer is silent to everybody.
func TestSuspicionSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 6
		now := time.Unix(0, 0)
		views := make([]*suspicion.Suspicion, size)
		name := func(i int) string { return fmt.Sprint(i) }
		for i := range views {
			views[i] = suspicion.New(name(i))
		}
		gone := size - 1
		member := rapid.IntRange(0, size-2)
		for range rapid.IntRange(1, 10).Draw(t, "false suspicions") {
			views[member.Draw(t, "accuser")].ReportFailure(name(member.Draw(t, "accused")), now)
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
		}
		tell := func(from, to int) {
			for _, r := range views[from].Rumors(name(to), size, 16) {
				views[to].Receive(r, now)
			}
		}
		views[0].ReportFailure(name(gone), now)
		for range 40 {
			for a := range size - 1 {
				for b := range size - 1 {
					if a != b {
						tell(a, b)
						tell(b, a)
					}
				}
			}
		}
		now = now.Add(3 * time.Second)
		for i := range size - 1 {
			if !views[i].Unreachable(name(gone), now) {
				t.Fatalf("%d does not know that %d is silent", i, gone)
			}
			for j := range size - 1 {
				if i != j && views[i].Unreachable(name(j), now) {
					t.Fatalf("%d takes %d to be silent", i, j)
				}
			}
		}
	})
}

// A pause of the observer suspects nobody, and a suspicion has its grace.
func TestSilenceNeedsAFailureAndTheGrace(t *testing.T) {
	s := suspicion.New("self")
	start := time.Unix(0, 0)
	if s.Unreachable("other", start.Add(time.Hour)) {
		t.Fatal("silent without a failure")
	}
	s.ReportFailure("other", start)
	if s.Unreachable("other", start.Add(time.Second)) {
		t.Fatal("silent within the grace")
	}
	s.Receive(suspicion.Rumor{Incarnation: "other", Sequence: 1}, start.Add(time.Second))
	if s.Unreachable("other", start.Add(time.Hour)) {
		t.Fatal("silent after its denial")
	}
}
