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

// step is one thing that may happen in a world; g and n are random.
type step func(w *world, g *gateway, n int)

func running(s step) step {
	return func(w *world, g *gateway, n int) {
		if g.runs() {
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

// exchange lets g see its row and be answered by the others.
func exchange(w *world, g *gateway, n int) {
	g.contact()
	g.read()
	deliverAll(w, g, n)
	deliverAll(w, g, n)
}

// move lets g take part in a peer's share; any part of it may go wrong.
func move(w *world, g *gateway, n int) {
	from := w.gateways[n%gateways]
	g.share.RecordDemand(float64(n%90), w.now)
	g.pull(from, float64(n%150))
	deliverAll(w, g, n)
	if from.runs() {
		from.propose()
	}
	if n%2 == 0 {
		deliverAll(w, g, n)
	}
	if n%3 == 0 {
		exchange(w, g, n)
	}
}

// steps lists what may happen; what stands more than once is more likely.
var steps = []step{
	elapse, elapse, elapse, deliverAny, deliverAny, deliverAll, deliverAll,
	func(w *world, _ *gateway, n int) { w.now = w.now.Add(time.Duration(n*2) * time.Millisecond) },
	running(drain), running(drain), running(drain), running(drain),
	running(exchange), running(exchange), running(move), running(move), running(move),
	running(func(_ *world, g *gateway, n int) { g.take(float64(n%120 + 1)) }),
	running(func(_ *world, g *gateway, n int) { g.take(float64(n%20 + 1)) }),
	running(func(_ *world, g *gateway, _ int) { g.read() }),
	running(func(_ *world, g *gateway, _ int) { g.read() }),
	running(func(_ *world, g *gateway, _ int) { g.propose() }),
	running(func(_ *world, g *gateway, _ int) { g.propose() }),
	running(func(_ *world, g *gateway, _ int) { g.giveUp() }),
	running(func(_ *world, g *gateway, _ int) { g.contact() }),
	running(func(w *world, g *gateway, n int) { g.pull(w.gateways[n%gateways], float64(n%150)) }),
	running(func(w *world, g *gateway, n int) { g.pull(w.gateways[n%gateways], float64(n%150)) }),
	running(func(_ *world, g *gateway, _ int) { g.adoptRate() }),
	func(w *world, _ *gateway, n int) { // settle
		if len(w.charges) > 0 {
			i := n % len(w.charges)
			if c := w.charges[i]; c.gateway.runs() && c.gateway.life == c.life {
				w.settle(i, float64(n%4)/4)
			}
		}
	},
	func(w *world, _ *gateway, n int) { // lose
		if len(w.events) > 0 {
			i := n % len(w.events)
			w.events = append(w.events[:i:i], w.events[i+1:]...)
		}
	},
	func(w *world, _ *gateway, n int) { // double
		if len(w.events) > 0 {
			w.deliver(n%len(w.events), true)
		}
	},
	func(_ *world, g *gateway, n int) { g.paused = n%4 == 0 },
	func(_ *world, g *gateway, n int) { g.cut = n%4 == 0 },
	func(w *world, _ *gateway, n int) { w.out = n%6 == 0 },
	func(_ *world, g *gateway, n int) { // crash, restart, join
		switch {
		case !g.alive:
			g.start()
		case n%4 == 0:
			g.alive = false
		}
	},
	func(_ *world, g *gateway, n int) { // leave
		if g.runs() && n%8 == 0 {
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

// mix spreads a draw evenly; rapid prefers small numbers, which would repeat
// the first steps.
func mix(state, draw uint64) uint64 {
	z := (state ^ draw) + 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// schedule runs one random schedule and returns the world after it.
func schedule(t *rapid.T, p plant) *world {
	w := newWorld(p)
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
		w.checkUse()
	}
	for _, g := range w.gateways {
		if g.runs() {
			drain(w, g, 0)
		}
	}
	return w
}

var _ = Describe("the shares of a rate", func() {
	It("never admit more than burst and rate in any window, in any schedule", func() {
		Expect(useSeed(scheduleSeed, schedules)).To(Succeed())
		moved, takenBack, admitted := 0, 0, 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := schedule(t, noPlant)
			if w.broken != "" {
				t.Fatal(w.broken)
			}
			if excess := w.excess(); excess > roundingSlip {
				t.Fatalf("a window has %.3f tokens too many", excess)
			}
			admitted += len(w.admitted)
			moved += int(w.version)
			takenBack += w.takenBack
		})
		AddReportEntry("schedules", fmt.Sprintln("admitted", admitted, "rows written", moved, "shares taken back", takenBack))
		Expect(admitted).To(BeNumerically(">", 100_000))
		Expect(moved).To(BeNumerically(">", 10_000))
		Expect(takenBack).To(BeNumerically(">", 50))
	})

	DescribeTable("the check finds a planted fault",
		func(p plant) {
			Expect(useSeed(scheduleSeed, schedules)).To(Succeed())
			found := 0
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				if found == 0 {
					if w := schedule(t, p); w.broken != "" || w.excess() > roundingSlip {
						found++
					}
				}
			})
			Expect(found).To(BeNumerically(">", 0))
		},
		Entry("the receiver starts before the swap", receiverEarly),
		Entry("a share is taken back without proof of silence", noProof),
		Entry("tokens are taken in twice", doubledTokens),
		Entry("tokens live longer for the time under way", countedFromArrival),
		Entry("a swap without an answer counts as not written", restoredUnknown),
	)
})
