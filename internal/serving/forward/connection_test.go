package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/transport"
)

var _ = Describe("an attempt", func() {
	It("is logged with its connection", func() {
		x := newFixture()
		answers := make(chan func(w http.ResponseWriter), 2)
		answers <- func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
		answers <- func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
		clients := make(chan string, 2)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			clients <- r.RemoteAddr
			(<-answers)(w)
		}))
		DeferCleanup(server.Close)
		for _, id := range []string{"p1", "p2", "p3"} {
			x.view.Set(&target.Target{ID: id, Pool: "plain", Slots: 6, Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))})
		}
		out := gbytes.NewBuffer()
		x.f.Logger = hclog.New(&hclog.LoggerOptions{Output: out})
		x.f.Sender = socketSender{transport.New()}
		_, _, err := x.serve("/buy/1")
		Expect(err).To(HaveOccurred())
		Expect(out).To(gbytes.Say(`attempt ended without an answer: .*connection=%s reused=false`, <-clients))
		_, _, err = x.serve("/buy/1")
		Expect(err).To(HaveOccurred())
		Expect(out).To(gbytes.Say(`attempt failed: .*connection=%s reused=true`, <-clients))
	})
})

// answerRaw starts a target that answers each request with the bytes that answer returns,
// and returns its address. n counts the requests on one connection, from zero.
func answerRaw(answer func(n int) string) netip.AddrPort {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return // the client has closed the connection
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, answer(n)); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the listener is closed
			}
			go serve(c)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against a request that meets the copy of its own refusal: a target that is
// restarted has another ID at the same address (TWICE, REFUSED).
var _ = Describe("a request that was refused", func() {
	const refusal = "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	const success = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

	DescribeTable("is sent on a connection of its own to another target at the same address",
		func(path string) {
			x := newFixture()
			var requests, runs atomic.Int64
			address := answerRaw(func(n int) string {
				if requests.Add(1) == 1 {
					return refusal
				}
				runs.Add(1)
				if n > 0 {
					return refusal + success
				}
				return success
			})
			for _, id := range []string{"p1", "p2", "p3"} {
				x.view.Set(&target.Target{ID: id, Pool: "plain", Slots: 6, Address: address})
			}
			x.f.Sender = socketSender{transport.New()}
			w, _, err := x.serve(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(w.Body.String()).To(Equal("ok"))
			Expect(runs.Load()).To(Equal(int64(1)))
		},
		Entry("that must not be repeated", "/buy/1"),
		Entry("that may be repeated", "/look/1"),
	)

	It("is sent on a connection of its own to a target that has refused it", func() {
		x := newFixture()
		var requests, runs atomic.Int64
		answer := func(n int) string {
			if requests.Add(1) <= 3 {
				return refusal
			}
			runs.Add(1)
			if n > 0 {
				return refusal + success
			}
			return success
		}
		for _, id := range []string{"p1", "p2", "p3"} {
			x.view.Set(&target.Target{ID: id, Pool: "plain", Slots: 6, Address: answerRaw(answer)})
		}
		x.f.Sender = socketSender{transport.New()}
		w, _, err := x.serve("/buy/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Body.String()).To(Equal("ok"))
		Expect(requests.Load()).To(Equal(int64(4)))
		Expect(runs.Load()).To(Equal(int64(1)))
	})
})
