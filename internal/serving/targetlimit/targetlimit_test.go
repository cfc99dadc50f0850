package targetlimit_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/targetlimit"
)

// TestReserveKeepsLimit draws calls of many VMs, in turns idle and too many. In no window
// do more start than the limit allows and a short burst, and a caller is never told a time
// that is longer than it may wait.
func TestReserveKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 200).Draw(t, "per second")
		l := targetlimit.New()
		now := time.Unix(1000, 0)
		var starts []time.Time
		for range 200 {
			pause := time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause in ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "at once") {
				pause = 0
			}
			now = now.Add(pause)
			c := targetlimit.Call{Target: "t", Born: 1, Limit: target.Limit{Named: true, PerSecond: perSecond}, Share: 1, MaxWait: 400 * time.Millisecond}
			wait, reserved := l.Reserve(&c, now)
			if reserved != (wait <= c.MaxWait) {
				t.Fatalf("reserved: %v, wait: %v", reserved, wait)
			}
			if reserved {
				starts = append(starts, now.Add(wait))
			}
		}
		const window = 4 * time.Second
		allowed := int(math.Floor(perSecond*window.Seconds()+max(2, perSecond/4))) + 1
		first := 0
		for i, at := range starts {
			for at.Sub(starts[first]) > window {
				first++
			}
			if n := i - first + 1; n > allowed {
				t.Fatalf("%d calls in %v, %d allowed", n, window, allowed)
			}
		}
	})
}

// TestReserveUsesLimit has more calls than the limit: nearly all of it is used.
func TestReserveUsesLimit(t *testing.T) {
	l := targetlimit.New()
	now := time.Unix(1000, 0)
	reserved := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		c := targetlimit.Call{Target: "t", Limit: target.Limit{Named: true, PerSecond: 8}, Share: 1, MaxWait: 100 * time.Millisecond}
		if _, ok := l.Reserve(&c, now); ok {
			reserved++
		}
	}
	if reserved < 78 || reserved > 82 {
		t.Fatalf("%d calls reserved in 10 s at 8 a second", reserved)
	}
}

// TestReserveAtZero has a target that takes no calls: one call in ten seconds finds out
// whether it takes them again.
func TestReserveAtZero(t *testing.T) {
	l := targetlimit.New()
	now := time.Unix(1000, 0)
	reserved := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		c := targetlimit.Call{Target: "t", Limit: target.Limit{Named: true}, Share: 1}
		if _, ok := l.Reserve(&c, now); ok {
			reserved++
		}
	}
	if reserved < 4 || reserved > 6 {
		t.Fatalf("%d calls reserved in a minute", reserved)
	}
}
