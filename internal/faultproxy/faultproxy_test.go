package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFaultProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faultproxy")
}

// connect returns a proxy and both ends of a connection through it.
func connect() (p *Proxy, client, server net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	p, err = Start(netip.MustParseAddrPort(listener.Addr().String()))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	client, err = net.Dial("tcp", p.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	server, err = listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	for _, c := range []net.Conn{client, server} {
		DeferCleanup(func() { _ = c.Close() })
		Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	}
	return p, client, server
}

// expectData sends text to one end and reads it at the other.
func expectData(from, to net.Conn, text string) {
	_, err := io.WriteString(from, text)
	Expect(err).NotTo(HaveOccurred())
	expectRead(to, text)
}

func expectRead(c net.Conn, text string) {
	got := make([]byte, len(text))
	_, err := io.ReadFull(c, got)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(got)).To(Equal(text))
}

var _ = Describe("Proxy", func() {
	It("holds requests, and forwards answers meanwhile", func() {
		p, client, server := connect()
		expectData(client, server, "first")
		p.SetFault(Fault{HoldRequests: true})
		_, err := io.WriteString(client, "second")
		Expect(err).NotTo(HaveOccurred())
		Eventually(p.Held, "5s").Should(Equal(1))
		expectData(server, client, "answer")
		Expect(p.Held()).To(Equal(1))
		p.SetFault(Fault{})
		expectRead(server, "second")
	})

	It("resets connections at both ends", func() {
		p, client, server := connect()
		expectData(client, server, "first")
		p.ResetAll()
		for _, c := range []net.Conn{client, server} {
			_, err := c.Read(make([]byte, 1))
			Expect(err).To(MatchError(syscall.ECONNRESET))
		}
	})

	It("discards requests that it holds if the connections are reset", func() {
		p, client, server := connect()
		expectData(client, server, "first")
		p.SetFault(Fault{HoldRequests: true})
		_, err := io.WriteString(client, "second")
		Expect(err).NotTo(HaveOccurred())
		Eventually(p.Held, "5s").Should(Equal(1))
		p.ResetAll()
		p.SetFault(Fault{})
		n, err := server.Read(make([]byte, 16))
		Expect(n).To(BeZero())
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})
})
