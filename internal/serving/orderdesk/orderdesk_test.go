package orderdesk_test

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/duty"
	"fireflypier.example/fireflypier/internal/serving/fakestore"
	"fireflypier.example/fireflypier/internal/serving/orderdesk"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

func TestOrderDesk(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "order desk")
}

// The pool of the specs: an engine has room for two models and four adapters.
var pool = policy.Pool{Name: "engines", Engine: &policy.Engine{
	WeightsMB: 150, AdapterSlots: 4, LoadsPerSecond: 100,
	Models: []policy.Model{
		{Name: "m1", WeightsMB: 70, AdapterMB: 1, Adapters: 20, ColdLoad: 300 * time.Millisecond},
		{Name: "m2", WeightsMB: 70, AdapterMB: 1, ColdLoad: 300 * time.Millisecond},
		{Name: "m3", WeightsMB: 70, AdapterMB: 1, ColdLoad: 300 * time.Millisecond},
		{Name: "m4", WeightsMB: 70, AdapterMB: 1, ColdLoad: 300 * time.Millisecond},
	},
}}

// engineSim is an engine that carries out orders as the platform's pages say.
type engineSim struct {
	target  *target.Target
	models  map[string]map[string]bool
	orders  int64
	busy    bool
	crashed string
}

// used returns what the engine holds.
func (e *engineSim) used() (mb float64, adapters int) {
	for m, held := range e.models {
		spec, _ := pool.Engine.Model(m)
		mb += spec.WeightsMB + spec.AdapterMB*float64(len(held))
		adapters += len(held)
	}
	return mb, adapters
}

// fleetSim is a set of engines on simulated time.
type fleetSim struct {
	clock clockwork.Clock

	mu      sync.Mutex
	engines map[netip.AddrPort]*engineSim
	rng     *rand.Rand
	// lost is the share of orders that are not answered and carried out late.
	lost float64
	sent []*target.Order
	to   []string
}

func newFleet(clock clockwork.Clock, n int, seed uint64) *fleetSim {
	f := &fleetSim{clock: clock, engines: make(map[netip.AddrPort]*engineSim), rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		e := &engineSim{
			target: &target.Target{ID: addr.String(), Born: 1, Pool: "engines", Address: addr, Slots: 64},
			models: map[string]map[string]bool{},
		}
		f.engines[addr] = e
	}
	return f
}

func (f *fleetSim) targets() []*target.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*target.Target
	for _, e := range f.engines {
		all = append(all, e.target)
	}
	return all
}

func (f *fleetSim) Report(_ context.Context, addr netip.AddrPort) (*target.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[addr]
	r := &target.Report{Born: 1, Orders: e.orders, Busy: e.busy}
	for m, adapters := range e.models {
		h := target.Held{Model: m}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		r.Weights.Models = append(r.Weights.Models, h)
	}
	return r, nil
}

func (f *fleetSim) Order(_ context.Context, to *target.Target, o *target.Order) (target.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent, f.to = append(f.sent, o), append(f.to, to.ID)
	if f.rng.Float64() < f.lost {
		late := time.Duration(200+f.rng.IntN(3000)) * time.Millisecond
		f.after(late, func() { f.carryOut(f.engines[to.Address], o) })
		return target.Unanswered, errors.New("no answer")
	}
	return f.carryOut(f.engines[to.Address], o), nil
}

func (f *fleetSim) after(d time.Duration, do func()) {
	f.clock.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		do()
	})
}

func (f *fleetSim) carryOut(e *engineSim, o *target.Order) target.Outcome {
	if o.Expected != e.orders || (e.busy && o.Adapter == "") {
		return target.Refused
	}
	held, present := e.models[o.Model]
	switch {
	case o.Adapter != "" && !present:
		return target.Invalid
	case o.Adapter != "" && o.Operation == target.Load:
		held[o.Adapter] = true
	case o.Adapter != "":
		delete(held, o.Adapter)
		e.orders++
		return target.Holds
	case o.Operation == target.Unload:
		delete(e.models, o.Model)
	case present:
		return target.Holds
	default:
		e.models[o.Model] = map[string]bool{}
		e.busy = true
		f.after(300*time.Millisecond, func() { e.busy = false })
	}
	e.orders++
	if mb, adapters := e.used(); mb > pool.Engine.WeightsMB || adapters > pool.Engine.AdapterSlots {
		e.crashed = o.Operation.String() + " " + o.Model + "/" + o.Adapter
	}
	return target.Accepted
}

func (f *fleetSim) replicas(model string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		if _, ok := e.models[model]; ok {
			n++
		}
	}
	return n
}

func (f *fleetSim) holds(id, model string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.engines[netip.MustParseAddrPort(id)].models[model]
	return ok
}

func (f *fleetSim) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent)
}

func (f *fleetSim) crashed() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.crashed != "" {
			return e.target.ID + ": " + e.crashed
		}
	}
	return ""
}

// holder is one VM with the order duty and a desk.
type holder struct {
	desk *orderdesk.Desk
	duty *duty.Duty
	stop context.CancelFunc

	mu     sync.Mutex
	demand map[weightsdemand.Key]weightsdemand.Level
	held   map[string][]target.Held
}

// offers reports whether other VMs are told that an engine holds a model.
func (h *holder) offers(id, model string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := target.Weights{Models: h.held[id]}
	_, ok := w.Find(model)
	return ok
}

// setDemand makes callers ask for one model only.
func (h *holder) setDemand(model string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.demand = map[weightsdemand.Key]weightsdemand.Level{{Pool: "engines", Model: model}: {TokensPerSecond: 100_000}}
}

var _ = Describe("an order desk", func() {
	var (
		clock *clockwork.FakeClock
		start time.Time
		store *fakestore.Store
		p     *policy.Policy
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		start = clock.Now()
		store = fakestore.New(clock)
		p = (&policy.Policy{Pools: []policy.Pool{pool}}).Index()
	})
	begin := func(fleet *fleetSim, vm byte) *holder {
		h := &holder{held: make(map[string][]target.Held)}
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, vm}), 7600)
		boot := func() time.Duration { return clock.Since(start) }
		h.duty = duty.New(store, addr, 1, 3*time.Second, func() (bool, int) { return true, 0 }, hclog.NewNullLogger(), duty.WithClocks(clock, boot))
		h.desk = orderdesk.New(orderdesk.Parts{
			Name: addr.Addr().String(), Duty: h.duty, Engines: fleet,
			Policy:  func() *policy.Policy { return p },
			Targets: fleet.targets,
			Demand: func() map[weightsdemand.Key]weightsdemand.Level {
				h.mu.Lock()
				defer h.mu.Unlock()
				return h.demand
			},
			Requests: func(string) int { return 0 },
			Held: func(id string, _ int64, held []target.Held) {
				h.mu.Lock()
				defer h.mu.Unlock()
				h.held[id] = held
			},
			Clock: clock, Logger: hclog.NewNullLogger(),
		})
		var ctx context.Context
		ctx, h.stop = context.WithCancel(context.Background())
		go h.duty.Run(ctx)
		go h.desk.Run(ctx)
		DeferCleanup(func() {
			h.stop()
			Eventually(h.desk.Done()).Should(BeClosed())
			Eventually(h.duty.Done()).Should(BeClosed())
		})
		return h
	}
	pass := func(d time.Duration) {
		for ; d > 0; d -= 25 * time.Millisecond {
			clock.Advance(25 * time.Millisecond)
			time.Sleep(300 * time.Microsecond)
		}
	}

	It("gives every model a replica", func() {
		fleet := newFleet(clock, 3, 1)
		begin(fleet, 1)
		pass(12 * time.Second)
		for _, m := range pool.Engine.Models {
			Expect(fleet.replicas(m.Name)).To(BeNumerically(">=", 1), m.Name)
		}
		Expect(fleet.crashed()).To(BeEmpty())
	})

	It("gives a busy model more replicas and keeps one of each", func() {
		fleet := newFleet(clock, 3, 1)
		h := begin(fleet, 1)
		pass(12 * time.Second)
		h.setDemand("m2")
		pass(20 * time.Second)
		Expect(fleet.replicas("m2")).To(BeNumerically(">=", 2))
		for _, m := range pool.Engine.Models {
			Expect(fleet.replicas(m.Name)).To(BeNumerically(">=", 1), m.Name)
		}
		Expect(fleet.crashed()).To(BeEmpty())
	})

	It("sends no order after its term has ended", func() {
		fleet := newFleet(clock, 3, 1)
		h := begin(fleet, 1)
		pass(6 * time.Second)
		store.Fail(fakestore.Refused)
		pass(3 * time.Second)
		before := fleet.count()
		h.setDemand("m2")
		Expect(h.desk.Bring(context.Background(), "engines", "m1", "a1")).To(BeEmpty())
		pass(8 * time.Second)
		Expect(fleet.count()).To(Equal(before))
	})

	It("brings adapters, and lets others make way when the places are taken", func() {
		fleet := newFleet(clock, 1, 1)
		for _, e := range fleet.engines {
			e.models["m1"] = map[string]bool{}
		}
		h := begin(fleet, 1)
		pass(2 * time.Second)
		brought := 0
		for _, a := range []string{"a1", "a2", "a3", "a4", "a5", "a6"} {
			done := make(chan string)
			go func() { done <- h.desk.Bring(context.Background(), "engines", "m1", a) }()
			for waits := true; waits; {
				select {
				case id := <-done:
					waits = false
					if id != "" {
						brought++
					}
				default:
					pass(25 * time.Millisecond)
				}
			}
			pass(4 * time.Second)
		}
		Expect(brought).To(BeNumerically(">=", 5))
		Expect(fleet.crashed()).To(BeEmpty())
	})

	It("offers a model no more once its unload was sent, answered or not", func() {
		fleet := newFleet(clock, 3, 1)
		h := begin(fleet, 1)
		h.setDemand("m1")
		pass(15 * time.Second)
		fleet.mu.Lock()
		fleet.lost = 1
		fleet.mu.Unlock()
		h.setDemand("m2")
		dropped := func() (id, model string) {
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			for i, o := range fleet.sent {
				if o.Operation == target.Unload && o.Adapter == "" {
					return fleet.to[i], o.Model
				}
			}
			return "", ""
		}
		gone := false
		for i := 0; i < 800 && !gone; i++ {
			pass(25 * time.Millisecond)
			id, model := dropped()
			gone = id != "" && !fleet.holds(id, model)
			Expect(id != "" && !gone && h.offers(id, model)).To(BeFalse(), "%s at %s", model, id)
		}
		Expect(gone).To(BeTrue())
	})

	It("never overfills an engine while orders are lost and carried out late, over changes of the holder", func() {
		for seed := uint64(1); seed <= 6; seed++ {
			store = fakestore.New(clock)
			fleet := newFleet(clock, 3, seed)
			fleet.lost = 0.4
			for vm := byte(1); vm <= 3; vm++ {
				h := begin(fleet, vm)
				for i := range 6 {
					h.setDemand(pool.Engine.Models[(int(seed)+i)%4].Name)
					ctx, cancel := context.WithCancel(context.Background())
					for a := range 4 {
						go h.desk.Bring(ctx, "engines", "m1", "a"+string(rune('1'+(a+i)%9)))
					}
					pass(1500 * time.Millisecond)
					cancel()
				}
				h.stop()
				pass(5 * time.Second)
				Expect(fleet.crashed()).To(BeEmpty(), "seed %d, VM %d", seed, vm)
			}
		}
	})
})
