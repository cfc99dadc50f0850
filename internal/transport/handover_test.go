package transport

import (
	"context"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// Guards against a request that is written on a connection whose last answer belonged to
// another request: the answer that is still due is then taken for its own (LOST, TWICE).
var _ = Describe("a connection whose answer is being checked", func() {
	const success = "HTTP/1.1 204 No Content\r\n\r\n"
	// post sends a request that can be sent again.
	post := func(ctx context.Context, t *Transport, target *recorder) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.address, strings.NewReader(""))
		Expect(err).NotTo(HaveOccurred())
		answer, err := t.RoundTrip(r)
		if err != nil {
			return err
		}
		return answer.Body.Close()
	}
	var (
		target            *recorder
		t                 *Transport
		checking, decided chan struct{}
		verdict           error
	)
	BeforeEach(func() {
		target = newRecorder(success, success, success)
		t = New()
		checking, decided = make(chan struct{}), make(chan struct{})
	})
	// begin sends a first request, whose answer is checked until decided is closed.
	begin := func(ctx context.Context) (first chan error) {
		checking, decided, verdict := checking, decided, verdict
		ctx = WithCheck(ctx, func(*http.Response) error {
			close(checking)
			<-decided
			return verdict
		})
		first = make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			first <- post(ctx, t, target)
		}()
		Eventually(checking).Should(BeClosed())
		Expect(target.heads).To(Receive())
		return first
	}
	// follow sends another request meanwhile.
	follow := func(ctx context.Context) (second chan error, history *History) {
		ctx, history = WithHistory(ctx)
		second = make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			second <- post(ctx, t, target)
		}()
		Eventually(func() bool { return history.Last().Reused }).Should(BeTrue())
		Consistently(target.heads, "50ms").ShouldNot(Receive(), "it is not written yet")
		return second, history
	}

	It("is used by the next request once the answer is accepted", func(ctx SpecContext) {
		verdict = nil
		first := begin(ctx)
		second, history := follow(ctx)
		close(decided)
		Eventually(first).Should(Receive(BeNil()))
		Eventually(second).Should(Receive(BeNil()))
		Expect(history.Last().Reused).To(BeTrue())
	})

	It("is not used by the next request if the answer is rejected", func(ctx SpecContext) {
		verdict = errors.New("another answer")
		first := begin(ctx)
		second, history := follow(ctx)
		close(decided)
		Eventually(first).Should(Receive(MatchError(verdict)))
		Eventually(second).Should(Receive(BeNil()))
		Expect(history.Last().Reused).To(BeFalse())
		Expect(target.heads).To(Receive())
		Expect(target.heads).NotTo(Receive())
	})

	It("is not used by the next request if an answer too many arrives meanwhile", func(ctx SpecContext) {
		verdict = nil
		first := begin(ctx)
		second, history := follow(ctx)
		_, err := io.WriteString(<-target.conns, success)
		Expect(err).NotTo(HaveOccurred())
		Eventually(second).Should(Receive(BeNil()))
		Expect(history.Last().Reused).To(BeFalse())
		Expect(target.heads).To(Receive())
		Expect(target.heads).NotTo(Receive())
		close(decided)
		Eventually(first).Should(Receive(BeNil()))
	})

	It("does not keep the next request if that is canceled", func(ctx SpecContext) {
		begin(ctx)
		canceled, cancel := context.WithCancel(ctx)
		second, _ := follow(canceled)
		cancel()
		var err error
		Eventually(second).Should(Receive(&err))
		Expect(notSent(err)).To(BeTrue())
		close(decided)
	})

	It("does not confirm the end of a request whose answer was rejected", func(ctx SpecContext) {
		verdict = errors.New("another answer")
		job, ending := WithEnding(ctx)
		first := begin(job)
		second, _ := follow(ctx)
		target.worksOn.Store(true)
		close(decided)
		Eventually(first).Should(Receive(MatchError(verdict)))
		Eventually(second).Should(Receive())
		Expect(target.heads).To(Receive())
		soon, cancel := context.WithTimeout(ctx, endGrace)
		defer cancel()
		Expect(ending.Await(soon)).To(Equal(Unconfirmed))
	})
})
