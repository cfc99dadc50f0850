package buffermemory_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/serving/buffermemory"
)

func TestBufferMemory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "buffermemory")
}

var _ = Describe("a budget", func() {
	It("is never exceeded, and a refused reservation takes nothing", func() {
		b := buffermemory.New(100)
		Expect(b.Reserve(60)).To(BeTrue())
		Expect(b.Reserve(50)).To(BeFalse())
		Expect(b.Used()).To(Equal(int64(60)))
		Expect(b.Reserve(40)).To(BeTrue())
		b.Release(100)
		Expect(b.Used()).To(BeZero())
		Expect(b.Limit()).To(Equal(int64(100)))
	})

	It("holds with many users at a time", func() {
		b := buffermemory.New(100)
		var wg conc.WaitGroup
		for range 50 {
			wg.Go(func() {
				for range 1000 {
					if b.Reserve(30) {
						b.Release(30)
					}
				}
			})
		}
		wg.Wait()
		Expect(b.Used()).To(BeZero())
	})
})
