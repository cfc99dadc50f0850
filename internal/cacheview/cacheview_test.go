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

var _ = Describe("the view of a prefix cache", func() {
	It("is certain only of blocks that the engine holds, whatever is lost, late or repeated", func() {
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
				switch rapid.IntRange(0, 4).Draw(t, "fate") {
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
					if _, certain := view.Match(prefix.Hashes{block}); certain > 0 && !held[block] {
						t.Fatalf("the view is certain of block %d, which is gone", block)
					}
				}
				if view.Len() > limit {
					t.Fatalf("%d blocks are kept, the limit is %d", view.Len(), limit)
				}
			}
		})
	})

	It("turns into guesses at a gap and is empty after a restart", func() {
		view := cacheview.New(10)
		view.SetBoot("one")
		view.Apply(1, []uint64{1, 2}, nil)
		blocks, certain := view.Match(prefix.Hashes{1, 2, 3})
		Expect([]int{blocks, certain}).To(Equal([]int{2, 2}))
		view.Apply(3, []uint64{3}, nil)
		blocks, certain = view.Match(prefix.Hashes{1, 2, 3})
		Expect([]int{blocks, certain}).To(Equal([]int{3, 0}))
		view.SetBoot("two")
		Expect(view.Len()).To(BeZero())
	})
})
