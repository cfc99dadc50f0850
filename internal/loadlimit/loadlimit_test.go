package loadlimit

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoadLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadlimit")
}

var _ = Describe("Limiter", func() {
	start := time.Unix(1_000_000, 0)

	It("limits the loads per second and the concurrent loads", func() {
		limiter := New()
		limiter.SetLimits(1.5, 2, 1)
		started := 0
		for i := range 600 {
			n := limiter.Available(start.Add(time.Duration(i)*100*time.Millisecond), 0)
			limiter.Take(n)
			started += n
		}
		Expect(started).To(BeNumerically("~", 90, 2))
		Expect(limiter.Available(start.Add(time.Hour), 2)).To(BeZero())
	})

	It("divides the limit among the shards", func() {
		limiter := New()
		limiter.SetLimits(0, 10, 5)
		Expect(limiter.Available(start, 0)).To(Equal(2))
	})
})
