package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/pkg/caller"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

// closedAddress returns a local address on which nothing listens.
func closedAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

var _ = Describe("Caller", func() {
	It("returns ErrRefused if no gateway accepts the request", func() {
		closed := closedAddress()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/entry" {
				_, _ = fmt.Fprintf(w, `{"addresses":[%q,%q],"ttl_seconds":5}`, r.Host, closed)
				return
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"error":{"code":"stale_configuration","not_run":true}}`)
		}))
		DeferCleanup(server.Close)
		for _, seed := range []string{strings.TrimPrefix(server.URL, "http://"), closed} {
			c := caller.New([]netip.AddrPort{netip.MustParseAddrPort(seed)}, caller.WithKey("key"))
			_, err := c.Do(context.Background(), http.MethodPost, "/print/order", nil, nil)
			Expect(err).To(MatchError(caller.ErrRefused))
		}
	})

	// Guards against a refusal of a request that has run: http.Transport repeats a request
	// without a body by itself, and the second one finds no gateway.
	It("does not return ErrRefused if a gateway ends while it handles the request", func() {
		var server *httptest.Server
		var ran atomic.Int64
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/entry" {
				_, _ = fmt.Fprintf(w, `{"addresses":[%q],"ttl_seconds":5}`, r.Host)
				return
			}
			ran.Add(1)
			_ = server.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		DeferCleanup(server.Close)
		c := caller.New([]netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))})
		_, err := c.Do(context.Background(), http.MethodGet, "/print/order", nil, nil)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(caller.ErrRefused))
		Expect(ran.Load()).To(Equal(int64(1)))
	})
})
