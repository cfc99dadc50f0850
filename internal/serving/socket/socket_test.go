package socket_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"fireflypier.example/fireflypier/internal/serving/socket"
)

const (
	userTimeout = 300 * time.Millisecond
	// receiveBytes is the receive buffer of peers that stop reading; the kernel doubles it.
	receiveBytes = 2048
)

func TestSocket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "socket")
}

// accept returns a connection that d accepts, and its peer, which has a small receive buffer.
func accept(d *socket.Dialer) (ours net.Conn, peer *net.TCPConn) {
	l, err := d.Listen(context.Background(), "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			defer GinkgoRecover()
			Expect(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)).To(Succeed())
		})
	}}
	c, err := dialer.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	ours, err = l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = ours.Close() })
	return ours, c.(*net.TCPConn)
}

// cutOff has the kernel drop all packets for a connection, as if its VM had lost power.
func cutOff(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	Expect(raw.Control(func(fd uintptr) {
		defer GinkgoRecover()
		Expect(unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})).To(Succeed())
	})).To(Succeed())
}

// readError returns a channel for the error of the next Read of c.
func readError(c net.Conn) <-chan error {
	failed := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		failed <- err
	}()
	return failed
}

// timeouts returns the number of connections that have timed out, by state.
func timeouts(d *socket.Dialer) map[string]float64 {
	r := prometheus.NewRegistry()
	Expect(r.Register(d.Collector())).To(Succeed())
	families, err := r.Gather()
	Expect(err).NotTo(HaveOccurred())
	counts := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetName() == "state" {
					counts[l.GetValue()] = m.GetCounter().GetValue()
				}
			}
		}
	}
	return counts
}

var _ = Describe("a connection", func() {
	It("times out if its peer is unreachable, and says in log and metrics why", func() {
		log := gbytes.NewBuffer()
		d := socket.New("callers", socket.WithUserTimeout(userTimeout), socket.WithLogger(hclog.New(&hclog.LoggerOptions{Output: log})))
		ours, peer := accept(d)
		cutOff(peer)
		_, err := ours.Write([]byte("an answer"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(readError(ours), "5s").Should(Receive(MatchError(syscall.ETIMEDOUT)))
		Expect(log).To(gbytes.Say("connection timed out.*peers=callers.*state=unacknowledged"))
		Expect(timeouts(d)).To(Equal(map[string]float64{"unacknowledged": 1}))
	})
})
