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
	// addDemand adds work at a constant rate for a duration and returns its end.
	addDemand := func(d *Estimator, from time.Time, perSecond float64, duration time.Duration) time.Time {
		end := from.Add(duration)
		for at := from; at.Before(end); at = at.Add(2 * time.Second) {
			d.Add("g", "m", 2*perSecond, 0, at)
		}
		return end
	}

	It("follows a tenfold rise within two minutes and a tenfold fall within an hour", func() {
		d := New()
		at := addDemand(d, start, 100, time.Hour)
		Expect(d.Levels(at)["m"].TokensPerSecond).To(BeNumerically("~", 100, 5))
		at = addDemand(d, at, 1000, 2*time.Minute)
		Expect(d.Levels(at)["m"].TokensPerSecond).To(BeNumerically(">", 900))
		at = addDemand(d, at, 100, 40*time.Minute)
		Expect(d.Levels(at)["m"].TokensPerSecond).To(BeNumerically("<", 130))
	})

	It("drops the waiting requests of a gateway that no longer reports", func() {
		d := New()
		d.Add("g", "m", 0, 3, start)
		d.Add("h", "m", 0, 1, start)
		Expect(d.Levels(start)["m"].Waiting).To(Equal(4))
		d.Add("h", "m", 0, 0, start)
		Expect(d.Levels(start)["m"].Waiting).To(Equal(3))
		Expect(d.Levels(start.Add(time.Minute))).To(BeEmpty())
	})
})
