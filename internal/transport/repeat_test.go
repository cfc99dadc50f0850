package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// recorder is a target that records the heads of the requests that it gets. It answers the
// requests on a connection in order, and closes it after it has read the one after the last
// answer.
type recorder struct {
	address string
	heads   chan string
	// conns are the connections in the order of their begin.
	conns chan net.Conn
	// worksOn is set if the target does not close its side when the client has closed its own.
	worksOn atomic.Bool
}

func newRecorder(answers ...string) *recorder {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	r := &recorder{address: l.Addr().String(), heads: make(chan string, 100), conns: make(chan net.Conn, 100)}
	done := make(chan struct{})
	DeferCleanup(func() { close(done) })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		for n := 0; n <= len(answers); n++ {
			head := ""
			for !strings.HasSuffix(head, "\r\n\r\n") {
				line, err := in.ReadString('\n')
				if err != nil { // the client has closed the connection
					if r.worksOn.Load() {
						<-done
					}
					return
				}
				head += line
			}
			r.heads <- head
			if n == len(answers) {
				return
			}
			if _, err := io.WriteString(c, answers[n]); err != nil {
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
			r.conns <- c
			go serve(c)
		}
	}()
	return r
}

// Guards against sends that no budget counts: http.Transport sends a request without a body
// again if a reused connection ends (BUDGET, TWICE).
var _ = DescribeTable("a request without a body is sent only once if a reused connection breaks",
	func(method, key, head string) {
		const success = "HTTP/1.1 204 No Content\r\n\r\n"
		target := newRecorder(success)
		t := New()
		send := func() error {
			ctx, history := WithHistory(context.Background())
			r, err := http.NewRequestWithContext(ctx, method, "http://"+target.address+"/a?b", nil)
			Expect(err).NotTo(HaveOccurred())
			r.Header["User-Agent"] = []string{""}
			r.Header["X-Own"] = []string{"kept"}
			if key != "" {
				r.Header[key] = []string{"1"}
			}
			answer, err := t.RoundTrip(r)
			if err != nil {
				Expect(history.Last().Reused).To(BeTrue())
				return err
			}
			return answer.Body.Close()
		}
		head = strings.ReplaceAll(head, "HOST", target.address)
		Expect(send()).To(Succeed())
		Expect(target.heads).To(Receive(Equal(head)))
		err := send()
		Expect(err).To(HaveOccurred())
		Expect(notSent(err)).To(BeFalse())
		Expect(target.heads).To(Receive(Equal(head)))
		Consistently(target.heads, "50ms").ShouldNot(Receive())
		Expect(send()).To(Succeed(), "on a new connection")
	},
	Entry("GET", http.MethodGet, "", "GET /a?b HTTP/1.1\r\nHost: HOST\r\nX-Own: kept\r\n\r\n"),
	Entry("HEAD", http.MethodHead, "", "HEAD /a?b HTTP/1.1\r\nHost: HOST\r\nX-Own: kept\r\n\r\n"),
	Entry("DELETE", http.MethodDelete, "", "DELETE /a?b HTTP/1.1\r\nHost: HOST\r\nX-Own: kept\r\n\r\n"),
	Entry("POST", http.MethodPost, "", "POST /a?b HTTP/1.1\r\nHost: HOST\r\nContent-Length: 0\r\nX-Own: kept\r\n\r\n"),
	Entry("POST with an idempotency key", http.MethodPost, "Idempotency-Key", "POST /a?b HTTP/1.1\r\nHost: HOST\r\nContent-Length: 0\r\nIdempotency-Key: 1\r\nX-Own: kept\r\n\r\n"),
)
