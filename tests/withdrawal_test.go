package tests

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/faultproxy"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/operatorclient"
	"fireflypier.example/fireflypier/internal/revision"
)

// withdrawalBound is the guaranteed bound: every gateway refuses a withdrawn key
// from this time after the acceptance of the edit.
const withdrawalBound = 5 * time.Second

// withdraw deletes the circle's key, waits until the edit is accepted and returns
// the time at which it was.
func (f *proxiedFleet) withdraw(ctx context.Context) (accepted time.Time) {
	applied := f.apply(ctx, &revision.Edit{Delete: []string{"key/circle-1"}})
	f.waitForAcceptance(ctx, applied.Revision)
	return time.Now()
}

// expectRefusedAfter sends requests with the circle's key to the gateways until
// two seconds after withdrawalBound. Each request sent after the bound must be
// refused as not run, with status 401 or 503.
func expectRefusedAfter(ctx context.Context, accepted time.Time, gateways ...*proxiedNode) {
	deadline := accepted.Add(withdrawalBound)
	for time.Now().Before(deadline.Add(2 * time.Second)) {
		for _, g := range gateways {
			began := time.Now()
			a := sendOrder(ctx, g, circleKey)
			if began.After(deadline) {
				Expect(a.status).To(BeElementOf(http.StatusUnauthorized, http.StatusServiceUnavailable), "%s: %s", g.Name, a.body)
				Expect(a.body).To(ContainSubstring(`"not_run":true`))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func cutFromStore(n *proxiedNode) {
	n.storeProxy.SetFault(faultproxy.Fault{Refuse: true})
	n.storeProxy.CutAll()
}

func (f *proxiedFleet) allBut(n *proxiedNode) []*proxiedNode {
	var others []*proxiedNode
	for _, other := range append(append([]*proxiedNode{}, f.gateways...), f.controllers...) {
		if other != n {
			others = append(others, other)
		}
	}
	return others
}

var _ = Describe("a withdrawn key", func() {
	It("is refused on a connection opened before and by a gateway that was frozen and thawed", func() {
		ctx := testContext()
		f := startProxiedFleet(ctx, 1, "region-1", "region-1", "region-1")
		connection := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		use := func() int {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.gateways[0].Addr.String()+"/print/order", bytes.NewBufferString("bands"))
			Expect(err).NotTo(HaveOccurred())
			r.Header.Set("Authorization", "Bearer "+circleKey)
			response, err := connection.Do(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			return response.StatusCode
		}
		Expect(use()).To(Equal(http.StatusOK))

		By("freezing a gateway for longer than the bound while the key is withdrawn")
		frozen := f.gateways[2]
		cutFromStore(frozen)
		cutBetween([]*proxiedNode{frozen}, f.allBut(frozen))
		freeze(frozen)
		accepted := f.withdraw(ctx)
		time.Sleep(time.Until(accepted.Add(withdrawalBound)))
		Expect(use()).To(Equal(http.StatusUnauthorized))

		By("thawing it with requests already in its socket buffers, while it is still isolated")
		answers := make(chan answer, 8)
		for range cap(answers) {
			go func() {
				defer GinkgoRecover()
				answers <- sendOrder(ctx, frozen, circleKey)
			}()
		}
		time.Sleep(200 * time.Millisecond)
		thaw(frozen)
		for range cap(answers) {
			a := <-answers
			Expect(a.status).To(BeElementOf(http.StatusUnauthorized, http.StatusServiceUnavailable), a.body)
			Expect(a.body).To(ContainSubstring(`"not_run":true`))
		}
		frozen.storeProxy.SetFault(faultproxy.Fault{})
		for _, n := range append(f.allBut(frozen), frozen) {
			n.peerProxy.SetFault(faultproxy.Fault{})
		}
		expectRefusedAfter(ctx, accepted, f.gateways...)
		Expect(frozen.Ready(ctx)).To(Succeed())
		Expect(sendOrder(ctx, frozen, dealerKey).status).To(Equal(http.StatusOK))
	})

	for _, c := range []struct {
		from               string
		cutStore, cutPeers bool
	}{{"the store", true, false}, {"its peers", false, true}, {"both", true, true}} {
		It("is refused by a gateway that is cut off from "+c.from, func() {
			ctx := testContext()
			f := startProxiedFleet(ctx, 1, "region-1", "region-1", "region-1")
			isolated := f.gateways[2]
			if c.cutStore {
				cutFromStore(isolated)
			}
			if c.cutPeers {
				cutBetween([]*proxiedNode{isolated}, f.allBut(isolated))
			}
			accepted := f.withdraw(ctx)
			expectRefusedAfter(ctx, accepted, f.gateways...)
			for _, g := range f.gateways[:2] {
				Expect(sendOrder(ctx, g, dealerKey).status).To(Equal(http.StatusOK))
			}
		})
	}

	It("is refused during a store outage, while other keys are still accepted", func() {
		ctx := testContext()
		f := startProxiedFleet(ctx, 1, "region-1", "region-1", "region-1")
		applied := f.apply(ctx, &revision.Edit{Delete: []string{"key/circle-1"}})
		f.setPlatformFault(ctx, `{"outage":true}`)
		f.waitForAcceptance(ctx, applied.Revision)
		expectRefusedAfter(ctx, time.Now(), f.gateways...)
		for _, g := range f.gateways {
			Expect(sendOrder(ctx, g, dealerKey).status).To(Equal(http.StatusOK))
		}
	})

	It("is refused after the answer to the edit was lost on the way to the operator", func() {
		ctx := testContext()
		f := startProxiedFleet(ctx, 2, "region-1", "region-1", "region-1")
		proxy, err := faultproxy.Start(f.controllers[0].Addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		proxy.SetFault(faultproxy.Fault{DropAnswers: true})
		e := f.withID(&revision.Edit{Delete: []string{"key/circle-1"}, BasedOn: 1 << 40})
		lost := operatorclient.New([]netip.AddrPort{proxy.Addr()}, fleet.OperatorToken, operatorclient.WithTimeout(time.Second))
		_, err = lost.Apply(ctx, e)
		Expect(err).To(HaveOccurred())

		By("sending the same edit to the other controller")
		applied, err := f.Operator(f.controllers[1].Node).Apply(ctx, e)
		Expect(err).NotTo(HaveOccurred())
		Expect(applied.Revision).To(Equal(int64(2)))
		f.waitForAcceptance(ctx, applied.Revision)
		expectRefusedAfter(ctx, time.Now(), f.gateways...)
	})

	It("is refused by a gateway that is reconnected after a long isolation", func() {
		ctx := testContext()
		f := startProxiedFleet(ctx, 1, "region-1", "region-1", "region-1")
		isolated := f.gateways[2]
		cutFromStore(isolated)
		cutBetween([]*proxiedNode{isolated}, f.allBut(isolated))
		accepted := f.withdraw(ctx)
		Expect(fleet.Eventually(ctx, func() error {
			if a := sendOrder(ctx, isolated, dealerKey); a.status != http.StatusServiceUnavailable {
				return fmt.Errorf("the isolated gateway answers %d, want 503", a.status)
			}
			return nil
		})).To(Succeed())
		isolated.storeProxy.SetFault(faultproxy.Fault{})
		for _, n := range append(f.allBut(isolated), isolated) {
			n.peerProxy.SetFault(faultproxy.Fault{})
		}
		Expect(fleet.Eventually(ctx, func() error {
			if a := sendOrder(ctx, isolated, dealerKey); a.status != http.StatusOK {
				return errors.New(a.body)
			}
			return nil
		})).To(Succeed())
		Expect(sendOrder(ctx, isolated, circleKey).status).To(Equal(http.StatusUnauthorized))
		expectRefusedAfter(ctx, accepted, f.gateways...)
	})
})
