// Package gateway is the process that forwards requests of callers to targets. It
// connects the caller API, the configuration in force, the scheduler and the
// listeners.
package gateway

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/adminapi"
	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/callerapi"
	"fireflypier.example/fireflypier/internal/claim"
	"fireflypier.example/fireflypier/internal/demandmeter"
	"fireflypier.example/fireflypier/internal/ejection"
	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/feed"
	"fireflypier.example/fireflypier/internal/feed/feedpb"
	"fireflypier.example/fireflypier/internal/limiter"
	"fireflypier.example/fireflypier/internal/listener"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/membership"
	"fireflypier.example/fireflypier/internal/metrics"
	"fireflypier.example/fireflypier/internal/peer"
	"fireflypier.example/fireflypier/internal/platform"
	"fireflypier.example/fireflypier/internal/replica"
	"fireflypier.example/fireflypier/internal/scheduler"
	"fireflypier.example/fireflypier/internal/settings"
	"fireflypier.example/fireflypier/internal/share/sharepb"
)

// defaultMaxConnections limits the open connections from callers if the settings do not. The
// oldest without a request in progress are closed for new ones.
const defaultMaxConnections = 4096

// Gateway is one gateway process.
type Gateway struct {
	cfg    *settings.Gateway
	clock  clockwork.Clock
	logger hclog.Logger

	platform   *platform.Client
	replica    *replica.Replica
	adoption   *adoption.Adoption
	membership *membership.Membership
	claims     *claim.Claims
	ejected    *ejection.Ejection
	views      *engineview.Views
	entry      *entryPoint
	scheduler  *scheduler.Scheduler
	leaving    atomic.Bool
	limiter    *limiter.Limiter
	subscriber *feed.Subscriber
	meter      *demandmeter.Meter
	peers      *peer.Server
	dialer     *peer.Dialer
	callers    *listener.Listener
	admin      *listener.Listener
	done       chan struct{}
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithClock sets the clock; the default is the real clock.
func WithClock(c clockwork.Clock) Option { return func(g *Gateway) { g.clock = c } }

// WithLogger sets the logger; the default discards all messages.
func WithLogger(l hclog.Logger) Option { return func(g *Gateway) { g.logger = l } }

// New returns a gateway whose ports are open; Run serves them.
func New(cfg *settings.Gateway, opts ...Option) (*Gateway, error) {
	g := &Gateway{
		cfg:    cfg,
		clock:  clockwork.NewRealClock(),
		logger: hclog.NewNullLogger(),
		views:  engineview.New(),
		dialer: peer.NewDialer(peer.WithSourceAddr(cfg.PeerListen.Addr())),
		done:   make(chan struct{}),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.platform = platform.New(cfg.Platform)
	registry := prometheus.NewRegistry()
	g.ejected = ejection.New(g.clock)
	g.replica = replica.New(replica.Config{
		Self: g.self(), MaxConfirmationAge: cfg.FreshnessBound, Seeds: cfg.SeedPeers,
		Table: g.platform, Objects: g.platform.Objects(),
		Dialer: g.dialer, Clock: g.clock, Logger: g.logger,
	})
	g.adoption = g.replica.Adoption()
	g.membership = g.replica.Membership()
	g.claims = g.newClaims(g.membership.Self(), registry)
	g.entry = newEntryPoint(g.membership, g.adoption, cfg.DataCentre)
	g.meter = demandmeter.New(cfg.Name, g.dialer, g.planners, g.clock, g.logger)
	g.limiter = g.newLimiter()
	if err := g.listen(registry); err != nil {
		return nil, err
	}
	g.subscriber = feed.NewSubscriber(cfg.Name, g.dialer, g.controllers, g.updateViews, g.clock, g.logger)
	return g, nil
}

func (g *Gateway) listen(registry *prometheus.Registry) error {
	var err error
	maxCallers := defaultMaxConnections
	if g.cfg.MaxConnections > 0 {
		maxCallers = 0 // the listener refuses connections above the limit with an answer
	}
	callers, peers := listener.Guards(g.cfg.Memory(), 0, maxCallers, listener.WithGuardClock(g.clock), listener.WithGuardLogger(g.logger))
	registry.MustRegister(append(callers.Collectors(), peers.Collectors()...)...)
	g.peers, err = peer.Listen(g.cfg.PeerListen, g.logger, peer.WithGuard(peers))
	if err != nil {
		return err
	}
	g.scheduler = g.newScheduler(registry)
	if err := sharepb.DRPCRegisterShares(g.peers.Mux(), g.limiter.Server()); err != nil {
		return errors.Wrap(err, "serve shares")
	}
	registry.MustRegister(g.limiter.Collectors()...)
	if err := g.replica.Serve(g.peers.Mux()); err != nil {
		return err
	}
	handler := metrics.NewGateway(registry).Wrap(listener.DisableKeepAlivesWhile(g.leaving.Load, g.newCallerAPI(registry).Handler()), g.clock)
	slowStatus, slowBody := callerapi.RawError(failure.New(failure.RequestTimeout, "the request header was not received in time"))
	opts := []listener.Option{
		listener.WithHeaderLimits(g.cfg.MaxHeaderBytes, g.cfg.HeaderTimeout),
		listener.WithGuard(callers),
	}
	if g.cfg.MaxConnections > 0 {
		fullStatus, fullBody := callerapi.RawError(failure.New(failure.Overloaded, "the gateway has reached its maximum number of connections"))
		opts = append(opts, listener.WithMaxConnections(g.cfg.MaxConnections, fullStatus, fullBody))
	}
	opts = append(opts, listener.WithSlowHeaderAnswer(slowStatus, slowBody))
	g.callers, err = listener.Listen(g.cfg.Listen, handler, opts...)
	if err != nil {
		return err
	}
	g.admin, err = listener.Listen(g.cfg.AdminListen, adminapi.New(registry, g.adoption.Fresh, g.dump).Handler(), listener.WithGuard(callers))
	return err
}

func (g *Gateway) self() member.Member {
	return member.Member{
		Name:        g.cfg.Name,
		Incarnation: uuid.NewString(),
		Role:        member.Gateway,
		Region:      g.cfg.Region,
		DataCentre:  g.cfg.DataCentre,
		Address:     g.cfg.Address,
		PeerAddress: g.cfg.PeerAddress,
		State:       member.Live,
		Started:     g.clock.Now(),
	}
}

// controllers returns the peer addresses of the live controllers.
func (g *Gateway) controllers() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, m := range g.membership.Live(member.Controller) {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}

// planners returns the peer addresses of the controllers that have recently sent
// views, which are those that plan engines.
func (g *Gateway) planners() []netip.AddrPort { return g.subscriber.ActiveControllers() }

func (g *Gateway) updateViews(batch *feedpb.Views) {
	g.views.Update(g.adoption.Current(), batch)
}

// Addr returns the address of the caller API.
func (g *Gateway) Addr() netip.AddrPort { return g.callers.Addr() }

// Done is closed when Run has returned.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Run serves until ctx ends and then shuts down gracefully: the gateway is marked
// as leaving in the member list, accepts requests for as long as callers may cache
// its address, and then has the drain timeout to finish the requests in progress.
// Run may be called only once.
func (g *Gateway) Run(ctx context.Context) error {
	defer close(g.done)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { g.replica.Run(background) })
	wg.Go(func() { g.limiter.Run(background) })
	wg.Go(func() { g.subscriber.Run(background) })
	wg.Go(func() { g.meter.Run(background) })
	wg.Go(func() { g.claims.Run(background) })
	wg.Go(func() { g.logError("peers", g.peers.Run(background)) })
	wg.Go(func() { g.logError("admin", g.admin.Run()) })
	wg.Go(func() { g.logError("callers", g.callers.Run()) })
	g.logger.Info("gateway started", "address", g.callers.Addr(), "admin", g.admin.Addr())
	<-ctx.Done()
	err := g.leave(background)
	g.logger.Info("gateway stopped")
	return err
}

func (g *Gateway) logError(component string, err error) {
	if err != nil {
		g.logger.Error("component failed", "part", component, "error", err)
	}
}

// leavePropagationTime is the time after which no gateway lists a leaving gateway
// in its entry responses.
const leavePropagationTime = 4 * time.Second

// leave drains the gateway. The listener closes only when the other gateways no
// longer list this one in their entry responses and the last response that did has
// expired: from then on, callers that respect the TTL send no new requests here.
func (g *Gateway) leave(ctx context.Context) error {
	g.logger.Info("gateway is draining")
	ctx, cancel := context.WithTimeout(ctx, leavePropagationTime+g.cfg.EntryTTL+g.cfg.DrainTimeout)
	defer cancel()
	g.leaving.Store(true)
	if err := g.membership.Leave(ctx); err != nil {
		g.logger.Warn("leaving state not recorded in the member list", "error", err)
	}
	g.sleep(ctx, leavePropagationTime+g.cfg.EntryTTL)
	err := g.callers.Shutdown(ctx)
	g.limiter.Release(ctx)
	g.logError("admin", g.admin.Shutdown(ctx))
	return errors.Wrap(err, "drain gateway")
}

func (g *Gateway) sleep(ctx context.Context, d time.Duration) {
	timer := g.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
