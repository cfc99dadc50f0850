package shardplan

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/ledger"
)

func TestMain(m *testing.M) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000"} {
		if !explicit[name] {
			_ = flag.Set(name, value)
		}
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func TestShardplan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shardplan")
}

const scheduleSteps = 70

// schedule returns a property that runs one random schedule. Without a
// mutation, it then ends all faults and checks the final state.
func schedule(m mutation) func(*rapid.T) {
	return func(t *rapid.T) {
		sim := newSimulation(t, m)
		for range scheduleSteps {
			sim.step()
		}
		if m == noMutation {
			sim.quiesce()
		}
	}
}

// step executes one random step.
func (sim *simulation) step() {
	p := sim.planners[rapid.IntRange(0, len(sim.planners)-1).Draw(sim.t, "planner")]
	e := sim.engines[rapid.IntRange(0, len(sim.engines)-1).Draw(sim.t, "engine")]
	switch rapid.IntRange(0, 15).Draw(sim.t, "step") {
	case 0, 1, 2, 3:
		sim.runPlanner(p, true)
	case 4, 5, 6, 7:
		if len(p.open) > 0 {
			sim.advance(p, rapid.IntRange(0, len(p.open)-1).Draw(sim.t, "transaction"), true)
		}
	case 8, 9:
		if len(sim.inFlight) > 0 {
			i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(sim.t, "copy")
			c := sim.inFlight[i]
			sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
			sim.deliver(c)
		}
	case 10, 11:
		sim.finishOne(e, rapid.IntRange(0, 9).Draw(sim.t, "load fails") == 0)
	case 12:
		sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 6).Draw(sim.t, "seconds")) * time.Second)
	case 13:
		sim.editConfig()
	case 14:
		sim.addDemand(p)
	case 15:
		sim.disrupt(p, e)
	}
}

// addDemand adds random demand at a planner, so that replicas are moved for it.
func (sim *simulation) addDemand(p *simPlanner) {
	name := rapid.SampledFrom([]string{"m0", "m1", "m2", "a0"}).Draw(sim.t, "name")
	p.demand.Add("g", name, rapid.Float64Range(0, 10_000).Draw(sim.t, "tokens"), rapid.IntRange(0, 2).Draw(sim.t, "waiting"), sim.now)
}

// disrupt restarts an engine, or replaces a planner by a new one.
func (sim *simulation) disrupt(p *simPlanner, e *simEngine) {
	if rapid.IntRange(0, 2).Draw(sim.t, "what") > 0 {
		sim.planners = slices.DeleteFunc(sim.planners, func(o *simPlanner) bool { return o == p })
		sim.startPlanner()
		return
	}
	for weights, h := range e.held {
		if h.loaded {
			sim.lostByRestart[weights.Name] = true
		}
	}
	e.restart()
	sim.t.Logf("%s restarted", e.address)
}

// quiesce delivers all orders in flight, replaces the planners by a single one,
// runs it without faults, and checks that every model is served and that no work
// is left.
func (sim *simulation) quiesce() {
	for len(sim.inFlight) > 0 {
		c := sim.inFlight[0]
		sim.inFlight = sim.inFlight[1:]
		sim.deliver(c)
	}
	sim.planners = nil
	sim.startPlanner()
	sim.runWithoutFaults(60)
	sim.restartPinned()
	sim.runWithoutFaults(120)
	for name, m := range sim.objects.Models {
		if !sim.serves(name, m.Version) {
			sim.t.Fatalf("model %s@%s is not served after faults ended: %s", name, m.Version, sim.describe())
		}
	}
	sim.checkQuiescent()
}

// runWithoutFaults runs the first planner and all engines for the given number
// of rounds, one second each.
func (sim *simulation) runWithoutFaults(rounds int) {
	p := sim.planners[0]
	for range rounds {
		sim.now = sim.now.Add(time.Second)
		sim.runPlanner(p, false)
		for len(p.open) > 0 {
			sim.advance(p, 0, false)
		}
		for _, e := range sim.engines {
			sim.finishOne(e, false)
		}
	}
}

// restartPinned restarts, one by one, the engines with memory that only a
// restart frees, as an operator does. The time between restarts lets the models
// stay available.
func (sim *simulation) restartPinned() {
	for _, e := range sim.engines {
		l := sim.ledgerOf(e)
		if l == nil || e.checksFencing {
			continue
		}
		if slices.ContainsFunc(l.Entries, func(x ledger.Entry) bool { return l.Pinned(&x) || x.MemoryBytes == 0 }) {
			e.restart()
			sim.runWithoutFaults(60)
		}
	}
}

// ledgerOf returns the ledger of e at the first planner, or nil if its row has
// not been read.
func (sim *simulation) ledgerOf(e *simEngine) *ledger.Ledger {
	return sim.planners[0].plan.engines[e.address].ledger
}

func (sim *simulation) serves(name, version string) bool {
	return slices.ContainsFunc(sim.engines, func(e *simEngine) bool {
		h, ok := e.held[ledger.Weights{Kind: "model", Name: name, Version: version}]
		return ok && h.loaded
	})
}

// checkQuiescent checks that the ledgers match the engines and that no load or
// unload is in progress.
func (sim *simulation) checkQuiescent() {
	for _, e := range sim.engines {
		l := sim.ledgerOf(e)
		if l == nil || len(l.Entries) != len(e.held) {
			sim.t.Fatalf("ledger and engine differ after faults ended: %s", sim.describe())
		}
		for _, x := range l.Entries {
			if h, ok := e.held[x.Weights]; !ok || x.State != ledger.Loaded || h.bytes > x.MemoryBytes {
				sim.t.Fatalf("work in progress after faults ended: %s", sim.describe())
			}
		}
	}
}

func (sim *simulation) describe() string {
	var b strings.Builder
	for _, e := range sim.engines {
		fmt.Fprintf(&b, "\n%s checks=%t used=%d ", e.address, e.checksFencing, e.used())
		if l := sim.ledgerOf(e); l != nil {
			fmt.Fprintf(&b, "free=%d %+v", l.Free(), l.Entries)
		}
	}
	return b.String()
}

// TestRandomSchedules checks on random schedules with faults that memory is never
// overcommitted and that every model keeps a replica.
func TestRandomSchedules(t *testing.T) { rapid.Check(t, schedule(noMutation)) }

// failureOf returns the failure message of TestRandomSchedules under a mutation,
// or "" if it passes.
func failureOf(m mutation) string {
	t := &failureRecorder{}
	func() {
		defer func() { _ = recover() }()
		rapid.Check(t, schedule(m))
	}()
	return t.message
}

// failureRecorder records failures instead of failing the test.
type failureRecorder struct {
	testing.TB
	message string
}

func (r *failureRecorder) Helper()              {}
func (r *failureRecorder) Name() string         { return "mutation" }
func (r *failureRecorder) Logf(string, ...any)  {}
func (r *failureRecorder) Log(...any)           {}
func (r *failureRecorder) Skipf(string, ...any) {}
func (r *failureRecorder) SkipNow()             {}
func (r *failureRecorder) Errorf(format string, args ...any) {
	r.message += fmt.Sprintf(format, args...)
}

func (r *failureRecorder) Fatalf(format string, args ...any) {
	r.message += fmt.Sprintf(format, args...)
}
func (r *failureRecorder) FailNow()     {}
func (r *failureRecorder) Fail()        {}
func (r *failureRecorder) Failed() bool { return r.message != "" }

var _ = Describe("the random schedules", func() {
	DescribeTable("detect that a safety mechanism is missing",
		func(m mutation, expected string) { Expect(failureOf(m)).To(ContainSubstring(expected)) },
		Entry("orders sent without the ledger write", noLedgerWrite, "holds"),
		Entry("memory freed when an unload is answered", freeOnAnswer, "holds"),
		Entry("orders sent to another boot of the engine", anyBoot, "holds"),
	)
})
