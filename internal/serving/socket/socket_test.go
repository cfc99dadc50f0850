package socket_test

import (
	"context"
	"io"
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

// connect returns a connection of d and its peer, which has a small receive buffer.
type connect func(d *socket.Dialer) (ours net.Conn, peer *net.TCPConn)

func smallBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		defer GinkgoRecover()
		Expect(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)).To(Succeed())
	})
}

// accept returns a connection that d accepts.
func accept(d *socket.Dialer) (ours net.Conn, peer *net.TCPConn) {
	l, err := d.Listen(context.Background(), "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	c, err := (&net.Dialer{Control: smallBuffer}).Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	ours, err = l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = ours.Close() })
	return ours, c.(*net.TCPConn)
}

// dial returns a connection that d opens.
func dial(d *socket.Dialer) (ours net.Conn, peer *net.TCPConn) {
	l, err := (&net.ListenConfig{Control: smallBuffer}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	ours, err = d.Dial(context.Background(), "tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = ours.Close() })
	c, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
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

// Guards against connections that are ended, with what they have sent, because a live peer
// stopped reading for longer than the user time-out.
var _ = Describe("a connection whose peer stops reading", func() {
	const size, pause = 4800, 5 * userTimeout
	DescribeTable("delivers everything once it reads again",
		func(to connect, piece int) {
			d := socket.New("callers", socket.WithUserTimeout(userTimeout))
			ours, peer := to(d)
			failed := make(chan error, 1)
			go func() {
				for sent := 0; sent < size; sent += piece {
					if _, err := ours.Write(make([]byte, piece)); err != nil {
						failed <- err
						return
					}
				}
				failed <- nil
			}()
			time.Sleep(pause)
			Expect(peer.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			n, err := io.CopyN(io.Discard, peer, size)
			Expect(err).NotTo(HaveOccurred(), "%d of %d bytes", n, size)
			Eventually(failed).Should(Receive(Succeed()))
			Expect(timeouts(d)).To(BeEmpty())
		},
		Entry("a caller that gets an answer", connect(accept), size),
		Entry("a caller that gets a stream of short events", connect(accept), 5),
		Entry("a target that gets a request", connect(dial), size),
	)
})

var _ = Describe("a connection that is closed before its peer has read everything", func() {
	const size = 4800
	// read returns the number of bytes that the peer gets after a pause.
	read := func(unreadTimeout, pause time.Duration) int64 {
		ours, peer := accept(socket.New("callers", socket.WithUserTimeout(userTimeout), socket.WithUnreadTimeout(unreadTimeout)))
		_, err := ours.Write(make([]byte, size))
		Expect(err).NotTo(HaveOccurred())
		Expect(ours.Close()).To(Succeed())
		time.Sleep(pause)
		Expect(peer.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		n, _ := io.Copy(io.Discard, peer) // the number tells what an error would
		return n
	}

	It("delivers it", func() {
		Expect(read(20*userTimeout, 5*userTimeout)).To(BeEquivalentTo(size))
	})

	// Guards against connections that nobody watches any longer.
	It("does not keep it for longer than the peer may read nothing", func() {
		Expect(read(2*userTimeout, 8*userTimeout)).To(BeNumerically("<", size))
	})
})

var _ = Describe("a connection times out, and says why", func() {
	// expectTimeout expects that ours times out while peer is as it is.
	expectTimeout := func(d *socket.Dialer, log *gbytes.Buffer, ours net.Conn, cause string) {
		Eventually(readError(ours), "8s").Should(Receive(MatchError(syscall.ETIMEDOUT)))
		Expect(log).To(gbytes.Say("connection timed out.*peers=callers.*state=" + cause))
		Expect(timeouts(d)).To(Equal(map[string]float64{cause: 1}))
	}
	var (
		d   *socket.Dialer
		log *gbytes.Buffer
	)
	start := func(opts ...socket.Option) {
		log = gbytes.NewBuffer()
		d = socket.New("callers", append(opts, socket.WithUserTimeout(userTimeout), socket.WithLogger(hclog.New(&hclog.LoggerOptions{Output: log})))...)
	}

	It("if its peer is unreachable", func() {
		start()
		ours, peer := accept(d)
		cutOff(peer)
		_, err := ours.Write([]byte("an answer"))
		Expect(err).NotTo(HaveOccurred())
		expectTimeout(d, log, ours, "unacknowledged")
	})

	It("if its peer becomes unreachable while it does not read", func() {
		start()
		ours, peer := accept(d)
		_, err := ours.Write(make([]byte, 4*receiveBytes))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(userTimeout)
		cutOff(peer)
		expectTimeout(d, log, ours, "unreachable")
	})

	It("if its peer becomes unreachable while nothing is sent", func() {
		start()
		ours, peer := accept(d)
		_, err := ours.Write([]byte("an answer"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * userTimeout)
		cutOff(peer)
		expectTimeout(d, log, ours, "idle")
	})

	It("if its peer never reads, also while a Write waits", func() {
		start(socket.WithUnreadTimeout(3 * userTimeout))
		ours, _ := accept(d)
		failed := make(chan error, 1)
		go func() {
			_, err := ours.Write(make([]byte, 32<<20)) // more than the kernel's buffers hold
			failed <- err
		}()
		expectTimeout(d, log, ours, "unread")
		Eventually(failed, "2s").Should(Receive(MatchError(syscall.ETIMEDOUT)))
	})
})
