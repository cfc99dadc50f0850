package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endingConn is a connection whose peer ends it between the choice of the connection for a
// second request and the first byte of that.
type endingConn struct {
	net.Conn
	chosen atomic.Int64
	ended  chan struct{}
	once   sync.Once
}

// LocalAddr is called once for each request on the connection.
func (c *endingConn) LocalAddr() net.Addr {
	if c.chosen.Add(1) == 2 {
		if half, ok := c.Conn.(*net.TCPConn); ok {
			_ = half.CloseRead() // as if the peer had ended its side
		}
		<-c.ended
	}
	return c.Conn.LocalAddr()
}

func (c *endingConn) Close() error {
	defer c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// Guards against targets that are taken for unreachable because they have closed a connection
// that was idle.
var _ = Describe("a pooled connection that its target ends before a byte is written", func() {
	DescribeTable("is replaced by another one",
		func(method, body string) {
			var requests atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				requests.Add(1)
			}))
			DeferCleanup(server.Close)
			t := New(WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &endingConn{Conn: c, ended: make(chan struct{})}, nil
			}))
			for range 2 {
				ctx, history := WithHistory(context.Background())
				r, err := http.NewRequestWithContext(ctx, method, server.URL, strings.NewReader(body))
				Expect(err).NotTo(HaveOccurred())
				answer, err := t.RoundTrip(r)
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.Body.Close()).To(Succeed())
				Expect(history.Last().Reused).To(BeFalse())
			}
			Expect(requests.Load()).To(Equal(int64(2)))
		},
		Entry("for a request with a body", http.MethodPost, "x"),
		Entry("for one without", http.MethodGet, ""),
	)
})
