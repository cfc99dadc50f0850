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
	// runningAtOnce is what the two engines run at once.
	runningAtOnce  = 2 * 16
	floodRequests  = 5 * runningAtOnce
	circleRequests = 20
)

var _ = Describe("fairness between customers", func() {
	It("serves a small customer in turn while another floods", func() {
		ctx := testContext()
		f := startSmallFleet(ctx, 1, 1)
		set := f.objects()
		// Equal rates that admit the flood, so that the queue alone decides.
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
		By("holding the engines until all requests wait, the flood's first")
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

		By("counting whose requests completed first")
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
		// What had a place before, then turn about with the circle's requests,
		// then what ran beside the last of them.
		Expect(before).To(BeNumerically("<=", 2*runningAtOnce+circleRequests),
			"%d requests of the flood were served before the last of the small customer", before)
	})
})

// waitForRevision waits until the gateway has adopted a revision.
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
			return fmt.Errorf("the gateway is at revision %d, not yet %d", dump.Revision, revision)
		}
		return nil
	})).To(Succeed())
}

// waitForQueue waits until at least n requests wait at the gateway.
func waitForQueue(ctx context.Context, f *smallFleet, n int) {
	Expect(fleet.Eventually(ctx, func() error {
		if have := waiting(ctx, f); have < n {
			return fmt.Errorf("%d requests wait, not yet %d", have, n)
		}
		return nil
	})).To(Succeed())
}

// waiting reads the number of waiting requests from the gateway's metrics.
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
