package processmemory_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/processmemory"
)

// Guards against processes with a small limit that exceed it by the pages of the program.
func TestHeap(t *testing.T) {
	for limit, heap := range map[processmemory.Limit]int64{
		0:         0,
		144 << 20: 126 << 20,
		40 << 20:  22 << 20,
		24 << 20:  6 << 20,
		16 << 20:  4 << 20,
	} {
		g := NewWithT(t)
		g.Expect(limit.Heap()).To(Equal(heap))
		g.Expect(limit.Share(0.5)).To(Equal(heap / 2))
	}
}
