package tests

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/faultproxy"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/settings"
	"fireflypier.example/fireflypier/internal/share"
	"fireflypier.example/fireflypier/internal/standin/plainservice"
	"fireflypier.example/fireflypier/internal/table"
)

const (
	meteredKey      = "key-of-the-metered-customer"
	meteredCost     = 100  // tokens per request
	meteredRate     = 2000 // tokens per second; the burst is the same number of tokens
	meteredGateways = 3
)

// meteredFleet is a small fleet whose gateways reach the platform and each
// other through fault proxies.
type meteredFleet struct {
	*smallFleet
	platformProxies []*faultproxy.Proxy
	peerProxies     []*faultproxy.Proxy
}

func startMeteredFleet(ctx context.Context) *meteredFleet {
	f := &meteredFleet{smallFleet: startSmallFleet(ctx, 0, 1)}
	f.setRate(ctx, meteredRate, meteredRate)
	for i := range meteredGateways {
		f.startMeteredGateway(ctx, i)
	}
	for _, g := range f.gateways {
		Expect(g.Ready(ctx)).To(Succeed())
	}
	return f
}

func startProxyTo(addr netip.AddrPort) *faultproxy.Proxy {
	p, err := faultproxy.Start(addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	return p
}

func (f *meteredFleet) startMeteredGateway(ctx context.Context, i int) {
	f.platformProxies = append(f.platformProxies, startProxyTo(f.platform.Addr))
	g, err := f.StartGateway(ctx, fmt.Sprintf("gateway-%d", i), func(cfg *settings.Gateway) {
		f.peerProxies = append(f.peerProxies, startProxyTo(cfg.PeerListen))
		f.configure(cfg, i)
	})
	Expect(err).NotTo(HaveOccurred())
	f.gateways = append(f.gateways, g)
}

// configure sets gateway i's proxies and a freshness bound longer than any store
// outage of the tests, so that only the limiter keeps the rate.
func (f *meteredFleet) configure(cfg *settings.Gateway, i int) {
	cfg.Platform = f.platformProxies[i].Addr()
	cfg.PeerAddress = f.peerProxies[i].Addr()
	cfg.EntryTTL = time.Second
	cfg.FreshnessBound = time.Hour
}

// restart starts gateway i again on its previous addresses. The previous process
// must have ended.
func (f *meteredFleet) restart(ctx context.Context, i int) {
	old := f.gateways[i]
	g, err := f.StartGateway(ctx, old.Name, func(cfg *settings.Gateway) {
		cfg.Listen = old.Addr
		cfg.PeerListen = old.Peer
		cfg.AdminListen = old.Admin
		f.configure(cfg, i)
	})
	Expect(err).NotTo(HaveOccurred())
	f.gateways[i] = g
}

func (f *meteredFleet) setRate(ctx context.Context, rate, burst float64) {
	f.apply(ctx, &revision.Edit{Put: object.Set{
		Rates:     map[string]object.Rate{"metered": {TokensPerSecond: rate, BurstTokens: burst}},
		Customers: map[string]object.Customer{"metered": {Rate: "metered"}},
		Keys:      map[string]object.Key{"metered-1": keyObject("metered", meteredKey)},
		Routes: map[string]object.Route{
			"metered": {PathPrefix: "/metered", Pool: "desk", CostTokens: meteredCost},
		},
	}})
}

// setLinkFault sets a fault on a gateway's links from its peers and to the store
// and closes their connections; the zero fault restores them.
func (f *meteredFleet) setLinkFault(i int, fault faultproxy.Fault) {
	for _, p := range []*faultproxy.Proxy{f.platformProxies[i], f.peerProxies[i]} {
		p.SetFault(fault)
		p.CutAll()
	}
}

// executedTokens returns the cost in tokens of the metered requests that the service
// has run.
func (f *meteredFleet) executedTokens(ctx context.Context) float64 {
	a := send(ctx, http.MethodGet, f.plainService.Addr, "/standin/ran", "", "", nil)
	Expect(a.status).To(Equal(http.StatusOK), a.body)
	var body struct {
		Ran []plainservice.ExecutedRequest `json:"ran"`
	}
	Expect(json.Unmarshal([]byte(a.body), &body)).To(Succeed())
	tokens := 0.0
	for _, r := range body.Ran {
		if strings.HasPrefix(r.Path, "/metered") {
			tokens += meteredCost
		}
	}
	return tokens
}

// overload sends more requests than the rate allows to all gateways
// concurrently and counts the admitted ones.
type overload struct {
	f              *meteredFleet
	startedAt      time.Time
	executedBefore float64
	stop           context.CancelFunc
	wg             conc.WaitGroup
	admitted       atomic.Int64
}

func (f *meteredFleet) startOverload(ctx context.Context) *overload {
	o := &overload{f: f, executedBefore: f.executedTokens(ctx), startedAt: time.Now()}
	ctx, o.stop = context.WithCancel(ctx)
	for _, g := range f.gateways {
		for range 3 {
			o.wg.Go(func() { o.send(ctx, g.Addr) })
		}
	}
	return o
}

func (o *overload) send(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		if send(ctx, http.MethodPost, addr, "/metered/order", meteredKey, "x", nil).status == http.StatusOK {
			o.admitted.Add(1)
		}
	}
}

// waitForAdmitted waits until n further requests have been admitted.
func (o *overload) waitForAdmitted(ctx context.Context, n int64) {
	goal := o.admitted.Load() + n
	Expect(fleet.Eventually(ctx, func() error {
		if o.admitted.Load() < goal {
			return errors.New("too few requests were admitted")
		}
		return nil
	})).To(Succeed())
}

// stopAndCheck stops sending and checks that the tokens that ran since the start
// do not exceed the burst plus the rate times the elapsed time.
func (o *overload) stopAndCheck(ctx context.Context, rate, burst float64) {
	o.stop()
	o.wg.Wait()
	ran := o.f.executedTokens(ctx) - o.executedBefore
	elapsed := time.Since(o.startedAt).Seconds()
	AddReportEntry("rate", fmt.Sprintf("%.0f tokens ran, %.0f allowed", ran, burst+rate*elapsed))
	Expect(ran).To(BeNumerically("<=", burst+rate*elapsed))
}

var _ = Describe("a customer's rate", func() {
	It("bounds what all gateways together admit", func() {
		ctx := testContext()
		o := startMeteredFleet(ctx).startOverload(ctx)
		o.waitForAdmitted(ctx, 80)
		o.stopAndCheck(ctx, meteredRate, meteredRate)
	})

	It("holds while a gateway is killed and restarted, twice", func() {
		ctx := testContext()
		f := startMeteredFleet(ctx)
		o := f.startOverload(ctx)
		for range 2 {
			o.waitForAdmitted(ctx, 40)
			f.waitForHolders(ctx)
			f.gateways[0].Kill()
			o.waitForAdmitted(ctx, 10)
			f.restart(ctx, 0)
		}
		o.waitForAdmitted(ctx, 40)
		o.stopAndCheck(ctx, meteredRate, meteredRate)
	})

	It("holds while a gateway is frozen and thawed", func() {
		ctx := testContext()
		f := startMeteredFleet(ctx)
		o := f.startOverload(ctx)
		o.waitForAdmitted(ctx, 40)
		f.waitForHolders(ctx)
		Expect(f.gateways[1].Freeze()).To(Succeed())
		o.waitForAdmitted(ctx, 30)
		Expect(f.gateways[1].Thaw()).To(Succeed())
		o.waitForAdmitted(ctx, 40)
		o.stopAndCheck(ctx, meteredRate, meteredRate)
	})

	It("holds while a gateway is cut off from the store and its peers", func() {
		ctx := testContext()
		f := startMeteredFleet(ctx)
		o := f.startOverload(ctx)
		o.waitForAdmitted(ctx, 40)
		f.waitForHolders(ctx)
		f.setLinkFault(2, faultproxy.Fault{Refuse: true})
		o.waitForAdmitted(ctx, 30)
		f.setLinkFault(2, faultproxy.Fault{})
		f.setLinkFault(1, faultproxy.Fault{DropAnswers: true})
		o.waitForAdmitted(ctx, 30)
		f.setLinkFault(1, faultproxy.Fault{})
		o.waitForAdmitted(ctx, 30)
		o.stopAndCheck(ctx, meteredRate, meteredRate)
	})

	It("holds during a store outage, and requests are still admitted", func() {
		ctx := testContext()
		f := startMeteredFleet(ctx)
		o := f.startOverload(ctx)
		o.waitForAdmitted(ctx, 40)
		f.waitForHolders(ctx)
		for i := range f.platformProxies {
			f.platformProxies[i].SetFault(faultproxy.Fault{Refuse: true})
			f.platformProxies[i].CutAll()
		}
		o.waitForAdmitted(ctx, 60)
		f.gateways[0].Kill()
		o.waitForAdmitted(ctx, 20)
		for i := range f.platformProxies {
			f.platformProxies[i].SetFault(faultproxy.Fault{})
		}
		f.restart(ctx, 0)
		o.waitForAdmitted(ctx, 40)
		o.stopAndCheck(ctx, meteredRate, meteredRate)
	})

	It("holds while it is changed under load", func() {
		ctx := testContext()
		f := startMeteredFleet(ctx)
		o := f.startOverload(ctx)
		o.waitForAdmitted(ctx, 40)
		const lowRate = 500
		f.setRate(ctx, lowRate, lowRate)
		o.waitForAdmitted(ctx, 20)
		o.stopAndCheck(ctx, meteredRate, meteredRate)

		By("keeping the new rate once every gateway applies it")
		f.waitForRevision(ctx)
		o = f.startOverload(ctx)
		o.waitForAdmitted(ctx, 20)
		o.stopAndCheck(ctx, lowRate, lowRate)
	})
})

// waitForHolders waits until at least two gateways hold a share of the metered
// customer's rate.
func (f *meteredFleet) waitForHolders(ctx context.Context) {
	Expect(fleet.Eventually(ctx, func() error {
		a := send(ctx, http.MethodGet, f.platform.Addr, "/table/row?key=share/metered", "", "", nil)
		var row table.Row
		if err := json.Unmarshal([]byte(a.body), &row); err != nil {
			return err
		}
		shares, err := share.DecodeRow(row.Value)
		if err == nil && len(shares.Holders) < 2 {
			err = errors.New("fewer than two gateways hold a share")
		}
		return err
	})).To(Succeed())
}

// waitForRevision waits until every gateway serves the latest revision.
func (f *meteredFleet) waitForRevision(ctx context.Context) {
	current, err := f.operator.Snapshot(ctx)
	Expect(err).NotTo(HaveOccurred())
	for _, g := range f.gateways {
		Expect(fleet.Eventually(ctx, func() error {
			a := send(ctx, http.MethodGet, g.Admin, "/dump", "", "", nil)
			if !strings.Contains(a.body, fmt.Sprintf(`"revision": %d`, current.Revision)) {
				return errors.New("the gateway does not serve the latest revision")
			}
			return nil
		})).To(Succeed())
	}
}
