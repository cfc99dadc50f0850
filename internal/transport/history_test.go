package transport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the history of a request", func() {
	It("has the connection of the last send", func() {
		clients := make(chan string, 3)
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			clients <- r.RemoteAddr
		}))
		DeferCleanup(server.Close)
		t := New()
		for _, reused := range []bool{false, true} {
			ctx, history := WithHistory(context.Background())
			Expect(history.Last()).To(Equal(Connection{}))
			Expect(do(ctx, t, http.MethodPost, server.URL, "x")).To(Succeed())
			Expect(history.Last()).To(Equal(Connection{Local: <-clients, Reused: reused}))
		}
		ctx, history := WithHistory(context.Background())
		Expect(do(ctx, t, http.MethodPost, server.URL, "x")).To(Succeed())
		server.Close()
		Expect(do(ctx, t, http.MethodPost, server.URL, "x")).NotTo(Succeed())
		Expect(history.Last()).To(Equal(Connection{}), "the last send had none")
	})

	// Guards against a request that meets the copy of its own refusal (TWICE, REFUSED).
	It("keeps the request off every connection on which it may have been sent", func() {
		server, served := abortingServer() // the second request gets no answer
		t := New()
		used := make(map[string]int)
		ctx, history := WithHistory(context.Background())
		for n := range 4 {
			err := do(ctx, t, http.MethodPost, server.URL, "x")
			Expect(err != nil).To(Equal(n == 1))
			used[history.Last().Local]++
		}
		Expect(used).To(HaveLen(4), "connections")
		Expect(served.Load()).To(Equal(int64(4)))
	})

	It("lets other requests, and the request at other addresses, use kept connections", func() {
		t := New()
		ctx, history := WithHistory(context.Background())
		for range 2 {
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			DeferCleanup(server.Close)
			Expect(do(context.Background(), t, http.MethodPost, server.URL, "x")).To(Succeed())
			Expect(do(ctx, t, http.MethodPost, server.URL, "x")).To(Succeed())
			Expect(history.Last().Reused).To(BeTrue())
			Expect(do(ctx, t, http.MethodPost, server.URL, "x")).To(Succeed())
			Expect(history.Last().Reused).To(BeFalse())
		}
	})
})
