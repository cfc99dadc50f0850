package transport

import (
	"context"
	"net"
	"net/http"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// failingConn is a connection whose writes fail after a number of bytes.
type failingConn struct {
	net.Conn
	taken int
}

func (c *failingConn) Write([]byte) (int, error) { return c.taken, syscall.ECONNRESET }

// Guards against requests that count as sent although their connection was reset before: a
// target resets the connections that it has no room for (LOST).
var _ = DescribeTable("a write that fails means that the request was not sent if the kernel has taken no byte",
	func(method, body string, taken int, unsent bool) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		t := New(WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &failingConn{c, taken}, err
		}))
		err = do(context.Background(), t, method, "http://"+l.Addr().String(), body)
		Expect(err).To(HaveOccurred())
		Expect(notSent(err)).To(Equal(unsent))
	},
	Entry("none, with a body", http.MethodPost, "x", 0, true),
	Entry("none, without a body", http.MethodGet, "", 0, true),
	Entry("one, with a body", http.MethodPost, "x", 1, false),
	Entry("one, without a body", http.MethodGet, "", 1, false),
)
