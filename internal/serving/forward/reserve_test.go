package forward_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/target"
)

var _ = Describe("a request for targets with limits", func() {
	var x *fixture
	limit := target.Limit{Named: true, PerSecond: 2}

	BeforeEach(func() {
		x = newFixture()
		x.view.Remove("p3")
		x.sender.replies = []reply{{status: 200, body: "1", limit: limit}}
		_, _, err := x.serve("/look/1")
		Expect(err).NotTo(HaveOccurred())
		told := x.sender.attempts[0].Target
		Expect(x.view.Limit(told.ID, told.Born)).To(Equal(limit))
		for _, id := range []string{"p1", "p2"} {
			x.view.SetLimit(id, 0, limit, time.Now(), time.Now())
		}
		x.sender.attempts = nil
	})

	// Guards against requests beyond the limit that a target has named (LIMIT).
	It("is refused at once with the time of the earliest call if no lender has one in time", func() {
		asked := 0
		x.reserve = func(_ *target.Target, l target.Limit, maxWait time.Duration) (time.Duration, bool, error) {
			asked++
			Expect(l).To(Equal(limit))
			return maxWait + time.Second, false, nil
		}
		for range 5 {
			began := time.Now()
			_, _, err := x.serve("/look/1")
			Expect(failure.From(err).Kind).To(Equal(failure.NoReplica))
			Expect(failure.From(err).RetryAfter).To(BeNumerically("~", time.Second, 300*time.Millisecond))
			Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		}
		Expect(x.sender.attempts).To(BeEmpty())
		Expect(asked).To(Equal(2), "the lender of each target is asked once in this time")
	})

	It("waits for the time of its call", func() {
		const wait = 60 * time.Millisecond
		x.reserve = func(*target.Target, target.Limit, time.Duration) (time.Duration, bool, error) { return wait, true, nil }
		began := time.Now()
		_, _, err := x.serve("/look/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically(">=", wait))
		Expect(x.sender.attempts).To(HaveLen(1))
	})

	It("is not sent to a target that has drained while it waited", func() {
		var reserved []string
		x.reserve = func(t *target.Target, _ target.Limit, _ time.Duration) (time.Duration, bool, error) {
			reserved = append(reserved, t.ID)
			if len(reserved) > 1 {
				return 0, true, nil
			}
			x.view.SetLeaving(t.ID, t.Born, time.Now())
			return 20 * time.Millisecond, true, nil
		}
		_, _, err := x.serve("/look/1")
		Expect(err).NotTo(HaveOccurred())
		Expect(x.sender.attempts).To(HaveLen(1))
		Expect(x.sender.attempts[0].Target.ID).NotTo(Equal(reserved[0]))
	})

	It("counts once as unmet demand if it has waited for weights that come to an engine with its limit used up", func() {
		x.view.SetLimit("e3", 0, limit, time.Now(), time.Now())
		x.view.SetInventory("e3", 0, nil, []target.ComingModel{{Model: "new", Remaining: 100 * time.Millisecond}}, time.Now())
		go func() {
			defer GinkgoRecover()
			time.Sleep(50 * time.Millisecond)
			x.view.SetNextCall("e3", 0, time.Now().Add(10*time.Second))
			x.view.SetInventory("e3", 0, []target.LoadedModel{{Model: "new"}}, nil, time.Now())
		}()
		_, _, err := x.serve("/draft/1", func(r *exchange.Request) { r.Model = "new" })
		Expect(failure.From(err).Kind).To(Equal(failure.NoReplica))
		Expect(x.placer.waiting).To(Equal(1))
	})

	It("shows operators the targets that want no requests, and the requests refused for it", func() {
		now := time.Now()
		for _, id := range []string{"p1", "p2"} {
			x.view.SetDistance(id, 0, 5*time.Second, now)
		}
		_, _, err := x.serve("/look/1")
		Expect(failure.From(err).Kind).To(Equal(failure.NoReplica))
		Expect(x.metric("fireflypier_serving_rejections_total", "targets_want_none")).To(Equal(1.0))
		Expect(x.metric("fireflypier_serving_marked_targets", "distance")).To(Equal(2.0))
		Expect(x.metric("fireflypier_serving_marked_targets", "limit")).To(Equal(2.0))
		Expect(x.metric("fireflypier_serving_marked_targets", "leaving")).To(BeZero())
	})

	It("is sent to a target without a limit if lenders do not answer", func() {
		x.view.Set(&target.Target{ID: "p3", Pool: "plain", Slots: 6})
		x.reserve = func(*target.Target, target.Limit, time.Duration) (time.Duration, bool, error) {
			return 0, false, errReset
		}
		for range 20 {
			_, _, err := x.serve("/look/1")
			Expect(err).NotTo(HaveOccurred())
		}
		for _, a := range x.sender.attempts {
			Expect(a.Target.ID).To(Equal("p3"))
		}
	})
})
