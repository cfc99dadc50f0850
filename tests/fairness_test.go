package tests

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/go-json-experiment/json"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/revision"
)

const (
	// runningAtOnce is the number of requests that the two engines run at once.
	runningAtOnce  = 2 * 16
	floodRequests  = 5 * runningAtOnce
	circleRequests = 20
)

var _ = Describe("fairness between customers", func() {
	It("serves a customer with few requests in turn while another sends many", func() {
		ctx := testContext()
		f := startSmallFleet(ctx, 1, 1)
		set := f.objects()
		// Both rates are equal and admit all requests, so that only the queue
		// determines the order.
		set.Rates = map[string]object.Rate{
			"small": {TokensPerSecond: 1_000_000, BurstTokens: 1_000_000},
			"large": {TokensPerSecond: 1_000_000, BurstTokens: 1_000_000},
		}
		applied := f.apply(ctx, &revision.Edit{Put: object.Set{Rates: set.Rates}})
		waitForRevision(ctx, f, applied.Revision)

		var mu sync.Mutex
		var order []string
		run := func(customer, key string, count int) func() {
			return func() {
				var wg conc.WaitGroup
				defer wg.Wait()
				for i := range count {
					wg.Go(func() {
						defer GinkgoRecover()
						body := fmt.Sprintf(`{"model":"chat-small","max_tokens":100,"messages":[{"role":"user","content":"%s %d"}]}`, customer, i)
						a := chat(ctx, f.gateways[0].Addr, key, body)
						Expect(a.status).To(Equal(http.StatusOK), a.body)
						mu.Lock()
						defer mu.Unlock()
						order = append(order, customer)
					})
				}
			}
		}
		By("freezing the engines until all requests wait, those of the dealer first")
		for _, e := range f.engines {
			Expect(e.Freeze()).To(Succeed())
		}
		var wg conc.WaitGroup
		wg.Go(run("dealer", dealerKey, floodRequests))
		waitForQueue(ctx, f, floodRequests-runningAtOnce)
		wg.Go(run("circle", circleKey, circleRequests))
		waitForQueue(ctx, f, floodRequests+circleRequests-runningAtOnce)
		for _, e := range f.engines {
			Expect(e.Thaw()).To(Succeed())
		}
		wg.Wait()

		By("counting the dealer's requests that completed before the last one of the circle")
		Expect(order).To(HaveLen(floodRequests + circleRequests))
		before := 0
		left := circleRequests
		for _, customer := range order {
			if customer == "circle" {
				left--
			} else if left > 0 {
				before++
			}
		}
		// The bound is the sum of three numbers: the requests of the dealer that
		// already ran on the engines, one for each request of the circle, and
		// those that ran concurrently with the circle's last request.
		Expect(before).To(BeNumerically("<=", 2*runningAtOnce+circleRequests),
			"%d requests of the dealer completed before the last request of the circle", before)
	})
})

// waitForRevision waits until the first gateway serves at least the revision.
func waitForRevision(ctx context.Context, f *smallFleet, revision int64) {
	Expect(fleet.Eventually(ctx, func() error {
		a := send(ctx, http.MethodGet, f.gateways[0].Admin, "/dump", "", "", nil)
		var dump struct {
			Revision int64 `json:"revision"`
		}
		if err := json.Unmarshal([]byte(a.body), &dump); err != nil {
			return err
		}
		if dump.Revision < revision {
			return fmt.Errorf("the gateway is at revision %d, want %d", dump.Revision, revision)
		}
		return nil
	})).To(Succeed())
}

// waitForQueue waits until at least n requests are queued at the first gateway.
func waitForQueue(ctx context.Context, f *smallFleet, n int) {
	Expect(fleet.Eventually(ctx, func() error {
		if have := waiting(ctx, f); have < n {
			return fmt.Errorf("%d requests are queued, want %d", have, n)
		}
		return nil
	})).To(Succeed())
}

// waiting returns the number of requests queued at the first gateway, from its
// metrics, or -1 if the metrics do not contain it.
func waiting(ctx context.Context, f *smallFleet) int {
	a := send(ctx, http.MethodGet, f.gateways[0].Admin, "/metrics", "", "", nil)
	var n int
	for line := range strings.Lines(a.body) {
		if _, err := fmt.Sscanf(line, "fireflypier_requests_waiting %d", &n); err == nil {
			return n
		}
	}
	return -1
}
