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

// Guards against the copy of an answer, in one segment with it, that is taken for the answer
// to the next request on the connection before that is written (REFUSED, TWICE).
var _ = Describe("an answer that arrives before the request is written", func() {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	const success = "HTTP/1.1 204 No Content\r\n\r\n"
	// early has the answer to the first request accepted when an answer to the second one begins,
	// not only when that is checked.
	DescribeTable("is no answer to it",
		func(ctx SpecContext, body string, early bool) {
			target, other := newRecorder(refusal+refusal, success), newRecorder(success)
			addresses := make(chan string, 2)
			addresses <- target.address
			addresses <- other.address
			t := New(WithDial(func(ctx context.Context, network, _ string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, network, <-addresses)
			}))
			send := func(ctx context.Context, body string) (int, error) {
				var reader io.Reader
				if body != "" {
					reader = strings.NewReader(body)
				}
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.address, reader)
				Expect(err).NotTo(HaveOccurred())
				answer, err := t.RoundTrip(r)
				if err != nil {
					return 0, err
				}
				return answer.StatusCode, answer.Body.Close()
			}
			idle, chosen, accepted, written := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
			choose := sync.OnceFunc(func() { close(chosen) })
			accept := sync.OnceFunc(func() { close(accepted) })

			ctxOfFirst := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{PutIdleConn: func(error) {
				close(idle)
				<-chosen // before the reader of the connection goes on
			}})
			ctxOfFirst = WithCheck(ctxOfFirst, func(*http.Response) error {
				<-accepted
				return nil
			})
			first := make(chan error, 1)
			go func() {
				defer GinkgoRecover()
				_, err := send(ctxOfFirst, "")
				first <- err
			}()
			Eventually(idle).Should(BeClosed())
			Expect(target.heads).To(Receive())

			ctxOfSecond := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
				WroteHeaderField: func(string, []string) { choose() },
				GotFirstResponseByte: func() {
					if early {
						accept()
						<-written
					}
				},
			})
			ctxOfSecond = WithCheck(ctxOfSecond, func(*http.Response) error {
				accept()
				return nil
			})
			second := make(chan int, 1)
			go func() {
				defer GinkgoRecover()
				status, err := send(ctxOfSecond, body)
				Expect(err).NotTo(HaveOccurred())
				second <- status
			}()
			Eventually(other.heads).Should(Receive(), "it is written on another connection")
			close(written)
			Eventually(second).Should(Receive(Equal(http.StatusNoContent)))
			Eventually(first).Should(Receive(BeNil()))
			Expect(target.heads).NotTo(Receive())
		},
		Entry("with a body", "x", false),
		Entry("without one", "", false),
		Entry("also if it could be written meanwhile", "x", true),
	)
})
