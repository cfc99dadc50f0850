package forward_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/exchange"
)

// pausingCaller is a caller that does not read for a while: the first Write waits.
type pausingCaller struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

// Write implements http.ResponseWriter.
func (c *pausingCaller) Write(p []byte) (int, error) {
	time.Sleep(c.pause)
	c.pause = 0
	return c.ResponseRecorder.Write(p)
}

// Guards against streams that are broken off at an engine that works, since their caller does not read.
var _ = Describe("a stream whose caller stops reading for longer than an engine may stall", func() {
	It("goes on at its engine", func() {
		x := newFixture()
		route := &x.p.Routes[2]
		route.Timeout = 10 * time.Second
		const first, rest = "id: 1\ndata: x\n\n", "id: 2\ndata: x\n\nid: 3\ndata: x\n\n"
		// Longer than the buffer of a stream, so that its rest is read after the pause.
		comment := ": " + strings.Repeat("x", 4<<10) + "\n\n"
		x.sender.replies = []reply{{status: http.StatusOK, body: first + comment + rest}, {status: http.StatusOK, body: rest}}
		w := &pausingCaller{httptest.NewRecorder(), route.CallerTimeout()}
		err := x.f.Serve(w, httptest.NewRequest(http.MethodPost, "/draft/1", nil), &exchange.Request{
			ID: "1", Method: http.MethodPost, HostName: "h", Path: "/draft/1", URI: "/draft/1", Key: "key", Model: "m", Arrival: time.Now(),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(x.sender.attempts).To(HaveLen(1))
		Expect(w.Body.String()).To(Equal(first + comment + rest))
	})
})
