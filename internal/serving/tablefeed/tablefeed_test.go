package tablefeed_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/fakestore"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
	"fireflypier.example/fireflypier/internal/serving/tablefeed"
)

func TestTableFeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "table feed")
}

// seenRows collects the changes that a feed reports.
type seenRows struct {
	mu     sync.Mutex
	rows   map[string]string
	delays map[string]func()
}

// delay calls f before a row with the given value is recorded.
func (s *seenRows) delay(value string, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays = map[string]func(){value: f}
}

func (s *seenRows) change(rows []rowstore.Row) {
	s.mu.Lock()
	f := s.delays[string(rows[0].Value)]
	s.mu.Unlock()
	if f != nil {
		f()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if r.Deleted {
			delete(s.rows, r.Key)
		} else {
			s.rows[r.Key] = string(r.Value)
		}
	}
}

func (s *seenRows) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

var _ = Describe("a feed", func() {
	var (
		clock *clockwork.FakeClock
		store *fakestore.Store
		seen  *seenRows
		stop  context.CancelFunc
		feed  *tablefeed.Feed
	)
	begin := func(opts ...tablefeed.Option) {
		opts = append(opts, tablefeed.WithClock(clock))
		feed = tablefeed.New(store, rowstore.Targets, "targets", hclog.NewNullLogger(), seen.change, opts...)
		var ctx context.Context
		ctx, stop = context.WithCancel(context.Background())
		go feed.Run(ctx)
	}
	// pass advances the fake clock in small steps.
	pass := func(d time.Duration) {
		for ; d > 0; d -= 50 * time.Millisecond {
			clock.Advance(50 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
	}
	eventually := func(key, value string) {
		GinkgoHelper()
		for range 200 {
			if seen.get(key) == value {
				return
			}
			pass(50 * time.Millisecond)
		}
		Expect(seen.get(key)).To(Equal(value))
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		store = fakestore.New(clock)
		seen = &seenRows{rows: make(map[string]string)}
		store.Put(rowstore.Targets, "a", []byte("1"))
	})
	AfterEach(func() {
		stop()
		Eventually(feed.Done()).Should(BeClosed())
	})

	It("lists the table, then follows its changes", func() {
		begin()
		eventually("a", "1")
		store.Put(rowstore.Targets, "a", []byte("2"))
		eventually("a", "2")
		store.Delete(rowstore.Targets, "a")
		eventually("a", "")
	})

	It("lists the table again when the store has discarded the change history", func() {
		begin()
		eventually("a", "1")
		store.Fail(fakestore.Refused)
		pass(time.Second)
		store.Delete(rowstore.Targets, "a")
		store.Put(rowstore.Targets, "b", []byte("1"))
		store.Compact()
		store.Fail(fakestore.None)
		eventually("b", "1")
		Expect(seen.get("a")).To(BeEmpty())
	})

	// Guards against rows that are taken for deleted because their change was not heard.
	It("takes rows from a list whose changes it did not hear", func() {
		begin()
		eventually("a", "1")
		store.Fail(fakestore.Unheard)
		store.Put(rowstore.Targets, "b", []byte("1"))
		pass(2 * time.Second)
		store.Compact()
		store.Put(rowstore.Targets, "c", []byte("1"))
		store.Compact()
		store.Fail(fakestore.None)
		pass(4 * time.Second)
		feed.Merge(rowstore.Copy{Page: store.Table(rowstore.Targets), Complete: true})
		Expect(seen.get("b")).To(Equal("1"))
	})

	It("keeps rows that expired during an outage until their owners had time to write them again", func() {
		const hold = 2 * time.Second
		begin(tablefeed.WithHold(hold))
		eventually("a", "1")
		store.Put(rowstore.Targets, "b", []byte("1"))
		eventually("b", "1")
		store.Fail(fakestore.Refused)
		pass(5 * time.Second)
		store.Delete(rowstore.Targets, "a")
		store.Delete(rowstore.Targets, "b")
		store.Fail(fakestore.None)
		pass(time.Second)
		Expect(seen.get("a")).To(Equal("1"))
		store.Put(rowstore.Targets, "a", []byte("back"))
		eventually("a", "back")
		pass(2 * time.Second)
		Expect(seen.get("a")).To(Equal("back"))
		Expect(seen.get("b")).To(BeEmpty())
	})

	// Guards against departures that are taken for lapses (DRAIN).
	It("drops a row at once that was written again after an outage and then deleted", func() {
		begin(tablefeed.WithHold(2 * time.Second))
		eventually("a", "1")
		store.Fail(fakestore.Silent)
		pass(5 * time.Second)
		store.Delete(rowstore.Targets, "a")
		store.Put(rowstore.Targets, "a", []byte("back"))
		store.Fail(fakestore.None)
		eventually("a", "back")
		store.Delete(rowstore.Targets, "a")
		pass(600 * time.Millisecond)
		Expect(seen.get("a")).To(BeEmpty())
	})

	It("drops a row at once whose lapse, return and deletion arrive together after an outage", func() {
		begin(tablefeed.WithHold(2 * time.Second))
		eventually("a", "1")
		store.Fail(fakestore.Silent)
		pass(5 * time.Second)
		store.Delete(rowstore.Targets, "a")
		store.Put(rowstore.Targets, "a", []byte("back"))
		store.Delete(rowstore.Targets, "a")
		store.Put(rowstore.Targets, "b", []byte("1"))
		store.Fail(fakestore.None)
		eventually("b", "1")
		Expect(seen.get("a")).To(BeEmpty())
	})

	It("drops a deleted row at once if peers have sent changes while its own calls failed", func() {
		begin(tablefeed.WithHold(2 * time.Second))
		eventually("a", "1")
		store.Fail(fakestore.Silent)
		pass(5 * time.Second)
		for range 4 { // the store is back, and reachable for peers only
			store.Put(rowstore.Targets, "b", []byte("1"))
			feed.Merge(rowstore.Copy{Page: store.Table(rowstore.Targets), Complete: true})
			pass(900 * time.Millisecond)
		}
		store.Delete(rowstore.Targets, "a")
		store.Put(rowstore.Targets, "b", []byte("2"))
		store.Fail(fakestore.None)
		eventually("b", "2")
		Expect(seen.get("a")).To(BeEmpty())
	})

	It("drops a deleted row at once if there was no outage", func() {
		begin(tablefeed.WithHold(2 * time.Second))
		eventually("a", "1")
		store.Delete(rowstore.Targets, "a")
		pass(500 * time.Millisecond)
		Expect(seen.get("a")).To(BeEmpty())
	})

	It("accepts a newer table from a peer while the store refuses calls, and no older one", func() {
		begin()
		eventually("a", "1")
		store.Fail(fakestore.Refused)
		pass(time.Second)
		version, _ := feed.Version()
		feed.Merge(rowstore.Copy{Page: rowstore.Page{Version: version + 3, Rows: []rowstore.Row{{Key: "c", Value: []byte("3"), Version: version + 3}}}, Complete: true, ChangedAt: version + 3})
		Expect(seen.get("c")).To(Equal("3"))
		Expect(seen.get("a")).To(BeEmpty())
		feed.Merge(rowstore.Copy{Page: rowstore.Page{Version: version + 1, Rows: []rowstore.Row{{Key: "a", Value: []byte("1"), Version: 1}}}, Complete: true, ChangedAt: version + 1})
		Expect(seen.get("a")).To(BeEmpty())
		Expect(feed.ChangedAt()).To(Equal(version + 3))
	})

	// Guards against deletions of a peer's copy that are ignored (DRAIN).
	It("accepts a peer's deletion of a row that it holds itself, at the same version of the store", func() {
		begin(tablefeed.WithHold(2 * time.Second))
		eventually("a", "1")
		store.Fail(fakestore.Silent)
		pass(5 * time.Second)
		store.Delete(rowstore.Targets, "a")
		store.Put(rowstore.Targets, "b", []byte("1"))
		store.Fail(fakestore.None)
		eventually("b", "1")
		Expect(seen.get("a")).To(Equal("1"), "held")
		feed.Merge(rowstore.Copy{Page: store.Table(rowstore.Targets), Complete: true, ChangedAt: feed.ChangedAt()})
		Expect(seen.get("a")).To(BeEmpty())
	})

	It("knows all that a peer knows after one copy of its table", func() {
		begin()
		eventually("a", "1")
		store.Fail(fakestore.Silent)
		page := store.Table(rowstore.Targets)
		announced := page.Version + 4
		page.Version += 7
		feed.Merge(rowstore.Copy{Page: page, Complete: true, ChangedAt: announced})
		Expect(feed.ChangedAt()).To(Equal(announced))
	})

	It("passes on a whole table that it took from a peer, also if it dropped nothing itself", func() {
		begin()
		eventually("a", "1")
		store.Fail(fakestore.Silent)
		above := feed.ChangedAt()
		page := store.Table(rowstore.Targets)
		page.Version += 7
		feed.Merge(rowstore.Copy{Page: page, Complete: true, ChangedAt: above + 4})
		Expect(feed.Changes(above).Complete).To(BeTrue(), "a peer may still have the row that was deleted")
	})

	// Guards against departures that a started VM has not heard of and that its peers
	// therefore miss (DRAIN).
	It("passes on the whole table it has listed to peers with an older copy, also after later changes", func() {
		above := store.Table(rowstore.Targets).Version
		store.Delete(rowstore.Targets, "a")
		begin()
		Eventually(func() bool {
			_, read := feed.Version()
			return read
		}).Should(BeTrue())
		Eventually(feed.ChangedAt).Should(BeNumerically(">", above), "peers are told")
		store.Put(rowstore.Targets, "b", []byte("1"))
		eventually("b", "1")
		changes := feed.Changes(above)
		Expect(changes.Complete).To(BeTrue())
		Expect(changes.Rows).To(HaveLen(1))
	})

	It("takes its first copy from a peer that offers one, and the changes since from the store", func() {
		begin(func(f *tablefeed.Feed) { f.Offer() })
		pass(500 * time.Millisecond)
		Expect(store.Calls()).To(BeZero())
		copied := store.Table(rowstore.Targets)
		store.Delete(rowstore.Targets, "a")
		feed.Merge(rowstore.Copy{Page: copied, Complete: true, ChangedAt: copied.Version})
		Expect(seen.get("a")).To(Equal("1"))
		eventually("a", "")
		Expect(feed.Changes(copied.Version).Complete).To(BeTrue())
	})

	It("lists the table if the copy that a peer offers does not arrive", func() {
		begin(func(f *tablefeed.Feed) { f.Offer() })
		pass(1500 * time.Millisecond)
		Expect(seen.get("a")).To(Equal("1"))
	})

	It("does not bring back a deleted row from an older copy of a peer", func() {
		begin()
		eventually("a", "1")
		old := store.Table(rowstore.Targets)
		store.Delete(rowstore.Targets, "a")
		store.Put(rowstore.Targets, "b", []byte("1"))
		eventually("b", "1")
		Expect(seen.get("a")).To(BeEmpty())
		feed.Merge(rowstore.Copy{Page: old, Complete: true, ChangedAt: old.Version})
		Expect(seen.get("a")).To(BeEmpty())
		Expect(seen.get("b")).To(Equal("1"))
	})

	// Guards against changes that are reported out of order (CONFIG, DRAIN).
	It("reports changes of two sources in the order in which it applies them", func() {
		begin()
		eventually("a", "1")
		store.Fail(fakestore.Refused)
		page := func(value string, version int64) rowstore.Page {
			return rowstore.Page{Version: version, Rows: []rowstore.Row{{Key: "a", Value: []byte(value), Version: version}}}
		}
		reporting := make(chan struct{})
		seen.delay("older", func() {
			close(reporting)
			time.Sleep(100 * time.Millisecond) // time for the other merge to overtake
		})
		version, _ := feed.Version()
		older := make(chan struct{})
		go func() {
			defer close(older)
			feed.Merge(rowstore.Copy{Page: page("older", version+1), ChangedAt: version + 1})
		}()
		Eventually(reporting).Should(BeClosed())
		feed.Merge(rowstore.Copy{Page: page("newer", version+2), ChangedAt: version + 2})
		Eventually(older).Should(BeClosed())
		Expect(seen.get("a")).To(Equal("newer"))
	})

	It("passes on the rows that changed, and the whole table after a deletion", func() {
		begin()
		eventually("a", "1")
		version := feed.ChangedAt()
		Expect(feed.Changes(0).Complete).To(BeTrue())
		Expect(feed.Changes(version).Version).To(BeZero())
		store.Put(rowstore.Targets, "b", []byte("2"))
		eventually("b", "2")
		changes := feed.Changes(version)
		Expect(changes.Complete).To(BeFalse())
		Expect(changes.Rows).To(HaveLen(1))
		store.Delete(rowstore.Targets, "a")
		pass(500 * time.Millisecond)
		Expect(seen.get("a")).To(BeEmpty())
		changes = feed.Changes(version)
		Expect(changes.Complete).To(BeTrue())
		Expect(changes.Rows).To(HaveLen(1))
		Expect(changes.Rows[0].Key).To(Equal("b"))
	})

	// lag is the time within which a change must arrive.
	const lag = 2 * time.Second

	// Guards against polls of an outage that outlive it (CONFIG, DRAIN).
	It("learns of a change in time after the store was silent, wherever the outage ends", func() {
		begin()
		eventually("a", "1")
		for phase := time.Duration(0); phase < 5*time.Second; phase += 250 * time.Millisecond {
			store.Fail(fakestore.Silent)
			pass(5*time.Second + phase)
			store.Fail(fakestore.None)
			store.Put(rowstore.Targets, "a", []byte(phase.String()))
			pass(lag)
			Expect(seen.get("a")).To(Equal(phase.String()))
		}
	})

	// Guards against a connection that falls silent while new ones work (CONFIG).
	It("learns of a change in time when its connection falls silent", func() {
		begin()
		eventually("a", "1")
		for phase := time.Duration(0); phase < time.Second; phase += 150 * time.Millisecond {
			pass(5*time.Second + phase)
			store.Fail(fakestore.Silent)
			store.Fail(fakestore.None)
			store.Put(rowstore.Targets, "a", []byte(phase.String()))
			pass(lag)
			Expect(seen.get("a")).To(Equal(phase.String()))
		}
	})
})
