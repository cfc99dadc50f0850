package modelplacement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/modelplacement"
)

var _ = Describe("a plan for engines with limits", func() {
	limited := func(id string, models ...string) modelplacement.Engine {
		e := engine(id, models...)
		e.Limited = true
		return e
	}

	// Guards against models in demand that stay where only few requests are taken (LIMIT).
	It("moves a model in demand to an engine without a limit", func() {
		in := input(limited("e1", "busy", "calm"), limited("e2", "busy", "rare"), engine("e3", "calm", "rare"))
		in.Demand["busy"] = modelplacement.Demand{TokensPerSecond: 3_000} // two replicas are enough
		actions := modelplacement.NextActions(in)
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Engine).To(Equal("e3"))
		Expect(actions[0].Unload).To(BeTrue())
		Expect(actions[0].For).To(Equal("busy"))

		in.Engines[2] = engine("e3", "calm")
		Expect(modelplacement.NextActions(in)).To(ConsistOf(HaveField("Engine", "e3")))
	})

	// Guards against a model in demand that stays on engines with limits because the last
	// replicas of others are in its way.
	It("moves the last replica of a model without demand to an engine with a limit, for one in demand", func() {
		full := limited("e1", "busy")
		full.FreeMB = 0
		for _, first := range []modelplacement.Engine{limited("e1", "busy"), full} {
			engines := []modelplacement.Engine{first, limited("e2", "busy"), engine("e3", "calm", "rare")}
			engines[1].FreeMB = 0
			var trace []modelplacement.Action
			for range 6 {
				in := input(engines...)
				in.Demand["busy"] = modelplacement.Demand{TokensPerSecond: 3_000}
				for _, a := range modelplacement.NextActions(in) {
					trace = append(trace, a)
					carryOut(&engines[a.Engine[1]-'1'], &a)
				}
				for _, m := range []string{"busy", "calm", "rare"} {
					Expect(engines).To(ContainElement(HaveField("Serving", HaveKey(m))), "%v", trace)
				}
			}
			Expect(engines[2].Serving).To(HaveKey("busy"), "%v", trace)
			Expect(len(trace)).To(BeNumerically("<=", 4), "%v", trace)
		}
	})

	It("keeps the last replica of a model, also on an engine with a limit", func() {
		in := input(limited("e1", "rare", "calm"), engine("e2", "busy", "calm"))
		in.Demand["busy"] = modelplacement.Demand{TokensPerSecond: 20_000}
		Expect(modelplacement.NextActions(in)).To(BeEmpty())
	})

	It("plans as without limits if all engines have them", func() {
		for _, in := range []*modelplacement.Input{
			input(engine("e1", "busy"), engine("e2", "calm")),
			input(engine("e1", "busy", "calm"), engine("e2", "busy", "calm")),
			input(engine("e1", "busy", "calm"), engine("e2", "calm", "rare")),
		} {
			in.Demand["busy"] = modelplacement.Demand{TokensPerSecond: 20_000}
			free := modelplacement.NextActions(in)
			for i := range in.Engines {
				in.Engines[i].Limited = true
			}
			Expect(modelplacement.NextActions(in)).To(ConsistOf(free))
		}
	})
})

// carryOut carries out an action, and after an unload the load that it was for.
func carryOut(e *modelplacement.Engine, a *modelplacement.Action) {
	model := a.Model
	if a.Unload {
		delete(e.Models, model)
		delete(e.Serving, model)
		e.FreeMB += 70
		model = a.For
	}
	e.Models[model], e.Serving[model] = time.Time{}, true
	e.FreeMB -= 70
}
