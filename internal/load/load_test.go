package load_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/load"
	"fireflypier.example/fireflypier/internal/workload"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

// fakeGateway serves plain requests and their execution record. By the last digit
// of the request ID it runs a request twice (0), refuses it as not run although
// it ran (1), or responds without running it (2).
type fakeGateway struct {
	mu  sync.Mutex
	ran []string
}

func (g *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := strings.TrimRight(string(body), ".")
	switch {
	case r.URL.Path == "/v1/entry":
		_, _ = fmt.Fprintf(w, `{"addresses":[%q],"ttl_seconds":60}`, r.Host)
	case r.URL.Path == "/standin/ran":
		g.mu.Lock()
		defer g.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"ran":[%s]}`, strings.Join(g.ran, ","))
	case strings.HasSuffix(id, "0"):
		g.record(id, 2)
	case strings.HasSuffix(id, "1"):
		g.record(id, 1)
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(w, `{"error":{"code":"rate_limit_exceeded","not_run":true}}`)
	case strings.HasSuffix(id, "2"):
	default:
		g.record(id, 1)
	}
}

func (g *fakeGateway) record(id string, times int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range times {
		g.ran = append(g.ran, fmt.Sprintf(`{"body":"%s..."}`, id))
	}
}

var _ = Describe("Generator", func() {
	It("counts requests that ran twice, never or despite a refusal, and refusals inside the rate", func() {
		server := httptest.NewServer(&fakeGateway{})
		DeferCleanup(server.Close)
		addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		w := &workload.Workload{
			Seed: 1, Duration: time.Second, FirstToken: time.Minute, Accelerators: 1, Timeout: time.Minute,
			Customers: map[string]workload.Customer{"a": {Key: "k", TokensPerSecond: 1000, BurstTokens: 1000}},
			Streams: []workload.Stream{{
				Name: "s", Customer: "a", RequestsPerSecond: 40, Path: "/p", BodyBytes: 40, CostTokens: 1, NotRepeatable: 1,
			}},
		}
		wanted := map[byte]int{}
		for _, c := range w.Calls() {
			wanted[c.ID[len(c.ID)-1]]++
		}
		r := load.New(w, []netip.AddrPort{addr}, nil).Run(context.Background())
		Expect(r.CheckExecutions(context.Background(), []netip.AddrPort{addr})).To(Succeed())
		Expect(r.Sent).To(Equal(len(w.Calls())))
		Expect(*r.Executions).To(Equal(load.ExecutionCheck{Doubled: wanted['0'], NotRunButRan: wanted['1'], Lost: wanted['2']}))
		Expect(r.RefusedInsideRate).To(Equal(wanted['1']))
		Expect(r.Whole).To(Equal(r.Sent - wanted['1']))
		Expect(r.WorstCustomer).To(Equal("a"))
		Expect(r.Attained).To(Equal(r.Whole))
	})

	It("does not count a refusal outside the rate as inside it", func() {
		server := httptest.NewServer(&fakeGateway{})
		DeferCleanup(server.Close)
		addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		w := &workload.Workload{
			Seed: 1, Duration: time.Second, FirstToken: time.Minute, Accelerators: 1, Timeout: time.Minute,
			Customers: map[string]workload.Customer{"a": {Key: "k", TokensPerSecond: 1, BurstTokens: 1}},
			Streams: []workload.Stream{{
				Name: "s", Customer: "a", RequestsPerSecond: 40, Path: "/p", BodyBytes: 40, CostTokens: 10,
			}},
		}
		r := load.New(w, []netip.AddrPort{addr}, nil).Run(context.Background())
		Expect(r.Refused).To(BeNumerically(">", 0))
		Expect(r.RefusedInsideRate).To(BeZero())
	})
})
