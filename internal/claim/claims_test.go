package claim

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/recording"
	"fireflypier.example/fireflypier/internal/standin/tablestore"
	"fireflypier.example/fireflypier/internal/table"
)

func newClaims(t table.Table, clock clockwork.Clock, name string, opts ...Option) *Claims {
	return New(t, Holder{Name: name, Incarnation: name + "-1"}, clock, hclog.NewNullLogger(), opts...)
}

func requestWithID(id string) *Request {
	return &Request{Customer: "circle", ID: id, Digest: "d", Hold: time.Minute}
}

// slowTable delays each commit, like a service over a network.
type slowTable struct {
	*tablestore.Store
	delay time.Duration
}

func (t *slowTable) Commit(ctx context.Context, tx table.Tx) (int64, error) {
	time.Sleep(t.delay)
	return t.Store.Commit(ctx, tx)
}

// gatedTable blocks commits until open is closed.
type gatedTable struct {
	*tablestore.Store
	open chan struct{}
}

func (t *gatedTable) Commit(ctx context.Context, tx table.Tx) (int64, error) {
	<-t.open
	return t.Store.Commit(ctx, tx)
}

var _ = Describe("claims", func() {
	ctx := context.Background()

	It("batches claims into few transactions, and a conflict fails one claim only", func() {
		store := &slowTable{Store: tablestore.New(), delay: 5 * time.Millisecond}
		first := newClaims(store, clockwork.NewRealClock(), "first")
		claim, _, err := first.Claim(ctx, requestWithID("100"))
		Expect(err).NotTo(HaveOccurred())
		claim.Answered(ctx, &recording.Answer{Status: 201})
		before := store.Counts().Commits

		second := newClaims(store, clockwork.NewRealClock(), "second")
		var wg conc.WaitGroup
		claimed := make(chan string, 200)
		for i := range 200 {
			wg.Go(func() {
				id := fmt.Sprint(i)
				claim, recorded, err := second.Claim(ctx, requestWithID(id))
				if err == nil && recorded == nil && claim != nil {
					claimed <- id
				}
			})
		}
		wg.Wait()
		Expect(claimed).To(HaveLen(199))
		Expect(store.Counts().Commits - before).To(BeNumerically("<", 40))
	})

	It("rejects a dispatch after the dispatch window", func() {
		clock := clockwork.NewFakeClock()
		c := newClaims(tablestore.New(), clock, "gateway", WithDispatchWindow(time.Second), WithWritesPerSecond(math.Inf(1)))
		claim, _, err := c.Claim(ctx, requestWithID("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(claim.Check()).To(Succeed())
		clock.Advance(2 * time.Second)
		Expect(failure.Is(claim.Check(), failure.DeadlineExceeded)).To(BeTrue())
	})

	It("fails a repeat with OutcomeUnknown when the holder has ended", func() {
		store := tablestore.New()
		_, _, err := newClaims(store, clockwork.NewRealClock(), "dead").Claim(ctx, requestWithID("1"))
		Expect(err).NotTo(HaveOccurred())
		hasEnded := WithMembers(func(h Holder) bool { return h.Name == "dead" }, func() int { return 1 })
		_, _, err = newClaims(store, clockwork.NewRealClock(), "other", hasEnded).Claim(ctx, requestWithID("1"))
		Expect(failure.Is(err, failure.OutcomeUnknown)).To(BeTrue())
	})

	It("removes a row whose claim was canceled during the insertion", func() {
		store := &gatedTable{Store: tablestore.New(), open: make(chan struct{})}
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		c := newClaims(store, clockwork.NewRealClock(), "gateway")
		_, _, err := c.Claim(canceled, requestWithID("1"))
		Expect(err).To(HaveOccurred())
		close(store.open)
		c.writers.Wait()
		Expect(store.Scan(ctx, RowPrefix)).To(BeEmpty())
		claim, _, err := c.Claim(ctx, requestWithID("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).NotTo(BeNil())
	})

	It("sweeps only rows older than the retention", func() {
		store := tablestore.New()
		clock := clockwork.NewFakeClock()
		c := newClaims(store, clock, "gateway", WithRetention(time.Hour), WithWritesPerSecond(math.Inf(1)))
		for i := range 50 {
			if i == 25 {
				clock.Advance(2 * time.Hour)
			}
			_, _, err := c.Claim(ctx, requestWithID(fmt.Sprint(i)))
			Expect(err).NotTo(HaveOccurred())
		}
		for bucket := range buckets {
			Expect(c.sweep(ctx, bucket)).To(Succeed())
		}
		Expect(store.Scan(ctx, RowPrefix)).To(HaveLen(25))
	})
})

// BenchmarkClaims claims and records requests at 7 gateways with a store that
// takes 2 ms per transaction, 256 concurrent requests, and 50 transactions per
// second at each gateway. The baseline writes one row per transaction.
func BenchmarkClaims(b *testing.B) {
	const gateways = 7
	for name, maxWrites := range map[string]int{"grouped": maxBatchWrites, "baseline": 1} {
		b.Run(name, func(b *testing.B) {
			store := &slowTable{Store: tablestore.New(), delay: 2 * time.Millisecond}
			claims := make([]*Claims, gateways)
			for i := range claims {
				claims[i] = newClaims(store, clockwork.NewRealClock(), fmt.Sprint(i))
				claims[i].batcher.maxWrites = maxWrites
			}
			b.ResetTimer()
			claimAll(b, claims)
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(b.N)/seconds, "requests/s")
			b.ReportMetric(float64(store.Counts().Commits)/seconds, "transactions/s")
		})
	}
}

// claimAll claims b.N requests and records an answer to each.
func claimAll(b *testing.B, claims []*Claims) {
	const concurrency = 256
	next := make(chan int)
	var wg conc.WaitGroup
	for worker := range concurrency {
		wg.Go(func() {
			for i := range next {
				claim, _, err := claims[worker%len(claims)].Claim(context.Background(), requestWithID(fmt.Sprint(b.N, "-", i)))
				if err != nil {
					b.Error(err)
					continue
				}
				claim.Answered(context.Background(), &recording.Answer{Status: 200, Body: []byte("ok")})
			}
		})
	}
	for i := range b.N {
		next <- i
	}
	close(next)
	wg.Wait()
}
