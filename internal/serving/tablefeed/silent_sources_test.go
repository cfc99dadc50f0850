package tablefeed_test

import (
	"context"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/fakestore"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
	"fireflypier.example/fireflypier/internal/serving/tablefeed"
)

// Guards against an old configuration at VMs whose hub, or all of whose store readers, are
// silent (CONFIG, DRAIN).
var _ = Describe("a feed that has its changes from peers", func() {
	const (
		lag  = 2 * time.Second
		step = 50 * time.Millisecond
		// exchange is the time between two digests of a peer.
		exchange = 200 * time.Millisecond
	)
	peer := netip.MustParseAddrPort("127.0.0.2:7600")
	var (
		clock *clockwork.FakeClock
		store *fakestore.Store
		seen  *seenRows
		feed  *tablefeed.Feed
	)
	// pass advances the clock; told is called with the time that has passed.
	pass := func(d time.Duration, told func(time.Duration)) {
		for passed := time.Duration(0); passed < d; passed += step {
			if told != nil && passed%exchange == 0 {
				told(passed)
			}
			clock.Advance(step)
			time.Sleep(time.Millisecond)
		}
	}
	confirm := func(time.Duration) {
		version, _ := feed.Version()
		feed.Confirm(peer, version, exchange)
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		store = fakestore.New(clock)
		store.Put(rowstore.Targets, "a", []byte("1"))
		seen = &seenRows{rows: make(map[string]string)}
		feed = tablefeed.New(store, rowstore.Targets, "targets", hclog.NewNullLogger(), seen.change,
			tablefeed.WithClock(clock), tablefeed.WithLag(lag), tablefeed.WithReadCondition(func() bool { return false }))
		ctx, stop := context.WithCancel(context.Background())
		go feed.Run(ctx)
		DeferCleanup(func() {
			stop()
			Eventually(feed.Done()).Should(BeClosed())
		})
		pass(2*time.Second, nil) // no peer has a copy
		Expect(seen.get("a")).To(Equal("1"))
	})

	It("does not call the store while the read condition is false and peers have news", func() {
		confirm(0)
		pass(step, nil)
		calls := store.Calls()
		pass(5*lag, confirm)
		Expect(store.Calls()).To(Equal(calls))
	})

	It("calls the store once in half of the lag while peers have none", func() {
		calls := store.Calls()
		pass(5*lag, nil)
		Expect(store.Calls() - calls).To(BeNumerically("<=", 10))
	})

	It("has a change in time when all peers fall silent", func() {
		pass(lag, confirm)
		store.Put(rowstore.Targets, "a", []byte("2"))
		pass(lag, nil)
		Expect(seen.get("a")).To(Equal("2"))
	})

	It("has a change in time when the peers that it hears have no news themselves", func() {
		pass(lag, confirm)
		version, _ := feed.Version()
		store.Put(rowstore.Targets, "a", []byte("2"))
		pass(lag, func(silent time.Duration) { feed.Confirm(peer, version, exchange+silent) })
		Expect(seen.get("a")).To(Equal("2"))
	})

	It("has a change in time when peers announce it and cannot be asked for it", func() {
		pass(lag, confirm)
		version, _ := feed.Version()
		store.Put(rowstore.Targets, "a", []byte("2"))
		pass(lag, func(time.Duration) { feed.Confirm(peer, version+1, exchange) })
		Expect(seen.get("a")).To(Equal("2"))
	})

	It("spares a store that does not answer, and has a change in time after its return", func() {
		pass(lag, confirm)
		store.Fail(fakestore.Refused)
		calls := store.Calls()
		pass(10*lag, nil)
		Expect(store.Calls()-calls).To(BeNumerically("<=", 20), "calls in ten lags")
		store.Fail(fakestore.None)
		confirm(0)
		pass(lag, confirm)
		store.Put(rowstore.Targets, "a", []byte("2"))
		pass(lag, nil)
		Expect(seen.get("a")).To(Equal("2"))
	})
})
