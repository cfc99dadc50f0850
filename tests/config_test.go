package tests

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/acceptance"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/faultproxy"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/operatorclient"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/settings"
)

// proxiedFleet is a platform, a plain service, gateways and controllers. Each
// gateway and controller reaches the platform through a fault proxy of its own,
// and its peers reach it through another.
type proxiedFleet struct {
	*fleet.Fleet
	platform     *fleet.Standin
	plainService *fleet.Standin
	gateways     []*proxiedNode
	controllers  []*proxiedNode
	operator     *operatorclient.Client
	seeds        []netip.AddrPort
}

// proxiedNode is a process with its two fault proxies.
type proxiedNode struct {
	*fleet.Node
	storeProxy, peerProxy *faultproxy.Proxy
	seed                  netip.AddrPort
	// source is the address from which the process calls its peers; a proxy can
	// refuse connections by it.
	source netip.Addr
}

// startProxiedFleet starts a fleet with one gateway for each of the given
// regions, applies a set with two customers and waits until it is accepted and
// every gateway is ready.
func startProxiedFleet(ctx context.Context, controllers int, regions ...string) *proxiedFleet {
	f := &proxiedFleet{Fleet: newFleet()}
	var err error
	f.platform, err = f.StartPlatform(ctx, struct{}{})
	Expect(err).NotTo(HaveOccurred())
	f.plainService, err = f.StartService(ctx, "desk-0")
	Expect(err).NotTo(HaveOccurred())
	for i := range controllers {
		f.controllers = append(f.controllers, f.startController(ctx, fmt.Sprintf("controller-%d", i)))
	}
	for i, region := range regions {
		f.gateways = append(f.gateways, f.startGateway(ctx, fmt.Sprintf("gateway-%d", i), region))
	}
	nodes := make([]*fleet.Node, 0, controllers)
	for _, c := range f.controllers {
		nodes = append(nodes, c.Node)
	}
	f.operator = f.Operator(nodes...)
	f.waitForMembers(ctx, len(regions))
	applied, err := f.operator.Apply(ctx, &revision.Edit{ID: uuid.NewString(), Put: f.objects()})
	Expect(err).NotTo(HaveOccurred())
	f.waitForAcceptance(ctx, applied.Revision)
	for _, g := range f.gateways {
		Expect(g.Ready(ctx)).To(Succeed())
	}
	return f
}

// nextSource returns the source address of the next process to start.
func (f *proxiedFleet) nextSource() netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, 1, byte(len(f.seeds) + 1)})
}

// addProxies starts the fault proxies of a process, points its settings at them
// and adds its peer address to the seeds of later processes.
func (f *proxiedFleet) addProxies(cfg *settings.Process) *proxiedNode {
	source := f.nextSource()
	cfg.PeerListen = netip.AddrPortFrom(source, cfg.PeerListen.Port())
	storeProxy, err := faultproxy.Start(f.platform.Addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(storeProxy.Close)
	peerProxy, err := faultproxy.Start(cfg.PeerListen)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(peerProxy.Close)
	cfg.Platform = storeProxy.Addr()
	cfg.PeerAddress = peerProxy.Addr()
	cfg.SeedPeers = f.seeds
	f.seeds = append(f.seeds, peerProxy.Addr())
	return &proxiedNode{storeProxy: storeProxy, peerProxy: peerProxy, seed: peerProxy.Addr(), source: source}
}

func (f *proxiedFleet) startController(ctx context.Context, name string) *proxiedNode {
	var n *proxiedNode
	node, err := f.StartController(ctx, name, func(cfg *settings.Controller) { n = f.addProxies(&cfg.Process) })
	Expect(err).NotTo(HaveOccurred())
	n.Node = node
	return n
}

func (f *proxiedFleet) startGateway(ctx context.Context, name, region string, changes ...func(*settings.Gateway)) *proxiedNode {
	var n *proxiedNode
	node, err := f.StartGateway(ctx, name, func(cfg *settings.Gateway) {
		n = f.addProxies(&cfg.Process)
		cfg.Region = region
		cfg.EntryTTL = 100 * time.Millisecond
		for _, change := range changes {
			change(cfg)
		}
	})
	Expect(err).NotTo(HaveOccurred())
	n.Node = node
	return n
}

func (f *proxiedFleet) objects() object.Set {
	return object.Set{
		Customers: map[string]object.Customer{"circle": {Rate: "small"}, "dealer": {Rate: "small"}},
		Keys: map[string]object.Key{
			"circle-1": keyObject("circle", circleKey),
			"dealer-1": keyObject("dealer", dealerKey),
		},
		Rates:  map[string]object.Rate{"small": {TokensPerSecond: 1e6, BurstTokens: 1e6}},
		Routes: map[string]object.Route{"print": {PathPrefix: "/print", Pool: "desk", Repeatable: true}},
		Pools:  map[string]object.Pool{"desk": {Kind: object.PoolService}},
		Targets: map[string]object.Target{
			"desk-0": {Pool: "desk", Address: f.plainService.Addr, DataCentre: "dc-1", VM: "vm-desk-0"},
		},
	}
}

// nodeDump is the part of a process's dump that these tests read.
type nodeDump struct {
	Revision      int64  `json:"revision"`
	MemberVersion int64  `json:"member_version"`
	Settled       int64  `json:"settled_member_version"`
	Digest        string `json:"digest"`
	Members       []struct {
		Name        string `json:"name"`
		Incarnation string `json:"incarnation"`
		Role        string `json:"role"`
		Joined      int64  `json:"joined"`
	} `json:"members"`
}

func dumpOf(ctx context.Context, n *fleet.Node) (nodeDump, error) {
	var d nodeDump
	a := send(ctx, http.MethodGet, n.Admin, "/dump", "", "", nil)
	return d, json.Unmarshal([]byte(a.body), &d)
}

// waitForMembers waits until every process lists the given number of gateways, and
// knows their list to be settled: until then an edit needs the majority of each shorter
// list too, so both gateways of a list of two.
func (f *proxiedFleet) waitForMembers(ctx context.Context, gateways int) {
	for _, n := range append(append([]*proxiedNode{}, f.gateways...), f.controllers...) {
		Expect(fleet.Eventually(ctx, func() error {
			d, err := dumpOf(ctx, n.Node)
			if err != nil {
				return err
			}
			count := 0
			for _, m := range d.Members {
				if m.Role != "gateway" {
					continue
				}
				count++
				if m.Joined > d.Settled {
					return fmt.Errorf("%s knows version %d to be settled, %s joined in %d", n.Name, d.Settled, m.Name, m.Joined)
				}
			}
			if count != gateways {
				return fmt.Errorf("%s lists %d gateways", n.Name, count)
			}
			return nil
		})).To(Succeed())
	}
}

// waitForAcceptance waits until a revision is accepted.
func (f *proxiedFleet) waitForAcceptance(ctx context.Context, rev int64) {
	Expect(fleet.Eventually(ctx, func() error {
		status, err := f.operator.Acceptance(ctx, rev, 5*time.Second)
		if err == nil && !status.Accepted {
			err = fmt.Errorf("revision %d is not accepted: %v", rev, status.Missing)
		}
		return err
	})).To(Succeed())
}

// withID gives an edit a new ID unless it has one, and returns it.
func (f *proxiedFleet) withID(e *revision.Edit) *revision.Edit {
	if e.ID == "" {
		e.ID = uuid.NewString()
	}
	return e
}

// apply publishes an edit that conflicts with no other: the revision it is based
// on is far above the current one.
func (f *proxiedFleet) apply(ctx context.Context, e *revision.Edit) *operatorclient.ApplyResult {
	e.BasedOn = 1 << 40
	applied, err := f.operator.Apply(ctx, f.withID(e))
	Expect(err).NotTo(HaveOccurred())
	return applied
}

// setPlatformFault replaces the faults of the platform by a JSON object.
func (f *proxiedFleet) setPlatformFault(ctx context.Context, body string) {
	a := send(ctx, http.MethodPost, f.platform.Addr, "/standin/fault", "", body, nil)
	Expect(a.status).To(Equal(http.StatusOK), a.body)
}

// sendOrder sends one request with an API key to the plain service.
func sendOrder(ctx context.Context, n *proxiedNode, key string) answer {
	return send(ctx, http.MethodPost, n.Addr, "/print/order", key, "bands", nil)
}

// waitUntilAtRevision waits until a gateway serves at least a revision and is
// ready.
func waitUntilAtRevision(ctx context.Context, n *proxiedNode, rev int64) {
	Expect(fleet.Eventually(ctx, func() error {
		d, err := dumpOf(ctx, n.Node)
		if err == nil && d.Revision < rev {
			err = fmt.Errorf("%s is at revision %d", n.Name, d.Revision)
		}
		return err
	})).To(Succeed())
	Expect(n.Ready(ctx)).To(Succeed())
}

func customerEdit(name string) *revision.Edit {
	return &revision.Edit{Put: object.Set{Customers: map[string]object.Customer{name: {Rate: "small"}}}}
}

var _ = Describe("an accepted configuration", func() {
	It("contains the edits of concurrent operators, and a conflict names its objects", func() {
		ctx := testContext()
		f := startProxiedFleet(ctx, 2, "region-1", "region-1", "region-1")
		base, err := f.operator.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())

		By("merging edits that do not overlap, sent to two controllers concurrently")
		const writers = 8
		revisions := make([]int64, writers)
		var wg sync.WaitGroup
		for i := range writers {
			wg.Go(func() {
				defer GinkgoRecover()
				e := customerEdit(fmt.Sprintf("guest-%d", i))
				e.ID, e.BasedOn = uuid.NewString(), base.Revision
				applied, err := f.Operator(f.controllers[i%2].Node).Apply(ctx, e)
				Expect(err).NotTo(HaveOccurred())
				revisions[i] = applied.Revision
			})
		}
		wg.Wait()
		s, err := f.operator.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Revision).To(Equal(base.Revision + writers))
		for i := range writers {
			Expect(s.Objects.Customers).To(HaveKey(fmt.Sprintf("guest-%d", i)))
		}
		Expect(revisions).To(ConsistOf([]int64{2, 3, 4, 5, 6, 7, 8, 9}))

		By("refusing the second of two edits of one object")
		e := f.withID(customerEdit("guest-3"))
		e.BasedOn = base.Revision
		_, err = f.operator.Apply(ctx, e)
		Expect(failure.Is(err, failure.Conflict)).To(BeTrue(), "%v", err)
		Expect(err).To(MatchError(ContainSubstring("customer/guest-3")))

		By("being accepted, and restoring an earlier set as a new revision on every gateway")
		f.waitForAcceptance(ctx, s.Revision)
		restored := f.apply(ctx, &revision.Edit{Restore: base.Revision})
		f.waitForAcceptance(ctx, restored.Revision)
		for _, g := range f.gateways {
			waitUntilAtRevision(ctx, g, restored.Revision)
		}
		s, err = f.operator.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Objects).To(Equal(base.Objects))
		entries, err := f.operator.History(ctx, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(3))
		Expect(entries[0].Revision).To(Equal(restored.Revision))
	})

	It("reports the original outcome of an edit that is repeated after lost answers", func() {
		ctx := testContext()
		f := startProxiedFleet(ctx, 1, "region-1")
		e := f.withID(customerEdit("guest"))
		e.BasedOn = 1
		f.setPlatformFault(ctx, `{"lose_answers":1}`)
		first, err := f.operator.Apply(ctx, e)
		Expect(err).NotTo(HaveOccurred())

		By("repeating it after later edits, one of which changed the same object")
		f.apply(ctx, customerEdit("other"))
		f.apply(ctx, &revision.Edit{Delete: []string{"customer/guest"}})
		again, err := f.operator.Apply(ctx, e)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
		s, err := f.operator.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Revision).To(Equal(int64(4)))
		Expect(s.Objects.Customers).NotTo(HaveKey("guest"))
	})

	It("is served during a store outage, also by a process that starts in it", func() {
		ctx := testContext()
		f := startProxiedFleet(ctx, 1, "region-1", "region-1", "region-1")
		f.setPlatformFault(ctx, `{"outage":true}`)

		By("serving for several times the freshness bound, and refusing edits as store unavailable")
		_, err := f.operator.Apply(ctx, f.withID(customerEdit("guest")))
		Expect(failure.Is(err, failure.StoreUnavailable)).To(BeTrue(), "%v", err)
		f.serveFor(ctx, 10*time.Second, f.gateways...)

		By("starting a gateway that reaches only its peers")
		late := f.startGateway(ctx, "gateway-late", "region-1")
		Expect(late.Ready(ctx)).To(Succeed())
		Expect(sendOrder(ctx, late, circleKey).status).To(Equal(http.StatusOK))

		By("accepting edits again after the outage")
		f.setPlatformFault(ctx, `{}`)
		Expect(fleet.Eventually(ctx, func() error {
			_, err := f.operator.Apply(ctx, f.withID(customerEdit("guest")))
			return err
		})).To(Succeed())
		f.waitForAcceptance(ctx, 2)
	})

	It("is not served in an older revision by a new process that reaches only a stale peer", func() {
		ctx := testContext()
		f := startProxiedFleet(ctx, 1, "region-1", "region-1", "region-1")
		stale := f.gateways[2]

		By("isolating one gateway, and losing the store right after the commit")
		others := append(f.gateways[:2:2], f.controllers...)
		cutFromStore(stale)
		cutBetween([]*proxiedNode{stale, {peerProxy: stale.peerProxy, source: f.nextSource()}}, others)
		withdrawn := f.apply(ctx, &revision.Edit{Delete: []string{"key/circle-1"}})
		f.setPlatformFault(ctx, `{"outage":true}`)
		f.waitForAcceptance(ctx, withdrawn.Revision)

		time.Sleep(withdrawalBound)

		By("starting a gateway that reaches only the stale one: it refuses requests instead of serving the old set")
		fresh := f.startGateway(ctx, "gateway-fresh", "region-1", func(cfg *settings.Gateway) {
			cfg.SeedPeers = []netip.AddrPort{stale.seed}
		})
		Expect(fleet.Eventually(ctx, func() error {
			d, err := dumpOf(ctx, fresh.Node)
			if err == nil && d.Revision == 0 {
				err = errors.New("the new gateway has no configuration")
			}
			return err
		})).To(Succeed())
		end := time.Now().Add(6 * time.Second)
		for time.Now().Before(end) {
			a := sendOrder(ctx, fresh, circleKey)
			Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
			time.Sleep(50 * time.Millisecond)
		}

		By("reconnecting the new gateway to the others")
		for _, n := range append(others, stale) {
			n.peerProxy.SetFault(faultproxy.Fault{})
		}
		Expect(fresh.Ready(ctx)).To(Succeed())
		waitUntilAtRevision(ctx, fresh, withdrawn.Revision)
		Expect(sendOrder(ctx, fresh, dealerKey).status).To(Equal(http.StatusOK))
		Expect(sendOrder(ctx, fresh, circleKey).status).To(Equal(http.StatusUnauthorized))
	})

	It("is committed but not accepted while a region is partitioned, and each region keeps serving", func() {
		ctx := testContext()
		f := startProxiedFleet(ctx, 1, "region-1", "region-1", "region-1", "region-2", "region-2", "region-2")
		near, far := f.gateways[:3], f.gateways[3:]

		By("partitioning the regions: the edit is not accepted, and region-1 serves it")
		home := append(append([]*proxiedNode{}, near...), f.controllers...)
		for _, g := range far {
			cutFromStore(g)
		}
		cutBetween(home, far)
		applied := f.apply(ctx, customerEdit("guest"))
		status, err := f.operator.Acceptance(ctx, applied.Revision, 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Accepted).To(BeFalse())
		Expect(missingRegions(status)).To(Equal([]string{"region-2"}))
		for _, g := range near {
			waitUntilAtRevision(ctx, g, applied.Revision)
		}

		By("serving in both regions for longer than the freshness bound")
		f.serveFor(ctx, 8*time.Second, f.gateways...)
		for _, g := range far {
			d, err := dumpOf(ctx, g.Node)
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Revision).To(Equal(int64(1)))
		}

		By("accepting the edit when the partition ends")
		for _, n := range append(home, far...) {
			n.peerProxy.SetFault(faultproxy.Fault{})
		}
		f.waitForAcceptance(ctx, applied.Revision)
		for _, g := range far {
			waitUntilAtRevision(ctx, g, applied.Revision)
		}
	})
})

// cutBetween closes and refuses every connection between two sets of processes,
// and none within a set.
func cutBetween(a, b []*proxiedNode) {
	refuse := func(at, from []*proxiedNode) {
		var sources []netip.Addr
		for _, n := range from {
			sources = append(sources, n.source)
		}
		for _, n := range at {
			n.peerProxy.SetFault(faultproxy.Fault{RefuseFrom: sources})
			n.peerProxy.CutAll()
		}
	}
	refuse(a, b)
	refuse(b, a)
}

func freeze(nodes ...*proxiedNode) {
	for _, n := range nodes {
		Expect(n.Freeze()).To(Succeed())
	}
}

func thaw(nodes ...*proxiedNode) {
	for _, n := range nodes {
		Expect(n.Thaw()).To(Succeed())
	}
}

// serveFor sends requests with an API key to the gateways for the duration d and
// fails the test unless every one is served.
func (f *proxiedFleet) serveFor(ctx context.Context, d time.Duration, gateways ...*proxiedNode) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		for _, g := range gateways {
			a := sendOrder(ctx, g, circleKey)
			Expect(a.status).To(Equal(http.StatusOK), a.body)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// missingRegions returns the regions that acceptance still waits for.
func missingRegions(status *acceptance.Status) []string {
	var regions []string
	for _, m := range status.Missing {
		if m.Blocking {
			regions = append(regions, m.Region)
		}
	}
	return regions
}
