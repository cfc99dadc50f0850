package fleetview_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
)

// TestMarks draws answers, departures, restarts and late rows. A target is chosen only if
// its incarnation has neither said that it leaves nor wants no requests at the moment.
func TestMarks(t *testing.T) {
	pool := &policy.Pool{Name: "p"}
	rapid.Check(t, func(t *rapid.T) {
		v := fleetview.New("a")
		now := time.Unix(1000, 0)
		born := int64(1)
		present := false
		leaving := make(map[int64]bool)
		distant := make(map[int64]time.Time)
		row := int64(0) // the incarnation of the target's row
		set := func(b int64) {
			v.Set(&target.Target{ID: "t", Born: b, Pool: "p", Slots: 6})
			row, present = b, true
		}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				born++
				set(born)
			case 1:
				set(born)
			case 2:
				v.Remove("t")
				present = false
			case 3:
				if row == born {
					v.SetLeaving("t", born, now)
					leaving[born] = true
				}
			case 4:
				if row == born {
					d := time.Duration(rapid.IntRange(1, 400_000).Draw(t, "distance in ms")) * time.Millisecond
					v.SetDistance("t", born, d, now)
					if until := now.Add(min(d, 5*time.Minute)); until.After(distant[born]) {
						distant[born] = until
					}
				}
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "s")) * time.Second)
			}
			c := v.Choose(&fleetview.Requirements{Pool: pool}, now)
			usable := present && !leaving[row] && !now.Before(distant[row])
			if usable != (c.Target != nil) {
				t.Fatalf("chosen: %v, usable: %v (row %d)", c.Target != nil, usable, row)
			}
		}
	})
}

// TestReturnIsGradual guards against VMs that come back to a target all at once when the
// time is over for which it wanted no requests.
func TestReturnIsGradual(t *testing.T) {
	g := NewWithT(t)
	end := time.Unix(1010, 0)
	pool := &policy.Pool{Name: "p", Engine: &policy.Engine{Slots: 64, KVTokens: 200_000}}
	r := &fleetview.Requirements{Pool: pool, Model: "m", PromptTokens: 4000, AnswerTokens: 60}
	// share returns the share of 300 VMs that choose the target at a time, while the other
	// target has work for them.
	share := func(after time.Duration) float64 {
		back := 0
		for vm := range uint64(300) {
			v := fleetview.New("a", fleetview.WithRandom(rand.New(rand.NewPCG(vm, 1))))
			for _, id := range []string{"back", "busy"} {
				v.Set(&target.Target{ID: id, Born: 1, Pool: "p", DataCentre: "a", Slots: 64, Weights: target.Weights{Models: []target.LoadedModel{{Model: "m"}}}})
			}
			v.SetFleet(300, 200*time.Millisecond)
			v.SetOtherLoads([]*meshpb.Load{{Target: "busy", Requests: []uint32{4}, PromptTokens: []uint32{16_000}, KvTokens: []uint32{16_000}}})
			v.SetDistance("back", 1, 10*time.Second, end.Add(-10*time.Second))
			if v.Choose(r, end.Add(after)).Target.ID == "back" {
				back++
			}
		}
		return float64(back) / 300
	}
	g.Expect(share(-time.Millisecond)).To(BeZero())
	early, later, late := share(10*time.Millisecond), share(time.Second), share(3*time.Second)
	g.Expect(early).To(BeNumerically("<", 0.1))
	g.Expect(later).To(BeNumerically(">", early))
	g.Expect(late).To(BeNumerically(">", 0.9))
}

// TestLeavingTargetDrains has the placement treat a target that leaves as draining.
func TestLeavingTargetDrains(t *testing.T) {
	g := NewWithT(t)
	v := fleetview.New("a")
	v.Set(&target.Target{ID: "t", Born: 1, Pool: "p"})
	g.Expect(v.SetLeaving("t", 1, time.Unix(1000, 0))).To(BeTrue())
	g.Expect(v.SetLeaving("t", 1, time.Unix(1001, 0))).To(BeFalse())
	g.Expect(v.Targets()[0].Draining).To(BeTrue())
}
