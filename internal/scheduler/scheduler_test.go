package scheduler_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc/pool"

	"fireflypier.example/fireflypier/internal/auth"
	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/feed/feedpb"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/request"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/scheduler"
)

func TestScheduler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scheduler")
}

const concurrency = 2

func newCatalog() *catalog.Catalog {
	s := revision.Empty()
	s.Objects.Targets = map[string]object.Target{
		"e1": {Address: netip.MustParseAddrPort("127.0.0.1:1"), Concurrency: concurrency},
	}
	return catalog.New(s)
}

func loaded(reachable bool) *feedpb.Views {
	return &feedpb.Views{Views: []*feedpb.View{{
		Target: "e1", Reachable: reachable,
		Loaded: []*feedpb.Weights{{Kind: "model", Name: "m", Version: "1"}},
	}}}
}

func newRequest(customer string) *request.Request {
	return &request.Request{
		Ticket:    auth.Ticket{Customer: customer},
		Weights:   catalog.Weights{Model: "m", Version: "1"},
		MaxTokens: 10, Deadline: time.Now().Add(time.Hour),
	}
}

var _ = Describe("the scheduler", func() {
	It("queues a request until an engine has loaded the model", func(ctx SpecContext) {
		views := engineview.New()
		s := scheduler.New(views)
		got := make(chan *scheduler.Slot)
		go func() {
			defer GinkgoRecover()
			slot, err := s.Acquire(ctx, newRequest("a"), nil)
			Expect(err).NotTo(HaveOccurred())
			got <- slot
		}()
		Eventually(s.Waiting).Should(Equal(1))
		views.Update(newCatalog(), loaded(true))
		slot := <-got
		Expect(slot.Target).To(Equal("e1"))
		slot.Release()
		slot.Release()
	})

	It("removes a request from the queue when its caller cancels", func(ctx SpecContext) {
		views := engineview.New()
		s := scheduler.New(views)
		views.Update(newCatalog(), loaded(true))
		var slots []*scheduler.Slot
		for range concurrency {
			slot, err := s.Acquire(ctx, newRequest("a"), nil)
			Expect(err).NotTo(HaveOccurred())
			slots = append(slots, slot)
		}
		canceled, cancelWait := context.WithCancel(ctx)
		failed := make(chan error)
		go func() {
			_, err := s.Acquire(canceled, newRequest("a"), nil)
			failed <- err
		}()
		Eventually(s.Waiting).Should(Equal(1))
		cancelWait()
		Expect(failure.Is(<-failed, failure.Canceled)).To(BeTrue())
		Expect(s.Waiting()).To(BeZero())
		slots[0].Release()
		slot, err := s.Acquire(ctx, newRequest("a"), nil)
		Expect(err).NotTo(HaveOccurred())
		slot.Release()
	})

	It("distinguishes a missing replica from a lack of free slots at the deadline", func(ctx SpecContext) {
		views := engineview.New()
		s := scheduler.New(views)
		short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		_, err := s.Acquire(short, newRequest("a"), nil)
		Expect(failure.Is(err, failure.NoReplica)).To(BeTrue())
		views.Update(newCatalog(), loaded(true))
		_, err = s.Acquire(short, newRequest("a"), []string{"e1"})
		Expect(failure.Is(err, failure.DeadlineExceeded)).To(BeTrue())
	})

	It("keeps the engine's concurrency limit and leaks no slot when callers cancel at any time", func(ctx SpecContext) {
		views := engineview.New()
		s := scheduler.New(views)
		catalog := newCatalog()
		views.Update(catalog, loaded(true))
		var running, served atomic.Int64
		workers := pool.New().WithErrors()
		for w := range 16 {
			workers.Go(func() error {
				for i := range 300 {
					bounded, cancel := context.WithTimeout(ctx, time.Duration((w*31+i*17)%300)*time.Microsecond)
					slot, err := s.Acquire(bounded, newRequest(fmt.Sprint(w%4)), nil)
					cancel()
					if err != nil {
						continue
					}
					if n := running.Add(1); n > concurrency {
						return fmt.Errorf("%d requests run at once", n)
					}
					served.Add(1)
					if i%50 == 0 {
						views.Update(catalog, loaded(i%100 == 0))
						views.Update(catalog, loaded(true))
					}
					running.Add(-1)
					slot.Release()
				}
				return nil
			})
		}
		Expect(workers.Wait()).To(Succeed())
		Expect(served.Load()).To(BeNumerically(">", 0))
		for range concurrency {
			_, err := s.Acquire(ctx, newRequest("a"), nil)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.Waiting()).To(BeZero())
	})
})
