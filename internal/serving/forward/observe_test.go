package forward_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/target"
)

var _ = Describe("a request, by what earlier answers have told,", func() {
	var (
		x      *fixture
		view   *fleetview.View
		sender *scriptedSender
	)
	BeforeEach(func() {
		x = newFixture()
		view, sender = x.view, x.sender
	})

	// restart begins new incarnations of the targets.
	restart := func(born int64) {
		for _, id := range []string{"p1", "p2", "p3"} {
			view.Set(&target.Target{ID: id, Born: born, Pool: "plain", Slots: 6, Address: netip.MustParseAddrPort("10.0.0.1:80")})
		}
		for _, id := range []string{"e1", "e2", "e3"} {
			view.Set(&target.Target{
				ID: id, Born: born, Pool: "engines", Slots: 64, Address: netip.MustParseAddrPort("10.0.0.2:80"),
				Weights: target.Weights{Models: []target.LoadedModel{{Model: "m"}}},
			})
		}
	}

	// Guards against requests of one kind that crash one engine after the other (BUDGET).
	It("is refused at once, and not repeated, when engines crash on a part of its prompt", func() {
		bodies := 0
		body := func() []byte { // no two requests are alike
			bodies++
			return fmt.Append(nil, bodies)
		}
		deadly := func(r *exchange.Request) {
			r.Body = body()
			r.Prefix = []exchange.PromptPart{{ID: "shared", Tokens: 10}, {ID: "deadly", Tokens: 10}, {ID: "own", Tokens: 10}}
		}
		sound := func(r *exchange.Request) {
			r.Body = body()
			r.Prefix = []exchange.PromptPart{{ID: "shared", Tokens: 10}, {ID: "own", Tokens: 10}}
		}
		for i := range 3 {
			sender.replies = []reply{{err: errReset}, {err: errReset}, {err: errReset}}
			_, _, err := x.serve("/draft/", deadly)
			Expect(err).To(HaveOccurred())
			if i < 2 {
				sender.replies = []reply{{status: http.StatusNotFound}}
				_, _, err = x.serve("/draft/", deadly)
				Expect(err).NotTo(HaveOccurred(), "an error answer does not clear the part")
			}
			restart(int64(i + 1))
			sender.replies = []reply{{status: http.StatusOK, body: "id: 1\n\n"}}
			_, _, err = x.serve("/draft/", sound)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(300 * time.Millisecond) // crashes that coincide count once
		}
		sent := len(sender.attempts)
		_, _, err := x.serve("/draft/", deadly)
		Expect(failure.From(err).Kind).To(Equal(failure.Quarantined))
		Expect(sender.attempts).To(HaveLen(sent))
		_, _, err = x.serve("/draft/", sound)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a request that crashes one target after the other (BUDGET), and against
	// refusals of others beside it (LOST).
	DescribeTable("is refused at once, and not repeated, when targets crash on it", func(path string, replies []reply) {
		deadly := func(r *exchange.Request) { r.Body = []byte("deadly") }
		for range 3 {
			sender.replies = replies
			_, _, err := x.serve(path, deadly)
			Expect(err).To(HaveOccurred())
			restart(time.Now().UnixNano())
			sender.replies = []reply{{status: http.StatusOK, body: "id: 1\n\n"}}
			_, _, err = x.serve(path)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(300 * time.Millisecond) // crashes that coincide count once
		}
		sent := len(sender.attempts)
		for range 3 {
			_, _, err := x.serve(path, deadly)
			Expect(failure.From(err).Kind).To(Equal(failure.Quarantined))
			Expect(failure.From(err).RetryAfter).To(BeNumerically(">", time.Second))
		}
		Expect(sender.attempts).To(HaveLen(sent))
		sender.replies = []reply{{status: http.StatusOK, body: "id: 1\n\n"}, {status: http.StatusOK, body: "id: 1\n\n"}}
		for _, sound := range []func(*exchange.Request){
			func(r *exchange.Request) { r.Body = []byte("sound") },
			func(r *exchange.Request) { r.Body, r.URI = []byte("deadly"), path+"?other" },
		} {
			_, _, err := x.serve(path, sound)
			Expect(err).NotTo(HaveOccurred())
		}
	},
		Entry("a lookup", "/look/", []reply{{err: errReset}, {err: errReset}}),
		Entry("a purchase", "/buy/", []reply{{err: errReset}}),
		Entry("a stream", "/draft/", []reply{{status: http.StatusOK, breaks: true}, {status: http.StatusOK, breaks: true}, {status: http.StatusOK, breaks: true}}),
	)

	// Guards against refusals of requests whose targets have repeated other answers (LOST).
	It("is not refused after answers to other requests", func() {
		for range 4 {
			sender.replies = []reply{{err: exchange.ErrOtherAnswer}, {err: exchange.ErrOtherAnswer}}
			_, _, err := x.serve("/look/")
			Expect(failure.From(err).Kind).To(Equal(failure.OutcomeUnknown))
			restart(time.Now().UnixNano())     // so that further targets answer
			time.Sleep(300 * time.Millisecond) // crashes that coincide count once
		}
	})

	// Guards against taking engines that are lost together for ones that crash on a part of
	// prompts (LOST), and the other way round (BUDGET).
	DescribeTable("is refused after crashes that come together", func(events string, refused bool) {
		request := func(r *exchange.Request) {
			r.Prefix = []exchange.PromptPart{{ID: "part", Tokens: 10}, {ID: "own", Tokens: 10}}
		}
		for i := range 3 {
			sender.replies = []reply{{status: 200, body: events, breaks: true}}
			_, _, _ = x.serve("/once/", request) // the break is what it is about
			restart(int64(2 + i))
		}
		time.Sleep(2200 * time.Millisecond) // until each crash counts by itself
		_, _, err := x.serve("/once/", request)
		if !refused {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(failure.From(err).Kind).To(Equal(failure.Quarantined))
	},
		Entry("if engines never begin to answer", "id: 1\nda", true),
		Entry("not if engines had begun to answer", "id: 1\ndata: x\n\n", false),
	)

	// Guards against requests for targets that have said in an answer that they leave (DRAIN).
	It("is not sent to a target that has answered that it leaves, until its next incarnation", func() {
		sender.replies = []reply{{status: 200, body: "1", leaving: true}}
		_, _, err := x.serve("/look/1")
		Expect(err).NotTo(HaveOccurred())
		left := sender.attempts[0].Target
		older := *left
		view.Remove(left.ID)
		view.Set(&older) // an older row of the store
		for range 60 {
			_, _, err := x.serve("/look/1")
			Expect(err).NotTo(HaveOccurred())
		}
		for _, a := range sender.attempts[1:] {
			Expect(a.Target.ID).NotTo(Equal(left.ID))
		}
		next := *left
		next.Born++
		view.Set(&next)
		Eventually(func() string {
			_, _, err := x.serve("/look/1")
			Expect(err).NotTo(HaveOccurred())
			return sender.attempts[len(sender.attempts)-1].Target.ID
		}).Should(Equal(left.ID))
	})

	// Guards against requests for targets that have asked for distance (BUDGET).
	It("is refused at once with the earliest return while all targets want no requests", func() {
		for _, d := range []time.Duration{20 * time.Second, 10 * time.Second, 30 * time.Second} {
			sender.replies = append(sender.replies, reply{status: 503, notRun: true, distance: d})
		}
		_, _, err := x.serve("/look/1")
		Expect(failure.From(err).Kind).To(Equal(failure.NoReplica))
		Expect(sender.attempts).To(HaveLen(3))
		for range 20 {
			began := time.Now()
			_, _, err = x.serve("/look/1")
			Expect(failure.From(err).RetryAfter).To(BeNumerically("~", 11*time.Second, 1100*time.Millisecond))
			Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		}
		Expect(sender.attempts).To(HaveLen(3))
	})

	It("is sent to a target again after the time for which it wanted no requests", func() {
		for range 3 {
			sender.replies = append(sender.replies, reply{status: 503, notRun: true, distance: 100 * time.Millisecond})
		}
		_, _, err := x.serve("/look/1")
		Expect(err).To(HaveOccurred())
		time.Sleep(150 * time.Millisecond)
		_, _, err = x.serve("/look/1")
		Expect(err).NotTo(HaveOccurred())
	})
})
