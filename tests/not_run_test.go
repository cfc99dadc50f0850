package tests

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/standin/cloud"
	"fireflypier.example/fireflypier/internal/standin/modelengine"
	"fireflypier.example/fireflypier/internal/standin/plainservice"
	"fireflypier.example/fireflypier/internal/standin/tablestore"
)

// refusalCase is one request that is refused, with the faults that cause it.
type refusalCase struct {
	name    string
	engines modelengine.Fault
	service plainservice.Fault
	store   cloud.Fault
	send    func(ctx context.Context, f *smallFleet) answer
	want    refusal
	// ran is the largest number of times that targets may run the request. It is
	// not used if want.NotRun is set: then no target may run it.
	ran int
}

// notRepeatable is the header of a request that must not be repeated.
var notRepeatable = http.Header{"X-Not-Repeatable": {"true"}}

func chatAs(key, body string, header http.Header) func(context.Context, *smallFleet) answer {
	return func(ctx context.Context, f *smallFleet) answer {
		return send(ctx, http.MethodPost, f.gateways[0].Addr, "/v1/chat/completions", key, body, header)
	}
}

func plainAs(method, key, path, body string, header http.Header) func(context.Context, *smallFleet) answer {
	return func(ctx context.Context, f *smallFleet) answer {
		return send(ctx, method, f.gateways[0].Addr, path, key, body, header)
	}
}

// chunked sends a body of size bytes without a Content-Length.
func chunked(path string, size int) func(context.Context, *smallFleet) answer {
	return func(ctx context.Context, f *smallFleet) answer {
		body := io.MultiReader(strings.NewReader(strings.Repeat("b", size)))
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.gateways[0].Addr.String()+path, body)
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+circleKey)
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return answer{status: response.StatusCode, header: response.Header, body: string(data)}
	}
}

const (
	smallChat = `{"model":"chat-small","max_tokens":2,"messages":[]}`
	bodyLimit = 512 << 10
)

func generationRefusals() []refusalCase {
	return []refusalCase{
		{name: "no key", send: chatAs("", smallChat, nil), want: refusal{"missing_api_key", true}},
		{name: "an unknown key", send: chatAs("wrong", smallChat, nil), want: refusal{"invalid_api_key", true}},
		{name: "malformed JSON", send: chatAs(circleKey, `{"model":`, nil), want: refusal{"bad_request", true}},
		{name: "an unknown model", send: chatAs(circleKey, `{"model":"none","messages":[]}`, nil), want: refusal{"model_not_found", true}},
		{name: "another customer's model", send: chatAs(circleKey, `{"model":"chat-large","messages":[]}`, nil), want: refusal{"forbidden", true}},
		{name: "a cost above the burst", send: chatAs(circleKey, `{"model":"chat-small","max_tokens":200000,"messages":[]}`, nil), want: refusal{"request_exceeds_burst", true}},
		{name: "an invalid X-Not-Repeatable header", send: chatAs(circleKey, smallChat, http.Header{"X-Not-Repeatable": {"perhaps"}}), want: refusal{"bad_request", true}},
		{name: "engines without capacity", engines: modelengine.Fault{Refuse: true}, send: chatAs(circleKey, smallChat, nil), want: refusal{"overloaded", true}},
		{name: "a lost start, not repeatable", engines: modelengine.Fault{LoseStarts: 9}, send: chatAs(circleKey, smallChat, notRepeatable), want: refusal{"outcome_unknown", false}, ran: 1},
		{name: "lost starts on every engine", engines: modelengine.Fault{LoseStarts: 9}, send: chatAs(circleKey, smallChat, nil), want: refusal{"outcome_unknown", false}, ran: 4},
		{name: "lost starts, then no capacity", engines: modelengine.Fault{LoseStarts: 1, Refuse: true}, send: chatAs(circleKey, smallChat, nil), want: refusal{"outcome_unknown", false}, ran: 2},
		{name: "a cut answer, not repeatable", engines: modelengine.Fault{CutAfterTokens: 1}, send: chatAs(circleKey, smallChat, notRepeatable), want: refusal{"target_failed", false}, ran: 1},
		{
			name: "a store outage, with an idempotency key", store: cloud.Fault{Fault: tablestore.Fault{Outage: true}},
			send: chatAs(circleKey, smallChat, http.Header{"X-Not-Repeatable": {"true"}, "Idempotency-Key": {"out"}}), want: refusal{"store_unavailable", true},
		},
	}
}

func plainRefusals() []refusalCase {
	order := plainAs(http.MethodPost, circleKey, "/print/order", "bands", nil)
	return []refusalCase{
		{name: "no route", send: plainAs(http.MethodGet, circleKey, "/none", "", nil), want: refusal{"route_not_found", true}},
		{name: "no key", send: plainAs(http.MethodPost, "", "/print/order", "bands", nil), want: refusal{"missing_api_key", true}},
		{name: "a body with Content-Length above the limit", send: plainAs(http.MethodPost, circleKey, "/print/order", strings.Repeat("b", bodyLimit+1), nil), want: refusal{"body_too_large", true}},
		{name: "a streamed body above the limit", send: chunked("/print/order", bodyLimit+1), want: refusal{"target_failed", false}, ran: 1},
		{name: "a small streamed body above the limit", send: chunked("/tiny/order", 2000), want: refusal{"body_too_large", true}},
		{name: "a refusing target", service: plainservice.Fault{RefuseNext: 99}, send: order, want: refusal{"overloaded", true}},
		{name: "a lost answer", service: plainservice.Fault{LoseAnswers: 1}, send: order, want: refusal{"outcome_unknown", false}, ran: 1},
		{name: "lost answers, repeatable", service: plainservice.Fault{LoseAnswers: 99}, send: plainAs(http.MethodGet, "", "/status/gate", "", nil), want: refusal{"outcome_unknown", false}, ran: 4},
		{name: "a lost answer, then refusals", service: plainservice.Fault{LoseAnswers: 1, RefuseNext: 99}, send: plainAs(http.MethodGet, "", "/status/gate", "", nil), want: refusal{"outcome_unknown", false}, ran: 1},
		{name: "a lost answer, marked as not repeatable", service: plainservice.Fault{LoseAnswers: 1}, send: plainAs(http.MethodGet, "", "/status/gate", "", notRepeatable), want: refusal{"outcome_unknown", false}, ran: 1},
		{name: "a slow target", service: plainservice.Fault{Delay: 800 * time.Millisecond}, send: plainAs(http.MethodPost, circleKey, "/quick/order", "bands", nil), want: refusal{"outcome_unknown", false}, ran: 1},
		{name: "a target that does not listen", send: plainAs(http.MethodPost, circleKey, "/gone/order", "bands", nil), want: refusal{"no_replica", true}},
		{
			name: "a store outage, with an idempotency key", store: cloud.Fault{Fault: tablestore.Fault{Outage: true}},
			send: plainAs(http.MethodPost, circleKey, "/print/order", "bands", http.Header{"Idempotency-Key": {"out"}}), want: refusal{"store_unavailable", true},
		},
	}
}

// routesForRefusals adds routes with low limits and a route whose target does
// not listen.
func routesForRefusals(s *object.Set) {
	route := s.Routes["print"]
	route.MaxBodyBytes = bodyLimit
	s.Routes["print"] = route
	s.Routes["tiny"] = object.Route{PathPrefix: "/tiny", Pool: "desk", MaxBodyBytes: 1000}
	s.Routes["quick"] = object.Route{PathPrefix: "/quick", Pool: "desk", Timeout: 300 * time.Millisecond}
	s.Routes["gone"] = object.Route{PathPrefix: "/gone", Pool: "gone"}
	s.Pools["gone"] = object.Pool{Kind: object.PoolService}
	target := s.Targets["desk-0"]
	target.Pool = "gone"
	target.Address = closedAddress(target.Address)
	s.Targets["gone-0"] = target
}

// runCount returns the number of requests that the service and the engines have
// run.
func (f *smallFleet) runCount(ctx context.Context) int {
	service := fetch[struct {
		Ran []plainservice.ExecutedRequest `json:"ran"`
	}](ctx, f.plainService.Addr, "/standin/ran").Ran
	return len(service) + len(f.generations(ctx))
}

var _ = Describe("the not_run field of an error", func() {
	It("is true only if no target ran the request, on every path of refusal", func() {
		ctx := testContext()
		f := startSmallFleet(ctx, 1, 1, withObjects(routesForRefusals))
		cases := append(generationRefusals(), plainRefusals()...)
		for i, c := range cases {
			what := fmt.Sprintf("case %d: %s", i, c.name)
			f.setEngineFaults(ctx, c.engines)
			setFault(ctx, f.plainService, c.service)
			setFault(ctx, f.platform, c.store)
			before := f.runCount(ctx)
			a := c.send(ctx, f)
			Expect(refusalOf(a)).To(Equal(c.want), what)
			setFault(ctx, f.platform, cloud.Fault{})
			ran := f.runCount(ctx) - before
			if c.want.NotRun {
				Expect(ran).To(BeZero(), what)
				continue
			}
			Expect(ran).To(BeNumerically("<=", c.ran), what)
		}
	})
})
