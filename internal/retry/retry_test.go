package retry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var _ = Describe("Budget", func() {
	It("limits the retries of each pool to a fraction of its requests", func() {
		b := NewBudget(clockwork.NewFakeClock())
		taken := 0
		for range 10_000 {
			b.RecordRequest("a")
			if b.Take("a") {
				taken++
			}
		}
		Expect(taken).To(BeNumerically("<=", burst+retryRatio*10_000))
		Expect(taken).To(BeNumerically(">=", retryRatio*10_000))
		Expect(b.Take("b")).To(BeTrue())
	})

	It("refills at a minimum rate without requests", func() {
		clock := clockwork.NewFakeClock()
		b := NewBudget(clock)
		for b.Take("a") {
			continue
		}
		clock.Advance(time.Second)
		taken := 0
		for b.Take("a") {
			taken++
		}
		Expect(taken).To(Equal(int(minRetriesPerSecond)))
	})

	It("returns positive backoffs up to the maximum", func() {
		b := NewBudget(clockwork.NewFakeClock())
		for n := range 100 {
			Expect(b.Backoff(n)).To(And(BeNumerically(">", 0), BeNumerically("<=", maxBackoff+time.Millisecond)))
		}
		Expect(b.Backoff(1)).To(BeNumerically("<=", firstBackoff+time.Millisecond))
	})
})
