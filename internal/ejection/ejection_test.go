package ejection

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEjection(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ejection")
}

var _ = Describe("Ejection", func() {
	It("ejects after consecutive failures, probes with one request, and resets on success", func() {
		clock := clockwork.NewFakeClock()
		e := New(clock)
		for range failuresToEject - 1 {
			Expect(e.Failed("a")).To(BeFalse())
		}
		Expect(e.Ejected("a")).To(BeFalse())
		Expect(e.Failed("a")).To(BeTrue())
		Expect(e.Ejected("a")).To(BeTrue())
		Expect(e.All()).To(ConsistOf("a"))

		clock.Advance(firstEjection)
		Expect(e.Ejected("a")).To(BeFalse())
		e.Begin("a")
		Expect(e.Ejected("a")).To(BeTrue())

		Expect(e.Failed("a")).To(BeTrue())
		clock.Advance(firstEjection)
		Expect(e.Ejected("a")).To(BeTrue())
		clock.Advance(maxEjection)
		e.Begin("a")
		e.Succeeded("a")
		Expect(e.Ejected("a")).To(BeFalse())
		Expect(e.Failed("a")).To(BeFalse())
	})

	It("allows another probe after an abandoned one", func() {
		clock := clockwork.NewFakeClock()
		e := New(clock)
		for range failuresToEject {
			e.Failed("a")
		}
		clock.Advance(time.Minute)
		e.Begin("a")
		e.Abandoned("a")
		Expect(e.Ejected("a")).To(BeFalse())
	})
})
