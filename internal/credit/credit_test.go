package credit_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/credit"
)

func init() { _ = flag.Set("rapid.seed", "5") }

func TestCredit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "credit")
}

var _ = Describe("the allocator", func() {
	It("hands out the capacity max-min fairly and respects the minimum share", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := credit.Allocator{
				Capacity: int64(rapid.IntRange(0, 100_000).Draw(t, "capacity")),
				MinShare: int64(rapid.IntRange(0, 500).Draw(t, "minimum share")),
			}
			demands := make([]int64, rapid.IntRange(1, 300).Draw(t, "gateways"))
			for i := range demands {
				demands[i] = int64(rapid.IntRange(0, 5000).Draw(t, "demand"))
			}
			shares := make([]int64, len(demands))
			a.Allocate(demands, shares)
			sum := int64(0)
			for i, share := range shares {
				sum += share
				if share < a.MinShare {
					t.Fatalf("gateway %d has %d, below the minimum share", i, share)
				}
				for j, other := range shares {
					if share < demands[i] && other > share+1 && other > a.MinShare {
						t.Fatalf("gateway %d lacks %d while gateway %d has %d", i, demands[i]-share, j, other)
					}
				}
			}
			if n := int64(len(demands)); sum > max(a.Capacity, a.MinShare*n) {
				t.Fatalf("the shares sum to %d", sum)
			} else if sum+n <= a.Capacity {
				t.Fatalf("%d of %d tokens are not allocated", a.Capacity-sum, a.Capacity)
			}
		})
	})
})
