package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/transport"
)

// socketSender sends requests over real connections.
type socketSender struct{ transport *transport.Transport }

func (s socketSender) Send(ctx context.Context, _ *exchange.Request, a *exchange.Attempt) (*exchange.Answer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Target.Address.String()+"/"+a.LastEvent, strings.NewReader("x"))
	if err != nil {
		return nil, err
	}
	res, err := s.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	return &exchange.Answer{
		Status: res.StatusCode, Header: http.Header{}, Body: res.Body, Signed: true,
		Refusal: res.StatusCode == http.StatusServiceUnavailable, NotRun: res.Header.Get("Not-Run") != "",
	}, nil
}

// Guards against streams that go on at another engine while the one before still works on
// them (TWICE).
var _ = Describe("a stream that stalls", func() {
	// lateTime is how long an engine works on after its connection was closed.
	const lateTime = 600 * time.Millisecond
	var (
		mu      sync.Mutex
		working int
		most    int
	)
	engine := func(x *fixture, id string) *httptest.Server {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			working++
			most = max(most, working)
			mu.Unlock()
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				working--
			}()
			if r.URL.Path == "/1" {
				_, _ = fmt.Fprint(w, "id: 2\ndata: x2\n\n")
				return
			}
			_, _ = fmt.Fprint(w, "id: 1\ndata: x1\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			time.Sleep(lateTime)
		}))
		DeferCleanup(server.Close)
		x.view.Set(&target.Target{
			ID: id, Pool: "engines", Slots: 64, Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
			Weights: target.Weights{Models: []target.LoadedModel{{Model: "m"}}},
		})
		return server
	}

	It("goes on at another engine once the one before has ended", func() {
		x := newFixture()
		x.p.Routes[2].Timeout = 10 * time.Second
		working, most = 0, 0
		for _, id := range []string{"e1", "e2", "e3"} {
			engine(x, id)
		}
		x.f.Sender = socketSender{transport.New()}
		w, aborted, err := x.serve("/draft/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(aborted).To(BeFalse())
		Expect(w.Body.String()).To(Equal("id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n"))
		Expect(most).To(Equal(1), "engines that worked on the stream at a time")
	})
})
