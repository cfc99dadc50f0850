package tests

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/settings"
	"fireflypier.example/fireflypier/internal/standin/cloud"
	"fireflypier.example/fireflypier/internal/standin/tablestore"
)

var _ = Describe("every model stays available", func() {
	It("loads the models of a killed engine on other engines, also if it is killed during a store outage", func() {
		ctx := testContext()
		f := startEngineFleet(ctx, 4, true, false, true, false)
		c := f.startController(ctx, netip.AddrPort{})
		f.apply(ctx, c)
		f.waitForReplicas(ctx, 2)
		g := f.startGateway(ctx)
		f.waitForAnswers(ctx, g)

		By("killing an engine during a store outage")
		setFault(ctx, f.platform, cloud.Fault{Fault: tablestore.Fault{Outage: true}})
		f.engines[0].Kill()
		f.waitForAnswers(ctx, g)
		setFault(ctx, f.platform, cloud.Fault{})
		f.waitForReplicas(ctx, 2)

		By("killing the planner and all engines but one while the weight store is slow")
		second := f.startController(ctx, netip.AddrPort{})
		const loadsPerSecond = 0.5
		f.setWeightStore(ctx, cloud.WeightConfig{LoadTime: 10 * loadTime, LoadsPerSecond: loadsPerSecond, LoadsAtOnce: 1})
		survivor, lost := f.engineWithFewestModels(ctx)
		Expect(lost).NotTo(BeZero())
		start := time.Now()
		c.Kill()
		for _, e := range f.engines[1:] {
			if e != survivor {
				e.Kill()
			}
		}
		f.waitForAnswers(ctx, g)
		GinkgoWriter.Printf("%d models were lost; all were served after %s; the limit of the weight store is %s\n",
			lost, time.Since(start).Round(time.Millisecond), time.Duration(float64(lost)/loadsPerSecond*float64(time.Second)))
		waitForPlanner(ctx, second)
	})

	It("rolls out versions without refusing a request while an engine restarts under load", func() {
		ctx := testContext()
		f := startEngineFleet(ctx, 5, true, false, true)
		c := f.startController(ctx, netip.AddrPort{})
		f.apply(ctx, c)
		f.waitForReplicas(ctx, 2)
		g := f.startGateway(ctx)
		f.waitForAnswers(ctx, g)
		running, stop := context.WithCancel(ctx)
		var wg conc.WaitGroup
		failures := make(chan string, 1)
		for name := range f.set.Models {
			wg.Go(func() { chatUntil(running, ctx, g, name, failures) })
		}

		By("rolling out two versions of every model while an engine restarts")
		f.setVersionAndSize("2", 6*gib)
		f.apply(ctx, c)
		f.restart(ctx, 0)
		f.waitForReplicas(ctx, 1)
		f.setVersionAndSize("3", 5*gib)
		f.apply(ctx, c)
		f.waitForReplicas(ctx, 1)
		stop()
		wg.Wait()
		Expect(failures).To(BeEmpty(), func() string { return <-failures })
	})

	It("loads adapters on demand while their requests wait", func() {
		ctx := testContext()
		f := startEngineFleet(ctx, 3, true, false)
		for i := range 6 {
			f.set.Adapters[fmt.Sprintf("adapter-%d", i)] = object.Adapter{Model: "model-0", Version: "1", MemoryBytes: 2 * gib}
		}
		c := f.startController(ctx, netip.AddrPort{})
		f.apply(ctx, c)
		f.waitForReplicas(ctx, 1)
		g := f.startGateway(ctx)
		f.waitForAnswers(ctx, g)
		for i := range 6 {
			a := chatWith(ctx, g, fmt.Sprintf("adapter-%d", i))
			Expect(a.status).To(Equal(http.StatusOK), a.body)
		}
	})

	It("moves the shard of a killed planner to another controller, whose status shows the models at risk", func() {
		ctx := testContext()
		f := startEngineFleet(ctx, 3, true, true)
		first := f.startController(ctx, netip.AddrPort{})
		f.apply(ctx, first)
		f.waitForReplicas(ctx, 2)
		waitForPlanner(ctx, first)
		second := f.startController(ctx, netip.AddrPort{})
		start := time.Now()
		first.Kill()
		waitForPlanner(ctx, second)
		GinkgoWriter.Printf("the shard was taken over %s after the kill\n", time.Since(start).Round(time.Millisecond))
		f.engines[1].Kill()
		Expect(fleet.Eventually(ctx, func() error {
			shards, err := shardsOf(ctx, second)
			if err != nil {
				return err
			}
			for _, m := range shards[0].Models {
				if !m.AtRisk || m.Unreachable {
					return fmt.Errorf("status of %s does not show it as at risk and reachable: %+v", m.Name, m)
				}
			}
			return nil
		})).To(Succeed())
	})
})

// engineWithFewestModels returns the engine that lacks the most models of the set,
// and how many it lacks. It skips the first engine. If no engine lacks a model, it
// returns nil and zero.
func (f *engineFleet) engineWithFewestModels(ctx context.Context) (found *fleet.Standin, missing int) {
	for _, e := range f.engines[1:] {
		r := report(ctx, e.Addr)
		Expect(r).NotTo(BeNil())
		n := 0
		for name := range f.set.Models {
			if !holdsModel(r, name, "") {
				n++
			}
		}
		if n > missing {
			found, missing = e, n
		}
	}
	return found, missing
}

func (f *engineFleet) startGateway(ctx context.Context) *fleet.Node {
	g, err := f.StartGateway(ctx, "gateway-0", func(cfg *settings.Gateway) { cfg.FreshnessBound = time.Minute })
	Expect(err).NotTo(HaveOccurred())
	Expect(g.Ready(ctx)).To(Succeed())
	return g
}

func chatWith(ctx context.Context, g *fleet.Node, model string) answer {
	return chat(ctx, g.Addr, circleKey, fmt.Sprintf(`{"model":%q,"max_tokens":2,"messages":[]}`, model))
}

// waitForAnswers waits until the gateway serves every model of the set.
func (f *engineFleet) waitForAnswers(ctx context.Context, g *fleet.Node) {
	GinkgoHelper()
	for name := range f.set.Models {
		Expect(fleet.Eventually(ctx, func() error {
			if a := chatWith(ctx, g, name); a.status != http.StatusOK {
				return fmt.Errorf("%s: status %d: %s", name, a.status, a.body)
			}
			return nil
		})).To(Succeed())
	}
}

// chatUntil sends chats to a model until running ends or a chat fails. It sends the
// failure to failures, or drops it if the channel is full.
func chatUntil(running, ctx context.Context, g *fleet.Node, model string, failures chan<- string) {
	for running.Err() == nil {
		if a := chatWith(ctx, g, model); a.status != http.StatusOK {
			select {
			case failures <- fmt.Sprintf("%s: status %d: %s", model, a.status, a.body):
			default:
			}
			return
		}
	}
}

func (f *engineFleet) setWeightStore(ctx context.Context, cfg cloud.WeightConfig) {
	body, err := document.Encode(cfg)
	Expect(err).NotTo(HaveOccurred())
	a := send(ctx, http.MethodPost, f.platform.Addr, "/standin/weights", "", string(body), nil)
	Expect(a.status).To(Equal(http.StatusOK), a.body)
}
