package feed

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/feed/feedpb"
	"fireflypier.example/fireflypier/internal/peer"
)

const (
	refreshInterval = time.Second
	retryInterval   = 500 * time.Millisecond
	// activeTTL is how long a controller counts as active after it has sent views.
	activeTTL = 10 * time.Second
)

// Subscriber maintains one stream to each controller that a gateway has discovered.
type Subscriber struct {
	name        string
	dialer      *peer.Dialer
	clock       clockwork.Clock
	logger      hclog.Logger
	controllers func() []netip.AddrPort
	deliver     func(*feedpb.Views)
	done        chan struct{}

	mu        sync.Mutex
	lastViews map[netip.AddrPort]time.Time
}

// NewSubscriber returns a subscriber for the gateway called name. It calls controllers
// once a second for the current controller addresses, and deliver with each batch of
// views, concurrently from several goroutines.
func NewSubscriber(name string, dialer *peer.Dialer, controllers func() []netip.AddrPort, deliver func(*feedpb.Views), clock clockwork.Clock, logger hclog.Logger) *Subscriber {
	return &Subscriber{
		name: name, dialer: dialer, clock: clock, logger: logger,
		controllers: controllers, deliver: deliver, done: make(chan struct{}),
		lastViews: map[netip.AddrPort]time.Time{},
	}
}

// Run maintains the streams until ctx is done. It must be called at most once.
func (s *Subscriber) Run(ctx context.Context) {
	defer close(s.done)
	var wg conc.WaitGroup
	defer wg.Wait()
	streams := map[netip.AddrPort]context.CancelFunc{}
	ticker := s.clock.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		s.refresh(ctx, &wg, streams)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			stopAll(streams)
			return
		}
	}
}

// Done returns a channel that is closed when Run returns.
func (s *Subscriber) Done() <-chan struct{} { return s.done }

// ActiveControllers returns the controllers that have sent views recently, which are
// those that plan a shard.
func (s *Subscriber) ActiveControllers() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var active []netip.AddrPort
	for addr, at := range s.lastViews {
		if s.clock.Since(at) > activeTTL {
			delete(s.lastViews, addr)
			continue
		}
		active = append(active, addr)
	}
	return active
}

func (s *Subscriber) recordViews(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastViews[addr] = s.clock.Now()
}

func stopAll(streams map[netip.AddrPort]context.CancelFunc) {
	for _, stop := range streams {
		stop()
	}
}

// refresh starts streams to new controllers and stops those to removed ones.
func (s *Subscriber) refresh(ctx context.Context, wg *conc.WaitGroup, streams map[netip.AddrPort]context.CancelFunc) {
	wanted := map[netip.AddrPort]bool{}
	for _, addr := range s.controllers() {
		wanted[addr] = true
		if _, ok := streams[addr]; ok {
			continue
		}
		streamCtx, stop := context.WithCancel(ctx)
		streams[addr] = stop
		wg.Go(func() { s.follow(streamCtx, addr) })
	}
	for addr, stop := range streams {
		if !wanted[addr] {
			stop()
			delete(streams, addr)
		}
	}
}

// follow reconnects the stream to a controller until ctx is done.
func (s *Subscriber) follow(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		if err := s.stream(ctx, addr); err != nil && ctx.Err() == nil {
			s.logger.Debug("stream of engine views interrupted", "controller", addr, "error", err)
		}
		timer := s.clock.NewTimer(retryInterval)
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (s *Subscriber) stream(ctx context.Context, addr netip.AddrPort) error {
	client := feedpb.NewDRPCFeedClient(s.dialer.Conn(ctx, addr))
	stream, err := client.Watch(ctx, &feedpb.WatchRequest{Gateway: s.name})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		s.recordViews(addr)
		s.deliver(batch)
	}
}
