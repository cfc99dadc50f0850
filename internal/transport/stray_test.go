package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// lateConn is a connection whose reader gets no processor time after the first answer, until
// it is closed or released.
type lateConn struct {
	*net.TCPConn
	reads    int
	released chan struct{}
	once     sync.Once
}

func (c *lateConn) Read(data []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		<-c.released
	}
	return c.TCPConn.Read(data)
}

func (c *lateConn) release() { c.once.Do(func() { close(c.released) }) }

func (c *lateConn) Close() error {
	c.release()
	return c.TCPConn.Close()
}

func (c *lateConn) SyscallConn() (syscall.RawConn, error) { return c.TCPConn.SyscallConn() }

// Guards against requests that are written on a connection after an answer too many, or the
// end of the connection, has arrived, when the reader of the connection is late (LOST).
var _ = Describe("a pooled connection on which something has arrived since the last answer", func() {
	const success = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	var (
		sent  chan struct{}
		conns chan *lateConn
		t     *Transport
		heads chan string
	)
	// start starts a target that answers the first request on a connection and then calls
	// after, and returns its address.
	start := func(after func(c net.Conn)) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for n := 0; ; n++ {
				c, err := l.Accept()
				if err != nil {
					return // the listener is closed
				}
				go func() {
					defer func() { _ = c.Close() }()
					for i := 0; ; i++ {
						data := make([]byte, 4096)
						got, err := c.Read(data)
						if err != nil {
							return // the client has closed the connection
						}
						heads <- string(data[:got])
						_, _ = io.WriteString(c, success)
						if n == 0 && i == 0 {
							after(c)
							close(sent)
						}
					}
				}()
			}
		}()
		return l.Addr().String()
	}
	BeforeEach(func() {
		sent, heads, conns = make(chan struct{}), make(chan string, 10), make(chan *lateConn, 10)
		t = New(WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			tcp, ok := c.(*net.TCPConn)
			if !ok {
				return nil, errors.New("no TCP connection")
			}
			late := &lateConn{TCPConn: tcp, released: make(chan struct{})}
			conns <- late
			return late, nil
		}))
	})
	post := func(address string) (Connection, error) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		ctx, history := WithHistory(ctx)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		answer, err := t.RoundTrip(r)
		if err != nil {
			return history.Last(), err
		}
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		return history.Last(), err
	}

	DescribeTable("is replaced by another one",
		func(after func(c net.Conn)) {
			address := start(after)
			_, err := post(address)
			Expect(err).NotTo(HaveOccurred())
			Eventually(sent).Should(BeClosed())
			Eventually(heads).Should(Receive())
			used, err := post(address)
			Expect(err).NotTo(HaveOccurred())
			Expect(used.Reused).To(BeFalse())
			Eventually(heads).Should(Receive())
			Consistently(heads, "50ms").ShouldNot(Receive(), "it is sent once")
		},
		Entry("an answer too many", func(c net.Conn) { _, _ = io.WriteString(c, success) }),
		Entry("a part of one", func(c net.Conn) { _, _ = io.WriteString(c, "H") }),
		Entry("its end", func(c net.Conn) { _ = c.Close() }),
		Entry("a reset", func(c net.Conn) {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}),
	)

	It("is used if nothing has arrived", func() {
		address := start(func(net.Conn) {})
		_, err := post(address)
		Expect(err).NotTo(HaveOccurred())
		Eventually(sent).Should(BeClosed())
		first := <-conns
		time.AfterFunc(50*time.Millisecond, first.release)
		used, err := post(address)
		Expect(err).NotTo(HaveOccurred())
		Expect(used.Reused).To(BeTrue())
	})
})
