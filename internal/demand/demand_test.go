package demand

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDemand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demand")
}

var _ = Describe("the demand estimate", func() {
	start := time.Unix(1_000_000, 0)
	// feed adds work at a rate for a time and returns its end.
	feed := func(d *Estimator, from time.Time, perSecond float64, length time.Duration) time.Time {
		end := from.Add(length)
		for at := from; at.Before(end); at = at.Add(2 * time.Second) {
			d.Add("g", "m", 2*perSecond, 0, at)
		}
		return end
	}

	It("follows a rush within two minutes and a tenfold fall within the hour", func() {
		d := New()
		at := feed(d, start, 100, time.Hour)
		Expect(d.Levels(at)["m"].TokensPerSecond).To(BeNumerically("~", 100, 5))
		at = feed(d, at, 1000, 2*time.Minute)
		Expect(d.Levels(at)["m"].TokensPerSecond).To(BeNumerically(">", 900))
		at = feed(d, at, 100, 40*time.Minute)
		Expect(d.Levels(at)["m"].TokensPerSecond).To(BeNumerically("<", 130))
	})

	It("forgets waiting requests of a gateway that is gone", func() {
		d := New()
		d.Add("g", "m", 0, 3, start)
		d.Add("h", "m", 0, 1, start)
		Expect(d.Levels(start)["m"].Waiting).To(Equal(4))
		d.Add("h", "m", 0, 0, start)
		Expect(d.Levels(start)["m"].Waiting).To(Equal(3))
		Expect(d.Levels(start.Add(time.Minute))).To(BeEmpty())
	})
})
