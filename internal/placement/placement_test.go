package placement

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/table"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

// newEngine returns engine i with the given memory in bytes. It holds the given
// weights, five bytes each.
func newEngine(i int, memory int64, held ...ledger.Weights) Engine {
	l, err := ledger.Decode(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), table.Row{})
	Expect(err).NotTo(HaveOccurred())
	r := &engine.Report{BootID: "boot", MemoryBytes: 100, Sequence: 1}
	for _, w := range held {
		r.Entries = append(r.Entries, engine.Entry{Kind: w.Kind, Name: w.Name, Version: w.Version, MemoryBytes: 5, State: engine.Loaded})
	}
	l.Observe(r, ledger.Engine{MemoryBytes: memory, ChecksFencing: true})
	return Engine{Target: fmt.Sprintf("e%d", i), VM: fmt.Sprintf("vm%d", i), DataCentre: fmt.Sprintf("dc%d", i%2), Ledger: l, Reachable: true}
}

func model(name, version string) ledger.Weights {
	return ledger.Weights{Kind: object.KindModel, Name: name, Version: version}
}

func input(engines ...Engine) *Input {
	return &Input{Engines: engines, MaxLoads: 10, MaxAdapterLoads: 10, DemandSettled: true, Now: time.Unix(1_000_000, 0)}
}

var _ = Describe("placement", func() {
	It("loads models without a replica first, then second replicas in other data centres", func() {
		in := input(newEngine(0, 10, model("b", "1")), newEngine(1, 10), newEngine(2, 10))
		in.Models = []Model{{Name: "a", Version: "1", MemoryBytes: 5}, {Name: "b", Version: "1", MemoryBytes: 5}}
		in.MaxLoads = 2
		actions := New().Decide(in)
		Expect(actions).To(HaveLen(2))
		Expect(actions[0]).To(And(HaveField("Weights.Name", "a"), HaveField("Reason", ReasonUnreachable)))
		Expect(actions[1]).To(HaveField("Reason", ReasonAtRisk))
	})

	It("does not place two replicas on the same VM", func() {
		in := input(newEngine(0, 10, model("a", "1")), newEngine(1, 10))
		in.Engines[1].VM = in.Engines[0].VM
		in.Models = []Model{{Name: "a", Version: "1", MemoryBytes: 5}}
		Expect(New().Decide(in)).To(BeEmpty())
	})

	It("evicts a second replica, but never a last one, for a model without replicas", func() {
		in := input(newEngine(0, 5, model("a", "1")), newEngine(1, 5, model("a", "1")), newEngine(2, 5, model("b", "1")))
		in.Models = []Model{{Name: "a", Version: "1", MemoryBytes: 5}, {Name: "b", Version: "1", MemoryBytes: 5}, {Name: "c", Version: "1", MemoryBytes: 5}}
		actions := New().Decide(in)
		Expect(actions).To(HaveLen(1))
		Expect(actions[0]).To(And(BeAssignableToTypeOf(Unload{}), HaveField("Weights.Name", "a")))
	})

	It("loads a new version before it unloads the old one", func() {
		in := input(newEngine(0, 10, model("a", "1")), newEngine(1, 10, model("a", "1")))
		in.Models = []Model{{Name: "a", Version: "2", MemoryBytes: 5}}
		for _, action := range New().Decide(in) {
			Expect(action).To(BeAssignableToTypeOf(Load{}))
		}
		in = input(newEngine(0, 10, model("a", "1"), model("a", "2")), newEngine(1, 10, model("a", "1"), model("a", "2")))
		in.Models = []Model{{Name: "a", Version: "2", MemoryBytes: 5}}
		actions := New().Decide(in)
		Expect(actions).To(HaveLen(2))
		Expect(actions[0]).To(And(BeAssignableToTypeOf(Unload{}), HaveField("Weights.Version", "1")))
	})

	It("moves a replica for demand only if the gain is high enough and not during the cool-down", func() {
		now := time.Unix(1_000_000, 0)
		build := func(hot float64, at time.Time) *Input {
			in := input(newEngine(0, 10, model("a", "1")), newEngine(1, 10, model("a", "1")), newEngine(2, 20, model("b", "1")), newEngine(3, 20, model("b", "1")))
			in.Models = []Model{{Name: "a", Version: "1", MemoryBytes: 5, TokensPerSecond: hot}, {Name: "b", Version: "1", MemoryBytes: 5, TokensPerSecond: 1000}}
			in.Now = at
			return in
		}
		p := New()
		Expect(p.Decide(build(1010, now))).To(BeEmpty())
		Expect(p.Decide(build(4000, now))).To(ConsistOf(HaveField("Reason", ReasonDemand)))
		Expect(p.Decide(build(2300, now.Add(time.Second)))).To(BeEmpty(), "the model moved less than the cool-down ago")
		Expect(New().Decide(build(2300, now))).NotTo(BeEmpty())
	})

	It("loads an adapter on an engine that serves its model, evicting idle adapters", func() {
		idle := ledger.Weights{Kind: object.KindAdapter, Name: "idle", Version: "1"}
		in := input(newEngine(0, 10, model("a", "1"), idle), newEngine(1, 10))
		in.Models = []Model{{Name: "a", Version: "1", MemoryBytes: 5, Replicas: 1}}
		in.Adapters = []Adapter{
			{Name: "idle", Model: "a", Version: "1", MemoryBytes: 5},
			{Name: "new", Model: "a", Version: "1", MemoryBytes: 5, Waiting: 1},
		}
		Expect(New().Decide(in)).To(ConsistOf(And(BeAssignableToTypeOf(Unload{}), HaveField("Weights", idle))))
		in.Engines[0] = newEngine(0, 20, model("a", "1"), idle)
		Expect(New().Decide(in)).To(ConsistOf(And(HaveField("Target", "e0"), HaveField("Reason", ReasonAdapterDemand))))
	})
})
