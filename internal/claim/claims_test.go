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

func named(id string) *Request {
	return &Request{Customer: "circle", ID: id, Digest: "d", Hold: time.Minute}
}

// slowTable takes a while for each commit, as a service over a network does.
type slowTable struct {
	*tablestore.Store
	delay time.Duration
}

func (t *slowTable) Commit(ctx context.Context, tx table.Tx) (int64, error) {
	time.Sleep(t.delay)
	return t.Store.Commit(ctx, tx)
}

// gatedTable holds commits back until it is opened.
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

	It("writes many claims in few transactions, and one conflict fails one claim", func() {
		store := &slowTable{Store: tablestore.New(), delay: 5 * time.Millisecond}
		first := newClaims(store, clockwork.NewRealClock(), "first")
		held, _, err := first.Claim(ctx, named("100"))
		Expect(err).NotTo(HaveOccurred())
		held.Answered(ctx, &recording.Answer{Status: 201})
		before := store.Counts().Commits

		second := newClaims(store, clockwork.NewRealClock(), "second")
		var wg conc.WaitGroup
		won := make(chan string, 200)
		for i := range 200 {
			wg.Go(func() {
				id := fmt.Sprint(i)
				held, recorded, err := second.Claim(ctx, named(id))
				if err == nil && recorded == nil && held != nil {
					won <- id
				}
			})
		}
		wg.Wait()
		Expect(won).To(HaveLen(199))
		Expect(store.Counts().Commits - before).To(BeNumerically("<", 40))
	})

	It("refuses to dispatch after the window", func() {
		clock := clockwork.NewFakeClock()
		c := newClaims(tablestore.New(), clock, "gateway", WithDispatchWindow(time.Second), WithWritesPerSecond(math.Inf(1)))
		held, _, err := c.Claim(ctx, named("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(held.Check()).To(Succeed())
		clock.Advance(2 * time.Second)
		Expect(failure.Is(held.Check(), failure.DeadlineExceeded)).To(BeTrue())
	})

	It("tells a repeat that the outcome is unknown once the holder has ended", func() {
		store := tablestore.New()
		_, _, err := newClaims(store, clockwork.NewRealClock(), "dead").Claim(ctx, named("1"))
		Expect(err).NotTo(HaveOccurred())
		gone := WithMembers(func(h Holder) bool { return h.Name == "dead" }, func() int { return 1 })
		_, _, err = newClaims(store, clockwork.NewRealClock(), "other", gone).Claim(ctx, named("1"))
		Expect(failure.Is(err, failure.OutcomeUnknown)).To(BeTrue())
	})

	It("removes a row whose insertion was given up", func() {
		store := &gatedTable{Store: tablestore.New(), open: make(chan struct{})}
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		c := newClaims(store, clockwork.NewRealClock(), "gateway")
		_, _, err := c.Claim(canceled, named("1"))
		Expect(err).To(HaveOccurred())
		close(store.open)
		c.writers.Wait()
		Expect(store.Scan(ctx, RowPrefix)).To(BeEmpty())
		held, _, err := c.Claim(ctx, named("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(held).NotTo(BeNil())
	})

	It("sweeps rows after the retention, and no others", func() {
		store := tablestore.New()
		clock := clockwork.NewFakeClock()
		c := newClaims(store, clock, "gateway", WithRetention(time.Hour), WithWritesPerSecond(math.Inf(1)))
		for i := range 50 {
			if i == 25 {
				clock.Advance(2 * time.Hour)
			}
			_, _, err := c.Claim(ctx, named(fmt.Sprint(i)))
			Expect(err).NotTo(HaveOccurred())
		}
		for bucket := range buckets {
			Expect(c.sweep(ctx, bucket)).To(Succeed())
		}
		Expect(store.Scan(ctx, RowPrefix)).To(HaveLen(25))
	})
})

// BenchmarkClaims claims and records at 7 gateways against a store that takes
// 2 ms for each transaction, with 256 requests under way and 50 transactions a
// second at each gateway. The baseline writes each row by itself.
func BenchmarkClaims(b *testing.B) {
	const gateways = 7
	for name, most := range map[string]int{"grouped": maxGroupWrites, "baseline": 1} {
		b.Run(name, func(b *testing.B) {
			store := &slowTable{Store: tablestore.New(), delay: 2 * time.Millisecond}
			all := make([]*Claims, gateways)
			for i := range all {
				all[i] = newClaims(store, clockwork.NewRealClock(), fmt.Sprint(i))
				all[i].group.most = most
			}
			b.ResetTimer()
			claimAll(b, all)
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(b.N)/seconds, "requests/s")
			b.ReportMetric(float64(store.Counts().Commits)/seconds, "transactions/s")
		})
	}
}

// claimAll claims and records b.N requests.
func claimAll(b *testing.B, all []*Claims) {
	const underWay = 256
	next := make(chan int)
	var wg conc.WaitGroup
	for worker := range underWay {
		wg.Go(func() {
			for i := range next {
				held, _, err := all[worker%len(all)].Claim(context.Background(), named(fmt.Sprint(b.N, "-", i)))
				if err != nil {
					b.Error(err)
					continue
				}
				held.Answered(context.Background(), &recording.Answer{Status: 200, Body: []byte("ok")})
			}
		})
	}
	for i := range b.N {
		next <- i
	}
	close(next)
	wg.Wait()
}
