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

var _ = Describe("a permit", func() {
	start := time.Unix(1_000_000, 0)

	It("keeps to loads a second and loads at once", func() {
		p := New()
		p.SetLimits(1.5, 2, 1)
		begun := 0
		for i := range 600 {
			n := p.Available(start.Add(time.Duration(i)*100*time.Millisecond), 0)
			p.Take(n)
			begun += n
		}
		Expect(begun).To(BeNumerically("~", 90, 2))
		Expect(p.Available(start.Add(time.Hour), 2)).To(BeZero())
	})

	It("gives each shard its part", func() {
		p := New()
		p.SetLimits(0, 10, 5)
		Expect(p.Available(start, 0)).To(Equal(2))
	})
})
