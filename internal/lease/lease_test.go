package lease

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/standin/tablestore"
	"fireflypier.example/fireflypier/internal/table"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// lostCommits fails each commit with OutcomeUnknown without applying it.
type lostCommits struct{ table.Table }

// Commit implements table.Table.
func (lostCommits) Commit(context.Context, table.Tx) (int64, error) {
	return 0, failure.New(failure.OutcomeUnknown, "lost")
}

var _ = Describe("Lease", func() {
	ctx := context.Background()
	start := time.Unix(1_000_000, 0)
	var store *tablestore.Store
	var first, second *Lease
	step := func(l *Lease, after time.Duration, rank int) bool {
		held, err := l.AcquireOrRenew(ctx, start.Add(after), rank)
		Expect(err).NotTo(HaveOccurred())
		return held
	}
	BeforeEach(func() {
		store = tablestore.New()
		first, second = New(store, "shard", "first"), New(store, "shard", "second")
		Expect(step(first, 0, 0)).To(BeTrue())
	})

	It("stays with the holder while it is renewed", func() {
		for i := range 10 {
			at := time.Duration(i) * time.Second
			Expect(step(first, at, 0)).To(BeTrue())
			Expect(step(second, at, 1)).To(BeFalse())
		}
	})

	It("passes to another process within five seconds, and a holder that resumes loses it", func() {
		Expect(step(second, time.Second, 1)).To(BeFalse())
		Expect(step(second, 3*time.Second, 1)).To(BeFalse())
		Expect(step(second, 5*time.Second, 1)).To(BeTrue())
		Expect(step(first, 6*time.Second, 0)).To(BeFalse())
		Expect(step(first, 6*time.Second, 0)).To(BeFalse())
		Expect(step(second, 6*time.Second, 1)).To(BeTrue())
	})

	It("stays with the successor when the renewal of the former holder is lost", func() {
		Expect(step(second, time.Second, 1)).To(BeFalse())
		Expect(step(second, 5*time.Second, 1)).To(BeTrue())
		first.table = lostCommits{store}
		Expect(step(first, 6*time.Second, 0)).To(BeFalse())
		Expect(step(first, 6*time.Second, 0)).To(BeFalse())
		Expect(step(second, 6*time.Second, 1)).To(BeTrue())
	})

	It("can be acquired immediately after a release", func() {
		Expect(step(second, time.Second, 0)).To(BeFalse())
		Expect(first.Release(ctx)).To(Succeed())
		Expect(step(second, 2*time.Second, 0)).To(BeTrue())
	})

	It("stays with the holder while the store is unavailable or an answer is lost", func() {
		store.SetFault(tablestore.Fault{Outage: true})
		held, err := first.AcquireOrRenew(ctx, start.Add(time.Minute), 0)
		Expect(err).To(HaveOccurred())
		Expect(held).To(BeTrue())
		store.SetFault(tablestore.Fault{LoseAnswers: 1})
		Expect(step(first, time.Minute, 0)).To(BeTrue())
		Expect(step(first, time.Minute+time.Second, 0)).To(BeTrue())
	})
})
