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

var _ = Describe("a budget", func() {
	It("allows a share of the requests, pool by pool", func() {
		b := NewBudget(clockwork.NewFakeClock())
		taken := 0
		for range 10_000 {
			b.RecordRequest("a")
			if b.Take("a") {
				taken++
			}
		}
		Expect(taken).To(BeNumerically("<=", burst+share*10_000))
		Expect(taken).To(BeNumerically(">=", share*10_000))
		Expect(b.Take("b")).To(BeTrue())
	})

	It("allows some retries each second without requests", func() {
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
		Expect(taken).To(Equal(int(minimumPerSecond)))
	})

	It("pauses longer after each failure, within bounds", func() {
		b := NewBudget(clockwork.NewFakeClock())
		for n := range 100 {
			Expect(b.Pause(n)).To(And(BeNumerically(">", 0), BeNumerically("<=", longestPause+time.Millisecond)))
		}
		Expect(b.Pause(1)).To(BeNumerically("<=", firstPause+time.Millisecond))
	})
})
