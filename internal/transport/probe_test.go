package transport

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// expiredContext is a context whose deadline has passed, before its timer has run.
type expiredContext struct{ context.Context }

func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// Guards against a target that is taken for unreachable, while it works on a stream, since this
// process got no processor time, or since the time of the request is up (TWICE).
var _ = Describe("a target that works on is not unreachable", func() {
	// await returns the end of a request whose target works on. stall delays the first probe.
	await := func(ctx, awaited context.Context, stall time.Duration) End {
		target := newRecorder("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
		target.worksOn.Store(true)
		var dials atomic.Int64
		t := New(WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) == 2 && stall > 0 {
				time.Sleep(stall)
				return nil, errors.New("i/o timeout")
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}))
		job, ending := WithEnding(ctx)
		attempt, cancel := context.WithCancel(job)
		r, err := http.NewRequestWithContext(attempt, http.MethodPost, "http://"+target.address, nil)
		Expect(err).NotTo(HaveOccurred())
		answer, err := t.RoundTrip(r)
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Expect(answer.Body.Close()).To(Succeed())
		end := ending.Await(awaited)
		Expect(dials.Load()).To(BeNumerically(">", 1), "the target was probed")
		return end
	}

	It("if a probe ends long after its time", func(ctx SpecContext) {
		soon, cancel := context.WithTimeout(ctx, 2*probeTimeout+2*probeInterval)
		defer cancel()
		Expect(await(ctx, soon, 2*probeTimeout)).To(Equal(Unconfirmed))
	})

	It("if the time of the request ends during a probe", func(ctx SpecContext) {
		Expect(await(ctx, expiredContext{ctx}, 0)).To(Equal(Unconfirmed))
	})
})
