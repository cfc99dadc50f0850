package limiter_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/limiter"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/share"
	"fireflypier.example/fireflypier/internal/share/sharepb"
	"fireflypier.example/fireflypier/internal/standin/tablestore"
	"fireflypier.example/fireflypier/internal/vmlist"
)

// group is limiters in one process that reach each other directly.
type group struct {
	store    *tablestore.Store
	clock    clockwork.Clock
	limiters []*limiter.Limiter
	fresh    error
	// lost is the number of the gateway that answers no more, from one, and
	// lostBy the error of a call to it.
	lost   int
	lostBy error
	vms    atomic.Pointer[[]vmlist.VM]
	listed atomic.Int64
}

// VMs implements vmlist.List.
func (g *group) VMs(context.Context) ([]vmlist.VM, error) {
	if vms := g.vms.Load(); vms != nil {
		defer g.listed.Add(1)
		return *vms, nil
	}
	return nil, nil
}

func holder(i int) share.Holder {
	return share.Holder{
		Name: fmt.Sprint("gateway-", i), Incarnation: fmt.Sprint("life-", i), Region: "region-1",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), uint16(i+1)),
	}
}

// Pull implements limiter.Peers.
func (g *group) Pull(ctx context.Context, h *share.Holder, req *sharepb.PullRequest) (*sharepb.PullReply, error) {
	i := int(h.Address.Port()) - 1
	if i == g.lost-1 {
		return nil, errors.Wrap(g.lostBy, "pull tokens")
	}
	if i >= len(g.limiters) {
		return nil, errors.New("no such gateway")
	}
	return g.limiters[i].Server().Pull(ctx, req)
}

func (g *group) add(rates *catalog.Catalog) *limiter.Limiter {
	self := len(g.limiters)
	l := limiter.New(limiter.Config{
		Clock: g.clock, Logger: hclog.NewNullLogger(), Table: g.store, Peers: g,
		Self:           holder(self),
		Gateways:       func(string) []share.Holder { return g.others(self) },
		CheckAdmission: func() error { return g.fresh },
		VMs:            g,
	})
	l.SetCatalog(rates)
	g.limiters = append(g.limiters, l)
	return l
}

// others returns the holders of the group without the given one.
func (g *group) others(self int) []share.Holder {
	var others []share.Holder
	for i := range g.limiters {
		if i != self {
			others = append(others, holder(i))
		}
	}
	return others
}

func ratesOf(customers int, rate object.Rate) *catalog.Catalog {
	s := revision.Empty()
	s.Objects = object.Set{Rates: map[string]object.Rate{"r": rate}, Customers: map[string]object.Customer{}}
	for i := range customers {
		s.Objects.Customers[fmt.Sprint("customer-", i)] = object.Customer{Rate: "r"}
	}
	return catalog.New(s)
}

var _ = Describe("the limiter", func() {
	const customer = "customer-0"
	var (
		ctx  context.Context
		g    *group
		a, b *limiter.Limiter
	)
	BeforeEach(func() {
		ctx = context.Background()
		g = &group{store: tablestore.New(), clock: clockwork.NewRealClock()}
		rates := ratesOf(1, object.Rate{TokensPerSecond: 1, BurstTokens: 1000})
		a, b = g.add(rates), g.add(rates)
	})

	It("lets the first request of a customer through", func() {
		_, err := a.Take(ctx, customer, 1000)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses what costs more than the burst, and what the rate does not yield in time", func() {
		_, err := a.Take(ctx, customer, 1001)
		Expect(failure.Is(err, failure.RequestTooCostly)).To(BeTrue())
		_, err = a.Take(ctx, customer, 1000)
		Expect(err).NotTo(HaveOccurred())
		_, err = a.Take(ctx, customer, 100)
		Expect(failure.Is(err, failure.RateExceeded)).To(BeTrue())
		Expect(failure.From(err).RetryAfter).To(BeNumerically("~", 100*time.Second, 5*time.Second))
	})

	It("pulls tokens for a gateway that holds none, also while the store is out", func() {
		_, err := a.Take(ctx, customer, 100)
		Expect(err).NotTo(HaveOccurred())
		g.store.SetFault(tablestore.Fault{Outage: true})
		_, err = b.Take(ctx, customer, 900)
		Expect(err).NotTo(HaveOccurred())
		_, err = a.Take(ctx, customer, 10)
		Expect(failure.Is(err, failure.RateExceeded)).To(BeTrue())
	})

	It("leaves a part at another gateway, so that the loss of the only holder leaves something", func() {
		_, err := a.Take(ctx, customer, 100)
		Expect(err).NotTo(HaveOccurred())
		g.lost, g.lostBy = 1, os.ErrDeadlineExceeded
		_, err = b.Take(ctx, customer, 50)
		Expect(err).NotTo(HaveOccurred())
	})

	// sharesAfter has the first gateway admit a request, makes calls to it
	// end with err, and returns the second gateway's part once that has asked
	// for more than its reserve and has read the row again.
	sharesAfter := func(err error) int64 {
		clock := clockwork.NewFakeClock()
		g = &group{store: tablestore.New(), clock: clock}
		rates := ratesOf(1, object.Rate{TokensPerSecond: 1000, BurstTokens: 1000})
		a, b = g.add(rates), g.add(rates)
		_, takeErr := a.Take(ctx, customer, 100)
		Expect(takeErr).NotTo(HaveOccurred())
		_, takeErr = b.Take(ctx, customer, 100)
		Expect(takeErr).NotTo(HaveOccurred())
		g.lost, g.lostBy = 1, err

		running, stop := context.WithCancel(ctx)
		go b.Run(running)
		refused := make(chan error)
		go func() {
			_, takeErr := b.Take(ctx, customer, 1000)
			refused <- takeErr
		}()
		for waiting := true; waiting; clock.Advance(10 * time.Millisecond) {
			select {
			case takeErr := <-refused:
				Expect(failure.Is(takeErr, failure.RateExceeded)).To(BeTrue())
				waiting = false
			case <-time.After(time.Millisecond):
			}
		}
		const rounds = 1000
		for range rounds {
			clock.Advance(10 * time.Millisecond)
			time.Sleep(100 * time.Microsecond)
		}
		stop()
		<-b.Done()
		return b.Shares()[customer].Parts
	}

	It("takes over the share of a gateway whose port refuses connections", func() {
		refused := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		Expect(sharesAfter(refused)).To(BeEquivalentTo(share.TotalParts))
	})

	It("leaves its share to a gateway that is silent or whose connections break", func() {
		for _, err := range []error{os.ErrDeadlineExceeded, syscall.ECONNRESET, syscall.EHOSTUNREACH} {
			Expect(sharesAfter(err)).To(BeNumerically("<", share.TotalParts), err.Error())
		}
	})

	It("says that the store is out when nobody knows who holds the rate", func() {
		g.store.SetFault(tablestore.Fault{Outage: true})
		_, err := a.Take(ctx, customer, 1)
		Expect(failure.Is(err, failure.StoreUnavailable)).To(BeTrue())
	})

	It("gives back what a request did not use", func() {
		charge, err := a.Take(ctx, customer, 1000)
		Expect(err).NotTo(HaveOccurred())
		charge.Settle(400)
		_, err = a.Take(ctx, customer, 600)
		Expect(err).NotTo(HaveOccurred())
		_, err = a.Take(ctx, customer, 10)
		Expect(failure.Is(err, failure.RateExceeded)).To(BeTrue())
	})

	It("admits nothing and gives nothing while the configuration is stale", func() {
		_, err := a.Take(ctx, customer, 1)
		Expect(err).NotTo(HaveOccurred())
		g.fresh = failure.New(failure.StaleConfiguration, "stale")
		_, err = a.Take(ctx, customer, 1)
		Expect(failure.Is(err, failure.StaleConfiguration)).To(BeTrue())
		reply, err := a.Server().Pull(ctx, &sharepb.PullRequest{Customer: customer, Tokens: 5, Address: "127.0.0.1:9"})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetTokens()).To(BeZero())
	})

	It("takes over the share of a gateway whose VM is gone, with nothing in it", func() {
		clock := clockwork.NewFakeClock()
		g = &group{store: tablestore.New(), clock: clock}
		rates := ratesOf(1, object.Rate{TokensPerSecond: 1000, BurstTokens: 1000})
		a, b = g.add(rates), g.add(rates)
		vms := []vmlist.VM{{Address: holder(0).Address.Addr()}, {Address: holder(1).Address.Addr()}}
		g.vms.Store(&vms)
		_, err := a.Take(ctx, customer, 100)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Take(ctx, customer, 100)
		Expect(err).NotTo(HaveOccurred())

		running, stop := context.WithCancel(ctx)
		go b.Run(running)
		Eventually(g.listed.Load, time.Minute).Should(BeNumerically(">", 0))
		left := vms[1:]
		g.vms.Store(&left)
		for b.Shares()[customer].Parts == 0 {
			_, _ = b.Server().Pull(ctx, &sharepb.PullRequest{Customer: customer, Address: "127.0.0.1:9"})
			clock.Advance(10 * time.Millisecond)
		}
		Expect(b.Shares()[customer].Tokens).To(BeNumerically("<", 100))
		stop()
		<-b.Done()
	})

	It("survives lost answers of the store and gives its shares away when it leaves", func() {
		g.store.SetFault(tablestore.Fault{LoseAnswers: 1})
		_, err := a.Take(ctx, customer, 100)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Take(ctx, customer, 100)
		Expect(err).NotTo(HaveOccurred())
		a.Release(ctx)
		Expect(a.Shares()[customer].Parts).To(BeZero())
		row, err := g.store.Get(ctx, share.RowPrefix+customer)
		Expect(err).NotTo(HaveOccurred())
		decoded, err := share.DecodeRow(row.Value)
		Expect(err).NotTo(HaveOccurred())
		_, held := decoded.Holder(holder(0).Incarnation)
		Expect(held).To(BeFalse())
	})
})

// BenchmarkTake measures an admission whose tokens are there.
func BenchmarkTake(b *testing.B) {
	for _, customers := range []int{5, 500, 5000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			g := &group{store: tablestore.New(), clock: clockwork.NewRealClock()}
			l := g.add(ratesOf(customers, object.Rate{TokensPerSecond: 1e12, BurstTokens: 1e12}))
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprint("customer-", i)
				if _, err := l.Take(b.Context(), names[i], 1); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				charge, err := l.Take(b.Context(), names[i%customers], 100)
				if err != nil {
					b.Fatal(err)
				}
				charge.Settle(50)
				i++
			}
		})
	}
}
