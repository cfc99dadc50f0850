package feed_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/feed"
	"fireflypier.example/fireflypier/internal/feed/feedpb"
	"fireflypier.example/fireflypier/internal/peer"
)

const conditionTimeout = 30 * time.Second

// received stores the latest delivered view of each target.
type received struct {
	mu    sync.Mutex
	views map[string]*feedpb.View
}

func (r *received) deliver(batch *feedpb.Views) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range batch.GetViews() {
		r.views[v.GetTarget()] = v
	}
}

func (r *received) leaving(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.views[target].GetLeaving()
}

// A gateway receives the leaving state of targets that have never reported a view,
// such as plain services, as well as that of engines.
func TestLeavingStateIsSentWithoutPriorView(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	server, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), hclog.NewNullLogger())
	g.Expect(err).NotTo(HaveOccurred())
	publisher := feed.NewPublisher()
	g.Expect(feedpb.DRPCRegisterFeed(server.Mux(), publisher)).To(Succeed())
	go func() { _ = server.Run(ctx) }()

	got := &received{views: map[string]*feedpb.View{}}
	dialer := peer.NewDialer()
	defer func() { _ = dialer.Close() }()
	addresses := func() []netip.AddrPort { return []netip.AddrPort{server.Addr()} }
	s := feed.NewSubscriber("gateway", dialer, addresses, got.deliver, clockwork.NewRealClock(), hclog.Default())
	go s.Run(ctx)
	g.Eventually(publisher.Watchers, conditionTimeout).Should(Equal(1))

	publisher.SetLeaving(map[string]bool{"desk": true})
	g.Eventually(func() bool { return got.leaving("desk") }, conditionTimeout).Should(BeTrue())
	publisher.Publish(&feedpb.View{Target: "engine", Reachable: true})
	publisher.SetLeaving(map[string]bool{"engine": true})
	g.Eventually(func() bool { return got.leaving("engine") && !got.leaving("desk") }, conditionTimeout).Should(BeTrue())
	stop()
	<-s.Done()
}
