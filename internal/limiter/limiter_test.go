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

// group is a group of limiters in one process that call each other directly.
type group struct {
	store        *tablestore.Store
	clock        clockwork.Clock
	limiters     []*limiter.Limiter
	admissionErr error
	// unreachable is the number of the gateway whose calls fail with callErr,
	// counted from one, or zero.
	unreachable int
	callErr     error
	vms         atomic.Pointer[[]vmlist.VM]
	vmListReads atomic.Int64
}

// VMs implements vmlist.List.
func (g *group) VMs(context.Context) ([]vmlist.VM, error) {
	if vms := g.vms.Load(); vms != nil {
		defer g.vmListReads.Add(1)
		return *vms, nil
	}
	return nil, nil
}

func holder(i int) share.Holder {
	return share.Holder{
		Name: fmt.Sprint("gateway-", i), Incarnation: fmt.Sprint("incarnation-", i), Region: "region-1",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), uint16(i+1)),
	}
}

// Pull implements limiter.Peers.
func (g *group) Pull(ctx context.Context, h *share.Holder, req *sharepb.PullRequest) (*sharepb.PullReply, error) {
	i := int(h.Address.Port()) - 1
	if i == g.unreachable-1 {
		return nil, errors.Wrap(g.callErr, "pull tokens")
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
		CheckAdmission: func() error { return g.admissionErr },
		VMs:            g,
	})
	l.SetCatalog(rates)
	g.limiters = append(g.limiters, l)
	return l
}

// others returns the other gateways of the group.
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

	It("admits the first request of a customer", func() {
		_, err := a.Take(ctx, customer, 1000)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses requests that cost more than the burst or than the rate yields in time", func() {
		_, err := a.Take(ctx, customer, 1001)
		Expect(failure.Is(err, failure.RequestTooCostly)).To(BeTrue())
		_, err = a.Take(ctx, customer, 1000)
		Expect(err).NotTo(HaveOccurred())
		_, err = a.Take(ctx, customer, 100)
		Expect(failure.Is(err, failure.RateExceeded)).To(BeTrue())
		Expect(failure.From(err).RetryAfter).To(BeNumerically("~", 100*time.Second, 5*time.Second))
	})

	It("pulls tokens for a gateway without a share, also during a store outage", func() {
		_, err := a.Take(ctx, customer, 100)
		Expect(err).NotTo(HaveOccurred())
		g.store.SetFault(tablestore.Fault{Outage: true})
		_, err = b.Take(ctx, customer, 900)
		Expect(err).NotTo(HaveOccurred())
		_, err = a.Take(ctx, customer, 10)
		Expect(failure.Is(err, failure.RateExceeded)).To(BeTrue())
	})

	It("keeps a part at a standby, so that the loss of the only other holder leaves tokens", func() {
		_, err := a.Take(ctx, customer, 100)
		Expect(err).NotTo(HaveOccurred())
		g.unreachable, g.callErr = 1, os.ErrDeadlineExceeded
		_, err = b.Take(ctx, customer, 50)
		Expect(err).NotTo(HaveOccurred())
	})

	// partsAfterCallError makes calls to the first gateway fail with err after
	// both have admitted a request. It returns the second gateway's parts once
	// that gateway has requested more than it holds and has read the row again.
	partsAfterCallError := func(err error) int64 {
		clock := clockwork.NewFakeClock()
		g = &group{store: tablestore.New(), clock: clock}
		rates := ratesOf(1, object.Rate{TokensPerSecond: 1000, BurstTokens: 1000})
		a, b = g.add(rates), g.add(rates)
		_, takeErr := a.Take(ctx, customer, 100)
		Expect(takeErr).NotTo(HaveOccurred())
		_, takeErr = b.Take(ctx, customer, 100)
		Expect(takeErr).NotTo(HaveOccurred())
		g.unreachable, g.callErr = 1, err

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

	It("claims the share of a gateway whose port refuses connections", func() {
		refused := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		Expect(partsAfterCallError(refused)).To(BeEquivalentTo(share.TotalParts))
	})

	It("does not claim the share of a gateway that is silent or whose connections break", func() {
		for _, err := range []error{os.ErrDeadlineExceeded, syscall.ECONNRESET, syscall.EHOSTUNREACH} {
			Expect(partsAfterCallError(err)).To(BeNumerically("<", share.TotalParts), err.Error())
		}
	})

	It("fails with StoreUnavailable when neither the store nor a peer provides the share row", func() {
		g.store.SetFault(tablestore.Fault{Outage: true})
		_, err := a.Take(ctx, customer, 1)
		Expect(failure.Is(err, failure.StoreUnavailable)).To(BeTrue())
	})

	It("returns tokens that a request did not use", func() {
		charge, err := a.Take(ctx, customer, 1000)
		Expect(err).NotTo(HaveOccurred())
		charge.Settle(400)
		_, err = a.Take(ctx, customer, 600)
		Expect(err).NotTo(HaveOccurred())
		_, err = a.Take(ctx, customer, 10)
		Expect(failure.Is(err, failure.RateExceeded)).To(BeTrue())
	})

	It("admits no request and lends no tokens while the configuration is stale", func() {
		_, err := a.Take(ctx, customer, 1)
		Expect(err).NotTo(HaveOccurred())
		g.admissionErr = failure.New(failure.StaleConfiguration, "stale")
		_, err = a.Take(ctx, customer, 1)
		Expect(failure.Is(err, failure.StaleConfiguration)).To(BeTrue())
		reply, err := a.Server().Pull(ctx, &sharepb.PullRequest{Customer: customer, Tokens: 5, Address: "127.0.0.1:9"})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetTokens()).To(BeZero())
	})

	It("claims the share of a gateway whose VM was removed, without its tokens", func() {
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
		Eventually(g.vmListReads.Load, time.Minute).Should(BeNumerically(">", 0))
		remaining := vms[1:]
		g.vms.Store(&remaining)
		for b.Shares()[customer].Parts == 0 {
			_, _ = b.Server().Pull(ctx, &sharepb.PullRequest{Customer: customer, Address: "127.0.0.1:9"})
			clock.Advance(10 * time.Millisecond)
		}
		Expect(b.Shares()[customer].Tokens).To(BeNumerically("<", 100))
		stop()
		<-b.Done()
	})

	It("recovers from lost store replies and hands over its shares on release", func() {
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

// BenchmarkTake measures an admission whose tokens are available at once.
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
