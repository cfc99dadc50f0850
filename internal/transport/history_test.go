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
})
