package weightsdemand_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

func TestWeightsDemand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "weights demand")
}

var _ = Describe("a meter", func() {
	key := weightsdemand.Key{Pool: "p", Model: "m"}
	start := time.Unix(1000, 0)

	It("measures a steady demand", func() {
		m := weightsdemand.New()
		for i := range 200 {
			m.Asked(key, 1000, false, start.Add(time.Duration(i)*100*time.Millisecond))
		}
		level := m.Levels(start.Add(20 * time.Second))[key]
		Expect(level.TokensPerSecond).To(BeNumerically("~", 10_000, 1000))
	})

	It("forgets a demand that has ended", func() {
		m := weightsdemand.New()
		m.Asked(key, 1000, false, start)
		Expect(m.Levels(start.Add(time.Minute))).To(BeEmpty())
	})

	It("counts waiting requests for a while", func() {
		m := weightsdemand.New()
		m.Asked(key, 1000, true, start)
		Expect(m.Levels(start.Add(time.Second))[key].Waiting).To(Equal(1))
		Expect(m.Levels(start.Add(3 * time.Second))).To(BeEmpty())
	})
})
