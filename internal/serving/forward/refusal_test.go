package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/ratelimit"
	"fireflypier.example/fireflypier/internal/serving/retrybudget"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/transport"
)

// refusals are the statuses that callers take for the promise that a request has not run and
// never will.
var refusals = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// mayHaveRun are the reactions of targets after which a request may have run.
func mayHaveRun() map[string]reply {
	replies := map[string]reply{
		"a reset":                {err: errReset},
		"no answer":              {hang: true},
		"a failure":              {status: 500},
		"a bad gateway":          {status: 502},
		"a timeout":              {status: 504},
		"a truncated answer":     {status: 200, body: "id: 1\nda", breaks: true},
		"a truncated refusal":    {status: 503, refusal: true, breaks: true},
		"a stream that breaks":   {status: 200, body: "id: 1\ndata: x\n\n", breaks: true},
		"a stream that stalls":   {status: 200, body: "id: 1\ndata: x\n\n", stalls: true},
		"half an event":          {status: 200, body: "id: 1\nda"},
		"a stream with a gap":    {status: 200, body: "id: 1\n\nid: 3\n\n", breaks: true},
		"another incarnation":    {status: 421, refusal: true, misdirected: true},
		"a client error":         {status: 400},
		"a refusal, then a stop": {status: 503, refusal: true, distance: time.Second, leaving: true},
	}
	for _, status := range refusals {
		replies["an unstated "+http.StatusText(status)] = reply{status: status, body: "refused", refusal: true}
	}
	return replies
}

// Guards against refusals to callers whose request has run (REFUSED).
var _ = Describe("a request that may have run", func() {
	const limit = time.Second
	// status serves one request and returns the status that its caller gets; 0 if the answer
	// is aborted.
	status := func(ctx context.Context, x *fixture, path string) int {
		r := &exchange.Request{ID: "1", Method: http.MethodPost, HostName: "h", Path: path, URI: path, Key: "key", Arrival: time.Now(), TimeLimit: limit}
		if strings.HasPrefix(path, "/draft/") || strings.HasPrefix(path, "/once/") {
			r.Model = "m"
		}
		w := httptest.NewRecorder()
		aborted := false
		var err error
		func() {
			defer func() {
				if v := recover(); v != nil {
					Expect(v).To(Equal(http.ErrAbortHandler))
					aborted = true
				}
			}()
			err = x.f.Serve(w, httptest.NewRequest(http.MethodPost, path, nil).WithContext(ctx), r)
		}()
		switch {
		case aborted:
			return 0
		case err != nil:
			return failure.From(err).Answer().Status
		}
		return w.Code
	}
	paths := []string{"/look/1", "/buy/1", "/draft/1", "/once/1", "/open/1"}
	repeat := func(r reply) []reply { return slices.Repeat([]reply{r}, 8) }
	refused := reply{status: 503, notRun: true}
	unreachable := reply{err: transport.NewNotSentError(errReset)}

	// service is a forwarder with one request.
	type service struct {
		*fixture
		// leave has the caller leave, configure sets the configuration.
		leave     context.CancelFunc
		configure func(*policy.Policy)
	}
	// then is what happens once the request has been sent first, next the reactions of the
	// targets afterwards.
	DescribeTable("is not refused",
		func(next []reply, then func(*service)) {
			var wg sync.WaitGroup
			for name, first := range mayHaveRun() {
				for _, path := range paths {
					wg.Go(func() {
						defer GinkgoRecover()
						x := newFixture()
						var current atomic.Pointer[policy.Policy]
						current.Store(x.p)
						x.f.Policy = current.Load
						ctx, leave := context.WithCancel(context.Background())
						defer leave()
						x.sender.replies = append([]reply{first}, next...)
						x.sender.sent = func() {
							if then != nil && len(x.sender.attempts) == 1 {
								then(&service{x, leave, current.Store})
							}
						}
						Expect(refusals).NotTo(ContainElement(status(ctx, x, path)), "%s after %s", path, name)
						Expect(x.sender.attempts).NotTo(BeEmpty())
					})
				}
			}
			wg.Wait()
		},
		Entry("after nothing else", nil, nil),
		Entry("if the other targets refuse it", repeat(refused), nil),
		Entry("if the other targets can't be reached", repeat(unreachable), nil),
		Entry("if the other targets refuse it without a statement", repeat(reply{status: 503, refusal: true}), nil),
		Entry("if the other targets want no requests", repeat(reply{status: 503, notRun: true, distance: time.Second}), nil),
		Entry("if the other targets lack the weights", repeat(reply{status: 421, notRun: true, misdirected: true}), nil),
		Entry("if the other targets do not answer", repeat(reply{hang: true}), nil),
		Entry("if the other targets break off", repeat(reply{err: errReset}), nil),
		Entry("if no target is left", nil, func(s *service) {
			for _, t := range s.view.Targets() {
				s.view.Remove(t.ID)
			}
		}),
		Entry("if all targets leave", nil, func(s *service) {
			for _, t := range s.view.Targets() {
				s.view.SetLeaving(t.ID, t.Born, time.Now())
			}
		}),
		Entry("if all targets are busy", nil, func(s *service) {
			for _, t := range s.view.Targets() {
				s.view.SetLimit(t.ID, t.Born, target.Limit{Named: true}, time.Now(), time.Now())
			}
			s.reserve = func(*target.Target, target.Limit, time.Duration) (time.Duration, bool, error) {
				return time.Second, false, nil
			}
		}),
		Entry("if the retry budget is used up", nil, func(s *service) {
			s.f.SetBounds(ratelimit.Tolerance{Window: time.Second}, retrybudget.Bound{Window: time.Second})
		}),
		Entry("if the configuration is gone", nil, func(s *service) {
			s.configure((&policy.Policy{}).Index())
		}),
		Entry("if its caller leaves", nil, func(s *service) { s.leave() }),
		Entry("if the VM shuts down and gives it up", nil, func(s *service) {
			s.f.Leave(time.Now().Add(-time.Second), time.Now().Add(limit/4))
		}),
	)

	// Guards against a promise that is withheld: the caller would not return.
	DescribeTable("is refused if no target has run it",
		func(first reply) {
			for _, path := range paths {
				x := newFixture()
				x.sender.replies = repeat(first)
				Expect(status(context.Background(), x, path)).To(Equal(http.StatusServiceUnavailable), path)
			}
		},
		Entry("as all refuse it", refused),
		Entry("as none can be reached", unreachable),
		Entry("as all lack the weights", reply{status: 421, notRun: true, misdirected: true}),
		Entry("as all refuse it by 429", reply{status: 429, notRun: true, refusal: true}),
		Entry("as all refuse it by 408", reply{status: 408, notRun: true, refusal: true}),
	)

	It("is not refused if it is the one by which its prompt is quarantined", func() {
		x := newFixture()
		prompt := func(r *exchange.Request) {
			r.Prefix = []exchange.PromptPart{{ID: "shared", Tokens: 10}, {ID: "deadly", Tokens: 10}, {ID: "own", Tokens: 10}}
		}
		sends := 0
		for i := range 3 {
			x.sender.replies, x.sender.attempts = repeat(reply{err: errReset}), nil
			_, _, err := x.serve("/draft/1", prompt)
			Expect(failure.From(err).Kind).To(Equal(failure.OutcomeUnknown))
			sends = len(x.sender.attempts)
			for _, t := range x.view.Targets() {
				next := *t
				next.Born = int64(i + 1)
				x.view.Set(&next)
			}
			x.sender.replies = []reply{{status: http.StatusOK, body: "id: 1\n\n"}}
			_, _, err = x.serve("/draft/1", func(r *exchange.Request) {
				r.Prefix = []exchange.PromptPart{{ID: "shared", Tokens: 10}, {ID: "own", Tokens: 10}}
			})
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(300 * time.Millisecond) // crashes that coincide count once
		}
		Expect(sends).To(Equal(1), "it was quarantined after its first attempt")
		_, _, err := x.serve("/draft/1", prompt)
		Expect(failure.From(err).Kind).To(Equal(failure.Quarantined), "the next one has not run")
	})
})
