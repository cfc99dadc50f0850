package fleetview_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/target"
)

var _ = Describe("a target that stalls", func() {
	start := time.Unix(1000, 0)
	r := &fleetview.Requirements{Pool: &policy.Pool{Name: "p", Engine: &policy.Engine{Slots: 64, KVTokens: 200_000}}, Model: "m", PromptTokens: 600, AnswerTokens: 20}
	var v *fleetview.View
	// others sets the prompt tokens at e2.
	others := func(tokens uint32) {
		v.SetOtherLoads([]*meshpb.Load{{Target: "e2", Requests: []uint32{1}, PromptTokens: []uint32{tokens}, KvTokens: []uint32{tokens}}})
	}
	begin := func(id string, now time.Time) *fleetview.Ticket {
		excluded := map[string]string{"e1": "e2", "e2": "e1"}[id]
		only := *r
		only.Exclude = []string{excluded}
		c := v.Choose(&only, now)
		return v.Begin(&c, &only, now)
	}
	BeforeEach(func() {
		v = fleetview.New("a")
		for _, id := range []string{"e1", "e2"} {
			v.Set(&target.Target{ID: id, Pool: "p", DataCentre: "a", Slots: 64, Weights: target.Weights{Models: []target.LoadedModel{{Model: "m"}}}})
		}
	})

	It("is avoided before it answers, and no longer once it does", func() {
		waiting := begin("e1", start)
		others(3600) // 100 ms more than at e1
		Expect(v.Choose(r, start.Add(50*time.Millisecond)).Target.ID).To(Equal("e1"))
		later := start.Add(400 * time.Millisecond)
		Expect(v.Choose(r, later).Target.ID).To(Equal("e2"))
		Expect(v.Stalled(later)).To(Equal(1))
		begin("e1", later).Started(later.Add(20 * time.Millisecond))
		_ = waiting // still slow, but the engine works
		Expect(v.Stalled(later.Add(20 * time.Millisecond))).To(BeZero())
		others(36_000)
		Expect(v.Choose(r, later.Add(30*time.Millisecond)).Target.ID).To(Equal("e1"))
	})

	It("is not excluded by one slow request", func() {
		begin("e1", start)
		others(36_000) // a second more than at e1
		Expect(v.Choose(r, start.Add(10*time.Second)).Target.ID).To(Equal("e1"))
	})

	It("counts as slow, and as fast again, after three observations", func() {
		at := func(id string, now time.Time) time.Duration {
			only := *r
			only.Exclude = []string{map[string]string{"e1": "e2", "e2": "e1"}[id]}
			return v.Choose(&only, now).Expected
		}
		now, usual := start, at("e1", start)
		observe := func(rounds int, slowness time.Duration) {
			for range rounds {
				for i, took := range []time.Duration{slowness * usual, usual} {
					t := begin([]string{"e1", "e2"}[i], now)
					t.Started(now.Add(took))
					t.End(false, now.Add(took))
				}
				now = now.Add(time.Second)
			}
		}
		observe(20, 1)
		observe(3, 3)
		Expect(at("e1", now)).To(BeNumerically(">", 2*at("e2", now)), "nearer to three than to one")
		observe(3, 1)
		Expect(at("e1", now)).To(BeNumerically("<", 2*at("e2", now)), "nearer to one than to three")
	})
})

// Guards against requests that leave their data centre because plain services, whose times
// are not learned, take longer than assumed.
func TestPlainServicesDoNotStall(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	// Without a seed, the farther service would win the first draw in exp(-6) of all runs.
	v := fleetview.New("a", fleetview.WithRandom(rand.New(rand.NewPCG(1, 1))))
	for _, id := range []string{"a1", "b1"} {
		v.Set(&target.Target{ID: id, Pool: "p", DataCentre: id[:1], Slots: 4})
	}
	r := &fleetview.Requirements{Pool: &policy.Pool{Name: "p"}}
	c := v.Choose(r, now)
	g.Expect(c.Target.ID).To(Equal("a1"))
	v.Begin(&c, r, now)
	now = now.Add(time.Second)
	g.Expect(v.Stalled(now)).To(BeZero())
	// The distance is 6 ms, the other request adds 1 ms, and the random part has a scale of 1 ms.
	home := 0
	for range 100 {
		if v.Choose(r, now).Target.ID == "a1" {
			home++
		}
	}
	g.Expect(home).To(BeNumerically(">", 50))
}
