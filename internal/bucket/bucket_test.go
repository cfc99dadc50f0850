package bucket_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/bucket"
)

func TestBucket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bucket")
}

const (
	rate      = 100.0
	burst     = 200.0
	tolerance = 1e-6
)

type admission struct {
	at     time.Time
	tokens float64
}

var _ = Describe("a bucket", func() {
	var now time.Time
	var b *bucket.Bucket
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		b = newFullBucket(now)
	})

	It("does not refund tokens that would have overflowed before its fraction or burst grew", func() {
		b.SetFraction(0.5, now)
		c, ok := b.Take(burst/2, now)
		Expect(ok).To(BeTrue())
		later := now.Add(time.Minute)
		b.SetFraction(1, later)
		b.Settle(c, 0, later)
		Expect(b.Available(later)).To(BeNumerically("~", burst/2, tolerance))

		c, ok = b.Take(burst/2, later)
		Expect(ok).To(BeTrue())
		later = later.Add(time.Minute)
		b.SetRate(rate, 2*burst, later)
		b.Settle(c, 0, later)
		Expect(b.Available(later)).To(BeNumerically("~", burst, tolerance))
	})

	It("refunds unused tokens, but not those that would have overflowed", func() {
		c, ok := b.Take(burst, now)
		Expect(ok).To(BeTrue())
		later := now.Add(time.Second)
		b.Settle(c, 0, later)
		Expect(b.Available(later)).To(BeNumerically("~", burst, tolerance))

		c, _ = b.Take(burst, later)
		later = later.Add(2 * time.Second)
		again, ok := b.Take(burst, later)
		Expect(ok).To(BeTrue())
		b.Settle(c, 0, later)
		Expect(b.Available(later)).To(BeNumerically("~", 0, tolerance))
		b.Settle(again, 50, later)
		Expect(b.Available(later)).To(BeNumerically("~", 150, tolerance))
	})

	It("counts lent tokens against its capacity for a limited time, and drops expired borrowed ones", func() {
		Expect(b.Lend(80, now)).To(Equal(80.0))
		soon := now.Add(bucket.LoanLifetime)
		Expect(b.Available(soon)).To(BeNumerically("<=", 120+tolerance))
		b.Borrow(30, now.Add(bucket.LoanLifetime), now.Add(bucket.LoanLifetime/2))
		Expect(b.Borrowed(soon)).To(BeZero())
		Expect(b.Available(now.Add(10 * time.Second))).To(BeNumerically("~", burst, tolerance))
	})

	It("admits at most burst plus rate times length in any window, refunds included", func() {
		Expect(flag.Set("rapid.seed", "6")).To(Succeed())
		Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
		Expect(flag.Set("rapid.checks", "3000")).To(Succeed())
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			if excess := worstExcess(t); excess > tolerance {
				t.Fatalf("a window exceeds burst plus rate times length by %.3f tokens", excess)
			}
		})
	})
})

func newFullBucket(now time.Time) *bucket.Bucket {
	b := &bucket.Bucket{}
	b.SetRate(rate, burst, now)
	b.SetFraction(1, now)
	b.Merge(burst, 0, now)
	return b
}

// worstExcess takes and settles at random. It returns the largest number of
// tokens by which a window exceeds burst plus rate times its length.
func worstExcess(t *rapid.T) float64 {
	now := time.Unix(1000, 0)
	b := newFullBucket(now)
	var unsettled []bucket.Charge
	var indices []int
	var admissions []admission
	for range 200 {
		now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
		tokens := float64(rapid.IntRange(1, int(burst)).Draw(t, "tokens"))
		if c, ok := b.Take(tokens, now); ok {
			unsettled = append(unsettled, c)
			indices = append(indices, len(admissions))
			admissions = append(admissions, admission{now, tokens})
		}
		if i := rapid.IntRange(0, 2*len(unsettled)).Draw(t, "settle"); i < len(unsettled) {
			a := &admissions[indices[i]]
			a.tokens *= rapid.Float64Range(0, 1).Draw(t, "used")
			b.Settle(unsettled[i], a.tokens, now)
			unsettled = append(unsettled[:i], unsettled[i+1:]...)
			indices = append(indices[:i], indices[i+1:]...)
		}
	}
	worst, sum, last := 0.0, 0.0, time.Time{}
	for _, a := range admissions {
		sum = max(0, sum-rate*a.at.Sub(last).Seconds()) + a.tokens
		last = a.at
		worst = max(worst, sum-burst)
	}
	return worst
}
