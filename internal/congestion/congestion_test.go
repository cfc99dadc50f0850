package congestion_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/congestion"
)

func init() { _ = flag.Set("rapid.seed", "5") }

func TestCongestion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "congestion")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var _ = Describe("the window of prompts being read", func() {
	It("settles where first tokens come within the target", func() {
		// The engine reads at a fixed speed, and prompts always wait.
		const perToken = 200 * time.Microsecond
		w := congestion.New()
		now := start
		type sent struct {
			at     time.Time
			tokens float64
		}
		var reading []sent
		var delay time.Duration
		for range 3000 {
			for w.Open() {
				w.Send(400)
				reading = append(reading, sent{now, 400})
			}
			now = now.Add(400 * perToken)
			delay = now.Sub(reading[0].at)
			w.FirstToken(now, reading[0].tokens, delay)
			reading = reading[1:]
		}
		Expect(delay).To(BeNumerically("<", 800*time.Millisecond))
		Expect(delay).To(BeNumerically(">", 100*time.Millisecond))
	})

	It("always opens once nothing is read", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := congestion.New()
			unread := []float64{}
			for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
				if w.Open() && rapid.Bool().Draw(t, "send") {
					tokens := float64(rapid.IntRange(1, 5000).Draw(t, "tokens"))
					w.Send(tokens)
					unread = append(unread, tokens)
				} else if len(unread) > 0 {
					w.FirstToken(start.Add(time.Duration(i)*time.Second), unread[0], time.Duration(rapid.IntRange(0, 2000).Draw(t, "delay"))*time.Millisecond)
					unread = unread[1:]
				}
			}
			for _, tokens := range unread {
				w.Abandon(tokens)
			}
			if !w.Open() {
				t.Fatalf("the window is closed although nothing is read")
			}
		})
	})
})
