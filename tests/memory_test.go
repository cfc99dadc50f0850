package tests

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/faultproxy"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/standin/modelengine"
)

// Each table runs with engines that check fencing tokens and with engines that
// ignore them.
var _ = Describe("accelerator memory is never overcommitted", func() {
	kinds := []TableEntry{
		Entry("engines that check fencing tokens", true),
		Entry("engines that ignore fencing tokens", false),
	}

	DescribeTable("while orders are lost, delayed and duplicated and their answers are lost", func(checks bool) {
		ctx := testContext()
		f := startEngineFleet(ctx, 5, checks, checks, checks)
		setFault(ctx, f.engines[0], modelengine.Fault{DropOrders: 2})
		setFault(ctx, f.engines[1], modelengine.Fault{OrderDelay: 700 * time.Millisecond})
		setFault(ctx, f.engines[2], modelengine.Fault{LoseOrderAnswers: 2})
		c := f.startController(ctx, netip.AddrPort{})
		f.apply(ctx, c)
		f.waitForReplicas(ctx, 1)
		if !checks {
			// Orders without an answer keep their bytes reserved until the engines
			// restart.
			f.restartAll(ctx)
			f.waitForReplicas(ctx, 1)
		}

		By("rolling out another version and size while orders are delayed and duplicated")
		for i := range 3 {
			setFault(ctx, f.engines[i], modelengine.Fault{OrderDelay: 300 * time.Millisecond})
		}
		f.setVersionAndSize("2", 6*gib)
		f.apply(ctx, c)
		f.waitForLedgerEntry(ctx, "model-0", "2", ledger.Loading)
		for _, e := range f.engines {
			setFault(ctx, e, modelengine.Fault{})
		}
		if !checks {
			f.restartAll(ctx)
		}
		f.waitForReplicas(ctx, 1)
	}, kinds)

	DescribeTable("when a planner freezes between ledger write and order and thaws after its successor has sent orders", func(checks bool) {
		ctx := testContext()
		f := startEngineFleet(ctx, 4, checks, checks)
		proxy, err := faultproxy.Start(f.platform.Addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		first := f.startController(ctx, proxy.Addr())
		f.apply(ctx, first)
		f.waitForReplicas(ctx, 2)
		waitForPlanner(ctx, first)

		By("freezing the planner while the answer to its ledger write is in transit")
		f.set.Models["late"] = object.Model{Pool: "engines", Version: "1", MemoryBytes: 9 * gib}
		delete(f.set.Models, "model-3")
		proxy.SetFault(faultproxy.Fault{Delay: 500 * time.Millisecond})
		f.apply(ctx, first, "model/model-3")
		f.waitForLedgerEntry(ctx, "late", "1", ledger.Loading)
		Expect(first.Freeze()).To(Succeed())
		proxy.SetFault(faultproxy.Fault{})

		By("letting its successor plan, with other sizes")
		second := f.startController(ctx, netip.AddrPort{})
		delete(f.set.Models, "late")
		f.set.Models["other"] = object.Model{Pool: "engines", Version: "1", MemoryBytes: 5 * gib}
		f.apply(ctx, second, "model/late")
		waitForPlanner(ctx, second)
		f.waitForReplicas(ctx, 1)

		By("thawing it, after the engines have restarted and loaded models again")
		f.restartAll(ctx)
		f.waitForReplicas(ctx, 2)
		Expect(first.Thaw()).To(Succeed())
		Expect(fleet.Eventually(ctx, func() error {
			shards, err := shardsOf(ctx, first)
			if err == nil && len(shards) > 0 {
				err = fmt.Errorf("the thawed planner still plans shards:\n%s\n%s", logTail(first), logTail(second))
			}
			return err
		})).To(Succeed())
		f.waitForReplicas(ctx, 2)
	}, kinds)

	DescribeTable("when a planner is killed with orders in transit, an engine restarts, and operators edit targets", func(checks bool) {
		ctx := testContext()
		f := startEngineFleet(ctx, 6, checks, checks, !checks)
		first := f.startController(ctx, netip.AddrPort{})
		f.apply(ctx, first)
		f.waitForReplicas(ctx, 1)
		waitForPlanner(ctx, first)
		second := f.startController(ctx, netip.AddrPort{})

		By("killing the planner while its orders are delayed and duplicated")
		for _, e := range f.engines {
			setFault(ctx, e, modelengine.Fault{OrderDelay: 2 * time.Second})
		}
		f.setVersionAndSize("2", 6*gib)
		f.apply(ctx, first)
		f.waitForLedgerEntry(ctx, "model-0", "2", ledger.Loading)
		first.Kill()

		By("restarting an engine, lowering the memory of another and renaming a third")
		f.restart(ctx, 0)
		t := f.set.Targets["engine-1"]
		t.MemoryBytes = 14 * gib
		f.set.Targets["engine-1"] = t
		f.set.Targets["engine-2-again"] = f.set.Targets["engine-2"]
		delete(f.set.Targets, "engine-2")
		f.apply(ctx, second, "target/engine-2")
		waitForPlanner(ctx, second)
		for _, e := range f.engines {
			setFault(ctx, e, modelengine.Fault{})
		}
		f.restartWithoutFencing(ctx)
		f.waitForReplicas(ctx, 1)
	}, kinds)
})

// logTail returns the last 4000 bytes of a node's log.
func logTail(n *fleet.Node) string {
	const length = 4000
	log, err := n.Log()
	if err != nil {
		return err.Error()
	}
	return log[max(0, len(log)-length):]
}

// setVersionAndSize sets the version and the size of every model in the set.
func (f *engineFleet) setVersionAndSize(version string, bytes int64) {
	for name, m := range f.set.Models {
		m.Version = version
		m.MemoryBytes = bytes
		f.set.Models[name] = m
	}
}

// restart kills an engine's process and starts a new one at the same address.
func (f *engineFleet) restart(ctx context.Context, i int) {
	e := f.engines[i]
	e.Kill()
	again, err := f.RestartEngine(ctx, fmt.Sprintf("%s-again-%d", e.Name, time.Now().UnixNano()), e.Addr, f.configs[i])
	Expect(err).NotTo(HaveOccurred())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[i] = again
}

// restartAll restarts every engine, one after another. On an engine that ignores
// fencing tokens, only a restart frees the bytes of orders without an answer.
func (f *engineFleet) restartAll(ctx context.Context) {
	for i := range f.engines {
		f.restart(ctx, i)
	}
}

// restartWithoutFencing restarts the engines that ignore fencing tokens.
func (f *engineFleet) restartWithoutFencing(ctx context.Context) {
	for i := range f.engines {
		if !f.configs[i].ChecksFencing {
			f.restart(ctx, i)
		}
	}
}
