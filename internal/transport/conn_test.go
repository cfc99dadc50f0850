package transport

import (
	"net"
	"net/http/httptrace"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a connection", func() {
	var (
		c    *conn
		peer net.Conn
	)
	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		client, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		peer, err = l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = peer.Close() })
		c = newConn(client)
		DeferCleanup(func() { _ = client.Close() })
	})
	write := func() error {
		_, err := c.Write([]byte("x"))
		return err
	}

	// Guards against a request that gets the copy of an earlier answer, read while the request
	// is about to be written (LOST).
	It("takes no request once something was read before its first byte", func() {
		first := c.use()
		Expect(write()).To(Succeed())
		first.accept()
		c.use()
		_, err := peer.Write([]byte("H"))
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(MatchError(net.ErrClosed))
		Expect(write()).To(MatchError(net.ErrClosed))
	})

	// Guards against a second send that no budget counts (BUDGET, TWICE).
	It("that is chosen for a request that may have been sent takes no byte of it", func() {
		trace := &requestTrace{sent: true}
		trace.gotConn(httptrace.GotConnInfo{Conn: c})
		Expect(write()).To(MatchError(net.ErrClosed))
	})

	// Guards against a stream whose target's end is never confirmed, or confirmed for another
	// request (LOST, TWICE).
	DescribeTable("lingers for the request whose answer is due",
		func(firstLingers, secondLingers, accepted, lingers bool) {
			first := c.use()
			if firstLingers {
				first.linger(true)
			}
			Expect(write()).To(Succeed())
			second := c.use()
			if secondLingers {
				second.linger(true)
			}
			if accepted {
				first.accept()
			}
			Expect(c.Close()).To(Succeed())
			if lingers {
				Consistently(c.Done(), "20ms").ShouldNot(BeClosed())
			}
			Expect(peer.Close()).To(Succeed())
			Eventually(c.Done()).Should(BeClosed())
			Expect(c.PeerEnded()).To(Equal(lingers))
		},
		Entry("the first one, as long as its answer is not accepted", true, false, false, true),
		Entry("the next one afterwards", false, true, true, true),
		Entry("not the first one afterwards", true, false, true, false),
	)
})
