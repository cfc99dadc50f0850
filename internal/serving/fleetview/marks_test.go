package fleetview_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/serving/fleetview"
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

// TestLeavingTargetDrains has the placement treat a target that leaves as draining.
func TestLeavingTargetDrains(t *testing.T) {
	g := NewWithT(t)
	v := fleetview.New("a")
	v.Set(&target.Target{ID: "t", Born: 1, Pool: "p"})
	g.Expect(v.SetLeaving("t", 1, time.Unix(1000, 0))).To(BeTrue())
	g.Expect(v.SetLeaving("t", 1, time.Unix(1001, 0))).To(BeFalse())
	g.Expect(v.Targets()[0].Draining).To(BeTrue())
}
