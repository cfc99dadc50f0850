package lingering_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/lingering"
)

func TestLingering(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lingering")
}

// pair returns a connection that lingers, and its peer.
func pair() (*lingering.Conn, *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	dialed, err := net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	accepted, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = accepted.Close() })
	c := lingering.New(dialed)
	c.SetLinger(true)
	DeferCleanup(func() { c.SetLinger(false) })
	peer, ok := accepted.(*net.TCPConn)
	Expect(ok).To(BeTrue())
	return c, peer
}

var _ = Describe("a connection that lingers", func() {
	It("ends its side at once, and is done when the peer ends its own", func() {
		c, peer := pair()
		Expect(c.Close()).To(Succeed())
		Expect(io.ReadAll(peer)).To(BeEmpty())
		_, err := peer.Write([]byte("more"))
		Expect(err).NotTo(HaveOccurred())
		Consistently(c.Done(), "100ms").ShouldNot(BeClosed())
		Expect(c.PeerEnded()).To(BeFalse())
		Expect(peer.Close()).To(Succeed())
		Eventually(c.Done(), "1s").Should(BeClosed())
		Expect(c.PeerEnded()).To(BeTrue())
		Expect(c.Close()).To(MatchError(net.ErrClosed))
	})

	It("is done when the peer resets it", func() {
		c, peer := pair()
		Expect(c.Close()).To(Succeed())
		Expect(peer.SetLinger(0)).To(Succeed())
		Expect(peer.Close()).To(Succeed())
		Eventually(c.Done(), "1s").Should(BeClosed())
		Expect(c.PeerEnded()).To(BeTrue())
	})

	It("is done at once if the peer has ended its side before", func() {
		c, peer := pair()
		Expect(peer.Close()).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		Expect(c.Close()).To(Succeed())
		Expect(c.Done()).To(BeClosed())
		Expect(c.PeerEnded()).To(BeTrue())
	})

	It("ends a Read that waits, and returns nothing more", func() {
		c, peer := pair()
		read := make(chan error, 1)
		go func() {
			_, err := c.Read(make([]byte, 1))
			read <- err
		}()
		Consistently(read, "50ms").ShouldNot(Receive())
		Expect(c.Close()).To(Succeed())
		Eventually(read, "1s").Should(Receive(MatchError(net.ErrClosed)))
		_, err := peer.Write([]byte("more"))
		Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(MatchError(net.ErrClosed))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	It("no longer waits once it need not linger", func() {
		c, _ := pair()
		Expect(c.Close()).To(Succeed())
		c.SetLinger(false)
		Eventually(c.Done(), "1s").Should(BeClosed())
		Expect(c.PeerEnded()).To(BeFalse())
	})

	It("is reset if the peer sends without end", func() {
		c, peer := pair()
		Expect(c.Close()).To(Succeed())
		data := make([]byte, 16<<10)
		Eventually(func() error {
			_, err := peer.Write(data)
			return err
		}, "5s", "1ms").Should(HaveOccurred())
		Expect(c.Done()).To(BeClosed())
		Expect(c.PeerEnded()).To(BeFalse())
	})

	It("closes at once if it is not to linger", func() {
		c, peer := pair()
		c.SetLinger(false)
		Expect(c.Close()).To(Succeed())
		Expect(c.Done()).To(BeClosed())
		Expect(peer.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		_, err := peer.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})
})
