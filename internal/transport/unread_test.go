package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against requests that are written on a connection whose reader has taken more bytes
// than the last answer from the kernel and has not looked at them yet (LOST).
var _ = Describe("a connection with bytes that were read along with the last answer", func() {
	const success = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	const empty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

	DescribeTable("is replaced by another one before its reader sees them",
		func(ctx SpecContext, answer, want, rest, body string) {
			target, other := newRecorder(answer+rest, success), newRecorder(success)
			addresses := make(chan string, 2)
			addresses <- target.address
			addresses <- other.address
			t := New(WithDial(func(ctx context.Context, network, _ string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, network, <-addresses)
			}))
			// send returns a channel with the body of the answer, or the error.
			send := func(ctx context.Context, body string) <-chan string {
				out := make(chan string, 1)
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.address, strings.NewReader(body))
				Expect(err).NotTo(HaveOccurred())
				go func() {
					answer, err := t.RoundTrip(r)
					if err != nil {
						out <- err.Error()
						return
					}
					defer func() { _ = answer.Body.Close() }()
					data, err := io.ReadAll(answer.Body)
					if err != nil {
						out <- err.Error()
						return
					}
					out <- string(data)
				}()
				return out
			}
			idle, begun, resumed := make(chan struct{}), make(chan struct{}), make(chan struct{})
			begin, resume := sync.OnceFunc(func() { close(begun) }), sync.OnceFunc(func() { close(resumed) })
			DeferCleanup(resume)

			ctxOfFirst := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{PutIdleConn: func(error) {
				close(idle)
				<-resumed // the reader of the connection stands still
			}})
			first := send(ctxOfFirst, "x")
			Eventually(idle).Should(BeClosed())
			Expect(target.heads).To(Receive())

			ctxOfSecond := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
				WroteHeaderField: func(string, []string) { begin() },
			})
			second := send(ctxOfSecond, body)
			Eventually(begun).Should(BeClosed())
			Consistently(target.heads, "50ms").ShouldNot(Receive(), "no request is written on it")
			resume()
			Eventually(other.heads).Should(Receive())
			Eventually(second).Should(Receive(Equal("ok")))
			Eventually(first).Should(Receive(Equal(want)))
			Expect(target.heads).NotTo(Receive())
		},
		Entry("an answer too many", success, "ok", success, "x"),
		Entry("a part of one", success, "ok", "H", "x"),
		Entry("an answer too many, for a request without a body", success, "ok", success, ""),
		Entry("an answer too many after one without a body", empty, "", success, "x"),
	)
})
