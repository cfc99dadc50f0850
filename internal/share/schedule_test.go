package share_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	scheduleSeed  = "6"
	schedules     = "30000"
	scheduleSteps = 300
)

// step is one action in a world; g and n are random.
type step func(w *world, g *gateway, n int)

func running(s step) step {
	return func(w *world, g *gateway, n int) {
		if g.isRunning() {
			s(w, g, n)
		}
	}
}

func deliverAny(w *world, _ *gateway, n int) {
	if len(w.events) > 0 {
		w.deliver(n%len(w.events), false)
	}
}

func deliverAll(w *world, _ *gateway, _ int) {
	for i := len(w.events); i > 0 && len(w.events) > 0; i-- {
		w.deliver(0, false)
	}
}

func drain(w *world, g *gateway, _ int) {
	if available := g.share.Available(w.now); available > 1e-9 {
		g.take(available)
	}
}

func elapse(w *world, _ *gateway, n int) {
	w.now = w.now.Add(time.Duration(n%80+1) * time.Millisecond)
}

// exchange makes g read the row and exchange heartbeats with the other voters.
func exchange(w *world, g *gateway, n int) {
	g.sendHeartbeats()
	g.read()
	deliverAll(w, g, n)
	deliverAll(w, g, n)
}

// transferParts makes g pull from a peer, which reports g's demand, and makes
// the peer propose a swap, which may move parts to g. Any step of it may fail.
func transferParts(w *world, g *gateway, n int) {
	from := w.gateways[n%gateways]
	g.share.RecordDemand(float64(n%90), w.now)
	g.pull(from, float64(n%150))
	deliverAll(w, g, n)
	if from.isRunning() {
		from.propose()
	}
	if n%2 == 0 {
		deliverAll(w, g, n)
	}
	if n%3 == 0 {
		exchange(w, g, n)
	}
}

// steps lists the possible actions, some of them several times to make them more
// likely.
var steps = []step{
	elapse, elapse, elapse, deliverAny, deliverAny, deliverAll, deliverAll,
	func(w *world, _ *gateway, n int) { w.now = w.now.Add(time.Duration(n*2) * time.Millisecond) },
	running(drain), running(drain), running(drain), running(drain),
	running(exchange), running(exchange), running(transferParts), running(transferParts), running(transferParts),
	running(func(_ *world, g *gateway, n int) { g.take(float64(n%120 + 1)) }),
	running(func(_ *world, g *gateway, n int) { g.take(float64(n%20 + 1)) }),
	running(func(_ *world, g *gateway, _ int) { g.read() }),
	running(func(_ *world, g *gateway, _ int) { g.read() }),
	running(func(_ *world, g *gateway, _ int) { g.propose() }),
	running(func(_ *world, g *gateway, _ int) { g.propose() }),
	running(func(_ *world, g *gateway, _ int) { g.abandonSwap() }),
	running(func(_ *world, g *gateway, _ int) { g.sendHeartbeats() }),
	running(func(w *world, g *gateway, n int) { g.pull(w.gateways[n%gateways], float64(n%150)) }),
	running(func(w *world, g *gateway, n int) { g.pull(w.gateways[n%gateways], float64(n%150)) }),
	running(func(_ *world, g *gateway, _ int) { g.adoptRate() }),
	func(w *world, _ *gateway, n int) { // settle
		if len(w.charges) > 0 {
			i := n % len(w.charges)
			if c := w.charges[i]; c.gateway.isRunning() && c.gateway.generation == c.generation {
				w.settle(i, float64(n%4)/4)
			}
		}
	},
	func(w *world, _ *gateway, n int) { // drop a message
		if len(w.events) > 0 {
			i := n % len(w.events)
			w.events = append(w.events[:i:i], w.events[i+1:]...)
		}
	},
	func(w *world, _ *gateway, n int) { // duplicate a message
		if len(w.events) > 0 {
			w.deliver(n%len(w.events), true)
		}
	},
	func(_ *world, g *gateway, n int) { g.paused = n%4 == 0 },
	func(_ *world, g *gateway, n int) { g.partitioned = n%4 == 0 },
	func(w *world, _ *gateway, n int) { w.storeDown = n%6 == 0 },
	func(_ *world, g *gateway, n int) { // crash, restart or start
		switch {
		case !g.alive:
			g.start()
		case n%4 == 0:
			g.alive = false
		}
	},
	func(_ *world, g *gateway, n int) { // leave
		if g.isRunning() && n%8 == 0 {
			g.share.Leave()
		}
	},
	func(w *world, _ *gateway, n int) { // change the rate
		if n%4 == 0 {
			w.current = rate{float64(50 + n%250), float64(60 + n%400)}
			w.highest.rate = max(w.highest.rate, w.current.rate)
			w.highest.burst = max(w.highest.burst, w.current.burst)
		}
	},
}

// mix spreads draws evenly. rapid prefers small numbers, which would mostly
// select the first steps.
func mix(state, draw uint64) uint64 {
	z := (state ^ draw) + 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// schedule runs one random schedule and returns the world after it.
func schedule(t *rapid.T, f fault) *world {
	w := newWorld(f)
	w.gateways[0].take(1)
	w.gateways[0].read()
	deliverAll(w, nil, 0)
	deliverAll(w, nil, 0)
	w.gateways[0].propose()
	deliverAll(w, nil, 0)
	deliverAll(w, nil, 0)
	state := uint64(0)
	for _, draw := range rapid.SliceOfN(rapid.Uint32(), scheduleSteps, scheduleSteps).Draw(t, "steps") {
		state = mix(state, uint64(draw))
		s := steps[state%uint64(len(steps))]
		g := w.gateways[state>>16%gateways]
		s(w, g, int(state>>32%997))
		w.checkPartsInUse()
	}
	for _, g := range w.gateways {
		if g.isRunning() {
			drain(w, g, 0)
		}
	}
	return w
}

var _ = Describe("the shares of a rate", func() {
	It("never admit more than burst plus rate times length in any window, in any schedule", func() {
		Expect(useSeed(scheduleSeed, schedules)).To(Succeed())
		moved, reclaimed, admitted := 0, 0, 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := schedule(t, noFault)
			if w.violation != "" {
				t.Fatal(w.violation)
			}
			if excess := w.excess(); excess > tolerance {
				t.Fatalf("a window exceeds burst plus rate times length by %.3f tokens", excess)
			}
			admitted += len(w.admitted)
			moved += int(w.version)
			reclaimed += w.reclaimed
		})
		AddReportEntry("schedules", fmt.Sprintln("admitted", admitted, "rows written", moved, "claims of suspects' parts", reclaimed))
		Expect(admitted).To(BeNumerically(">", 100_000))
		Expect(moved).To(BeNumerically(">", 10_000))
		Expect(reclaimed).To(BeNumerically(">", 50))
	})

	DescribeTable("the checks detect an injected fault",
		func(f fault) {
			Expect(useSeed(scheduleSeed, schedules)).To(Succeed())
			found := 0
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				if found == 0 {
					if w := schedule(t, f); w.violation != "" || w.excess() > tolerance {
						found++
					}
				}
			})
			Expect(found).To(BeNumerically(">", 0))
		},
		Entry("the receiver uses parts before the swap", rowSeenBeforeSwap),
		Entry("parts are claimed without proof of silence", noSilenceProof),
		Entry("a reply with tokens is processed twice", duplicateReplies),
		Entry("the lifetime of tokens does not include their time in transit", lifetimeFromArrival),
		Entry("a swap without a reply counts as not written", unknownAsNotWritten),
	)
})
