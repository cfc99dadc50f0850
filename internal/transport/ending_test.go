package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

var _ = Describe("the ending of an attempt", func() {
	// workTime is how long a target works on after its connection was closed.
	const workTime = 300 * time.Millisecond
	var (
		server *httptest.Server
		worked chan struct{}
		dials  atomic.Int64
		lost   atomic.Bool
	)
	BeforeEach(func() {
		worked = make(chan struct{})
		dials.Store(0)
		lost.Store(false)
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/answer" {
				return
			}
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			if r.URL.Path == "/brief" {
				return
			}
			time.Sleep(workTime)
			close(worked)
		}))
		DeferCleanup(server.Close)
	})
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		if lost.Load() {
			return nil, errors.New("no route")
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	// send sends a request and returns its ending; the attempt can be canceled.
	send := func(ctx context.Context, t *Transport, path string) (*Ending, *http.Response, context.CancelFunc) {
		ctx, ending := WithEnding(ctx)
		ctx, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		answer, err := t.RoundTrip(r)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(answer.Body.Close)
		return ending, answer, cancel
	}

	It("is confirmed once the target no longer works on the request", func(ctx SpecContext) {
		ending, answer, cancel := send(ctx, New(WithDial(dial)), "/stream")
		cancel()
		_, err := io.ReadAll(answer.Body)
		Expect(err).To(HaveOccurred())
		Expect(ending.Await(ctx)).To(Equal(Confirmed))
		Expect(worked).To(BeClosed())
	})

	It("is confirmed also if the answer is not read to its end", func(ctx SpecContext) {
		ending, answer, _ := send(ctx, New(WithDial(dial)), "/stream")
		Expect(answer.Body.Close()).To(Succeed())
		Expect(ending.Await(ctx)).To(Equal(Confirmed))
		Expect(worked).To(BeClosed())
	})

	// Guards against broken streams that look complete: a target that notices the close may end
	// its answer properly (MIXED).
	It("leaves out what the target sends after the attempt was canceled", func(ctx SpecContext) {
		t := New(WithDial(dial))
		for range 200 {
			ending, answer, cancel := send(ctx, t, "/brief")
			go cancel()
			_, err := io.ReadAll(answer.Body)
			Expect(err).To(HaveOccurred())
			Expect(ending.Await(ctx)).To(Equal(Confirmed))
		}
	})

	It("is not confirmed while the target works on", func(ctx SpecContext) {
		job, end := context.WithTimeout(ctx, workTime/3)
		defer end()
		ending, _, cancel := send(job, New(WithDial(dial)), "/stream")
		cancel()
		Expect(ending.Await(job)).To(Equal(Unconfirmed))
		Expect(dials.Load()).To(BeNumerically(">", 1), "the target was probed")
		Expect(worked).NotTo(BeClosed())
	})

	It("is that of a target that cannot be reached", func(ctx SpecContext) {
		ending, _, cancel := send(ctx, New(WithDial(dial)), "/stream")
		lost.Store(true)
		cancel()
		Expect(ending.Await(ctx)).To(Equal(Unreachable))
		Expect(worked).NotTo(BeClosed())
	})

	// Guards against probes that fail because their time is over, and are taken for targets that
	// cannot be reached (TWICE).
	It("is not that of a target that cannot be reached if the time for the probe is over", func(ctx SpecContext) {
		ending, _, cancel := send(ctx, New(WithDial(dial)), "/stream")
		lost.Store(true)
		cancel()
		Expect(ending.Await(overdueContext{ctx})).To(Equal(Unconfirmed))
	})

	It("is confirmed by a complete answer, whose connection is kept", func(ctx SpecContext) {
		t := New(WithDial(dial))
		job, end := context.WithCancel(ctx)
		ending, answer, _ := send(job, t, "/answer")
		Expect(io.ReadAll(answer.Body)).To(BeEmpty())
		Expect(ending.Await(ctx)).To(Equal(Confirmed))
		Expect(do(ctx, t, http.MethodPost, server.URL+"/answer", "x")).To(Succeed())
		end()
		Expect(do(ctx, t, http.MethodPost, server.URL+"/answer", "x")).To(Succeed())
		Expect(dials.Load()).To(Equal(int64(1)))
	})

	It("does not concern a later request on the same connection", func(ctx SpecContext) {
		t := New(WithDial(dial))
		job, end := context.WithCancel(ctx)
		first, answer, _ := send(job, t, "/answer")
		Expect(io.ReadAll(answer.Body)).To(BeEmpty())
		_, later, _ := send(ctx, t, "/stream")
		end()
		first.release()
		Expect(dials.Load()).To(Equal(int64(1)))
		read := make(chan struct{})
		go func() {
			defer close(read)
			_, _ = later.Body.Read(make([]byte, 1))
		}()
		Consistently(read, "100ms").ShouldNot(BeClosed())
	})
})

// overdueContext is a context whose deadline has passed, and which has not ended yet.
type overdueContext struct{ context.Context }

func (overdueContext) Deadline() (time.Time, bool) { return time.Now(), true }
