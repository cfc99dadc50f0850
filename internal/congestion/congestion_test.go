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

var _ = Describe("Window", func() {
	It("converges to a time to first token near the target", func() {
		// The engine prefills at a fixed speed, and a prompt is always waiting.
		const perToken = 200 * time.Microsecond
		w := congestion.New()
		now := start
		type sent struct {
			at     time.Time
			tokens float64
		}
		var inFlight []sent
		var delay time.Duration
		for range 3000 {
			for w.Open() {
				w.Send(400)
				inFlight = append(inFlight, sent{now, 400})
			}
			now = now.Add(400 * perToken)
			delay = now.Sub(inFlight[0].at)
			w.FirstToken(now, inFlight[0].tokens, delay)
			inFlight = inFlight[1:]
		}
		Expect(delay).To(BeNumerically("<", 800*time.Millisecond))
		Expect(delay).To(BeNumerically(">", 100*time.Millisecond))
	})

	It("is open when no prompt is in flight", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := congestion.New()
			outstanding := []float64{}
			for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
				if w.Open() && rapid.Bool().Draw(t, "send") {
					tokens := float64(rapid.IntRange(1, 5000).Draw(t, "tokens"))
					w.Send(tokens)
					outstanding = append(outstanding, tokens)
				} else if len(outstanding) > 0 {
					w.FirstToken(start.Add(time.Duration(i)*time.Second), outstanding[0], time.Duration(rapid.IntRange(0, 2000).Draw(t, "delay"))*time.Millisecond)
					outstanding = outstanding[1:]
				}
			}
			for _, tokens := range outstanding {
				w.Abandon(tokens)
			}
			if !w.Open() {
				t.Fatalf("the window is closed although no prompt is in flight")
			}
		})
	})
})
