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

const schedulesSteps = 70

// schedule runs one random schedule and then lets everything settle.
func schedule(m mutation) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, m)
		for range schedulesSteps {
			w.step()
		}
		if m == whole {
			w.settle()
		}
	}
}

func (w *world) step() {
	p := w.planners[rapid.IntRange(0, len(w.planners)-1).Draw(w.t, "planner")]
	e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(w.t, "engine")]
	switch rapid.IntRange(0, 15).Draw(w.t, "step") {
	case 0, 1, 2, 3:
		w.think(p, true)
	case 4, 5, 6, 7:
		if len(p.open) > 0 {
			w.advance(p, rapid.IntRange(0, len(p.open)-1).Draw(w.t, "swap"), true)
		}
	case 8, 9:
		if len(w.flying) > 0 {
			i := rapid.IntRange(0, len(w.flying)-1).Draw(w.t, "copy")
			c := w.flying[i]
			w.flying = slices.Delete(w.flying, i, i+1)
			w.deliver(c)
		}
	case 10, 11:
		w.finish(e, rapid.IntRange(0, 9).Draw(w.t, "load fails") == 0)
	case 12:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 6).Draw(w.t, "seconds")) * time.Second)
	case 13:
		w.edit()
	case 14:
		w.demand(p)
	case 15:
		w.disrupt(p, e)
	}
}

// demand reports work, so that replicas are moved for it.
func (w *world) demand(p *modelPlanner) {
	name := rapid.SampledFrom([]string{"m0", "m1", "m2", "a0"}).Draw(w.t, "name")
	p.demand.Add("g", name, rapid.Float64Range(0, 10_000).Draw(w.t, "tokens"), rapid.IntRange(0, 2).Draw(w.t, "waiting"), w.now)
}

// disrupt restarts an engine, or kills a planner and starts another.
func (w *world) disrupt(p *modelPlanner, e *modelEngine) {
	if rapid.IntRange(0, 2).Draw(w.t, "what") > 0 {
		w.planners = slices.DeleteFunc(w.planners, func(o *modelPlanner) bool { return o == p })
		w.startPlanner()
		return
	}
	for weights, h := range e.held {
		if h.loaded {
			w.lostByRestart[weights.Name] = true
		}
	}
	e.restart()
	w.t.Logf("%s has restarted", e.address)
}

// settle ends all faults and leaves one planner. Late copies arrive and
// everything comes to rest.
func (w *world) settle() {
	for len(w.flying) > 0 {
		c := w.flying[0]
		w.flying = w.flying[1:]
		w.deliver(c)
	}
	w.planners = nil
	w.startPlanner()
	w.quiet(60)
	w.restartPinned()
	w.quiet(120)
	for name, m := range w.objects.Models {
		if !w.serves(name, m.Version) {
			w.t.Fatalf("model %s@%s is not served after faults ended: %s", name, m.Version, w.describe())
		}
	}
	w.checkRest()
}

func (w *world) quiet(rounds int) {
	p := w.planners[0]
	for range rounds {
		w.now = w.now.Add(time.Second)
		w.think(p, false)
		for len(p.open) > 0 {
			w.advance(p, 0, false)
		}
		for _, e := range w.engines {
			w.finish(e, false)
		}
	}
}

// restartPinned restarts engines on which bytes stay taken, as an operator
// does, while the models stay reachable.
func (w *world) restartPinned() {
	for _, e := range w.engines {
		l := w.ledgerOf(e)
		if l == nil || e.checks {
			continue
		}
		if slices.ContainsFunc(l.Entries, func(x ledger.Entry) bool { return l.Pinned(&x) || x.MemoryBytes == 0 }) {
			e.restart()
			w.quiet(60)
		}
	}
}

func (w *world) ledgerOf(e *modelEngine) *ledger.Ledger {
	return w.planners[0].plan.engines[e.address].ledger
}

func (w *world) serves(name, version string) bool {
	return slices.ContainsFunc(w.engines, func(e *modelEngine) bool {
		h, ok := e.held[ledger.Weights{Kind: "model", Name: name, Version: version}]
		return ok && h.loaded
	})
}

// checkRest asserts that the ledgers and the engines agree and that nothing
// is under way.
func (w *world) checkRest() {
	for _, e := range w.engines {
		l := w.ledgerOf(e)
		if l == nil || len(l.Entries) != len(e.held) {
			w.t.Fatalf("ledger and engine differ at rest: %s", w.describe())
		}
		for _, x := range l.Entries {
			if h, ok := e.held[x.Weights]; !ok || x.State != ledger.Loaded || h.bytes > x.MemoryBytes {
				w.t.Fatalf("not at rest: %s", w.describe())
			}
		}
	}
}

func (w *world) describe() string {
	var b strings.Builder
	for _, e := range w.engines {
		fmt.Fprintf(&b, "\n%s checks=%t used=%d ", e.address, e.checks, e.used())
		if l := w.ledgerOf(e); l != nil {
			fmt.Fprintf(&b, "free=%d %+v", l.Free(), l.Entries)
		}
	}
	return b.String()
}

// TestRandomSchedules is the model check of the promise that memory is never
// overcommitted and that every model keeps a replica.
func TestRandomSchedules(t *testing.T) { rapid.Check(t, schedule(whole)) }

// finds reports what the check sees of a mutation, within the usual number of
// schedules.
func finds(m mutation) string {
	t := &recorder{}
	func() {
		defer func() { _ = recover() }()
		rapid.Check(t, schedule(m))
	}()
	return t.message
}

// recorder takes a failure instead of failing the test.
type recorder struct {
	testing.TB
	message string
}

func (r *recorder) Helper()                           {}
func (r *recorder) Name() string                      { return "mutation" }
func (r *recorder) Logf(string, ...any)               {}
func (r *recorder) Log(...any)                        {}
func (r *recorder) Skipf(string, ...any)              {}
func (r *recorder) SkipNow()                          {}
func (r *recorder) Errorf(format string, args ...any) { r.message += fmt.Sprintf(format, args...) }
func (r *recorder) Fatalf(format string, args ...any) { r.message += fmt.Sprintf(format, args...) }
func (r *recorder) FailNow()                          {}
func (r *recorder) Fail()                             {}
func (r *recorder) Failed() bool                      { return r.message != "" }

var _ = Describe("the random schedules", func() {
	DescribeTable("see a mechanism that is left out",
		func(m mutation, seen string) { Expect(finds(m)).To(ContainSubstring(seen)) },
		Entry("orders sent without the ledger write", noLedgerWrite, "holds"),
		Entry("bytes freed on the answer of an unload", freeOnAnswer, "holds"),
		Entry("orders sent to another life of the engine", anyLife, "holds"),
	)
})
