package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

func TestTransport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "transport")
}

// abortingServer returns a server that answers every request except the second, whose
// connection it closes without an answer, and its request count.
func abortingServer() (*httptest.Server, *atomic.Int64) {
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if served.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
	}))
	DeferCleanup(server.Close)
	return server, &served
}

func do(ctx context.Context, t *Transport, method, url, body string) error {
	var reader io.Reader = http.NoBody
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, reader)
	Expect(err).NotTo(HaveOccurred())
	r.GetBody = nil
	r.Header.Set("Idempotency-Key", "1")
	answer, err := t.RoundTrip(r)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.Body.Close()
}

func notSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

var _ = Describe("Transport", func() {
	ctx := context.Background()

	It("returns NotSentError if no byte of the request was sent", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		Expect(notSent(do(ctx, New(), http.MethodPost, "http://"+address, "x"))).To(BeTrue())

		server, served := abortingServer()
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		Expect(notSent(do(canceled, New(), http.MethodPost, server.URL, "x"))).To(BeTrue())
		Expect(served.Load()).To(BeZero())
	})

	DescribeTable("sends a request only once if a reused connection breaks",
		func(method, body string) {
			server, served := abortingServer()
			t := New()
			Expect(do(ctx, t, method, server.URL, body)).To(Succeed())
			err := do(ctx, t, method, server.URL, body)
			Expect(err).To(HaveOccurred())
			Expect(notSent(err)).To(BeFalse())
			Expect(served.Load()).To(Equal(int64(2)))
		},
		Entry("POST with a body", http.MethodPost, "x"),
		Entry("POST with an idempotency key and no body", http.MethodPost, ""),
		Entry("GET", http.MethodGet, ""),
	)

	// Guards against requests that fail because an earlier one on the same connection got the
	// answer to another request.
	It("sends a request on another connection if the pooled one was closed meanwhile", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusNoContent)
		}))
		DeferCleanup(server.Close)
		t := New()
		rejected := WithCheck(ctx, func(*http.Response) error { return errors.New("another answer") })
		for range 500 {
			Expect(do(rejected, t, http.MethodPost, server.URL, "x")).NotTo(Succeed())
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("x"))
			Expect(err).NotTo(HaveOccurred())
			answer, err := t.RoundTrip(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Body.Close()).To(Succeed())
		}
	})
})
