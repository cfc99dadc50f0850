package cacheview_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fireflypier.example/fireflypier/internal/cacheview"
	"fireflypier.example/fireflypier/internal/prefix"
)

func init() { _ = flag.Set("rapid.seed", "5") }

func TestCacheview(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cacheview")
}

var _ = Describe("Cache", func() {
	It("confirms only blocks that the engine holds, with lost, repeated and expected events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := rapid.IntRange(2, 30).Draw(t, "limit")
			view := cacheview.New(limit)
			held := map[uint64]bool{}
			for sequence := range int64(rapid.IntRange(1, 60).Draw(t, "events")) {
				h := uint64(rapid.IntRange(1, 20).Draw(t, "block"))
				var added, removed []uint64
				if held[h] {
					removed = []uint64{h}
					delete(held, h)
				} else {
					added = []uint64{h}
					held[h] = true
				}
				switch rapid.IntRange(0, 4).Draw(t, "delivery") {
				case 0:
					continue
				case 1:
					view.Apply(sequence+1, added, removed)
				case 2:
					view.AddExpected(prefix.Hashes{uint64(rapid.IntRange(1, 20).Draw(t, "expected"))}, 0)
				}
				view.Apply(sequence+1, added, removed)
				for block := range uint64(21) {
					if block == 0 {
						continue
					}
					if _, confirmed := view.Match(prefix.Hashes{block}); confirmed > 0 && !held[block] {
						t.Fatalf("block %d is confirmed, but the engine has removed it", block)
					}
				}
				if view.Len() > limit {
					t.Fatalf("the view holds %d blocks; the limit is %d", view.Len(), limit)
				}
			}
		})
	})

	It("is unconfirmed after a gap and empty after a restart", func() {
		view := cacheview.New(10)
		view.SetBoot("one")
		view.Apply(1, []uint64{1, 2}, nil)
		blocks, confirmed := view.Match(prefix.Hashes{1, 2, 3})
		Expect([]int{blocks, confirmed}).To(Equal([]int{2, 2}))
		view.Apply(3, []uint64{3}, nil)
		blocks, confirmed = view.Match(prefix.Hashes{1, 2, 3})
		Expect([]int{blocks, confirmed}).To(Equal([]int{3, 0}))
		view.SetBoot("two")
		Expect(view.Len()).To(BeZero())
	})
})
