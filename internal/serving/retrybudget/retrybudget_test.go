package retrybudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/retrybudget"
)

func TestRetryBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry budget")
}

var _ = Describe("a retry budget", func() {
	start := time.Unix(1000, 0)
	bound := retrybudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}

	take := func(b *retrybudget.Budget, vms int, now time.Time) int {
		n := 0
		for b.Take("pool", vms, now) {
			n++
		}
		return n
	}

	It("allows all VMs together no more than the slack without requests", func() {
		total := 0
		for range 6 {
			total += take(retrybudget.New(bound), 6, start)
		}
		Expect(total).To(And(BeNumerically("<=", 52), BeNumerically(">=", 12)))
	})

	It("allows retries in proportion to the requests, within the ratio", func() {
		b := retrybudget.New(bound)
		for range 1000 {
			b.RecordRequest("pool", start)
		}
		n := take(b, 6, start)
		Expect(n).To(And(BeNumerically(">=", 150), BeNumerically("<=", 200+52/6)))
	})

	It("drops counts that are older than the window", func() {
		b := retrybudget.New(bound)
		first := take(b, 1, start)
		Expect(take(b, 1, start.Add(5*time.Second))).To(BeZero())
		Expect(take(b, 1, start.Add(11*time.Second))).To(Equal(first))
		Expect(take(b, 1, start.Add(100*time.Second))).To(Equal(first))
	})

	It("counts each pool separately", func() {
		b := retrybudget.New(bound)
		take(b, 1, start)
		Expect(b.Take("other", 1, start)).To(BeTrue())
	})

	It("resets the counts when the bound is changed", func() {
		b := retrybudget.New(bound)
		take(b, 1, start)
		b.SetBound(retrybudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 4})
		Expect(take(b, 1, start)).To(Equal(2))
	})
})
