// Package controller is the control plane process: it serves the operator API,
// collects the state of the engines, plans which models they load, and publishes
// engine views to the gateways.
package controller

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/acceptance"
	"fireflypier.example/fireflypier/internal/adminapi"
	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/collector"
	"fireflypier.example/fireflypier/internal/configstore"
	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/feed"
	"fireflypier.example/fireflypier/internal/feed/feedpb"
	"fireflypier.example/fireflypier/internal/listener"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/membership"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/operatorapi"
	"fireflypier.example/fireflypier/internal/peer"
	"fireflypier.example/fireflypier/internal/planner"
	"fireflypier.example/fireflypier/internal/platform"
	"fireflypier.example/fireflypier/internal/reconciler"
	"fireflypier.example/fireflypier/internal/rendezvous"
	"fireflypier.example/fireflypier/internal/replica"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/settings"
	"fireflypier.example/fireflypier/internal/shardplan"
	"fireflypier.example/fireflypier/internal/vmwatch"
)

const (
	// freshnessBound is the maximum time since the last confirmation of the state of
	// a controller. A controller with an older state is likely partitioned.
	freshnessBound = 4 * time.Second
	// reconcilerKey is the rendezvous hashing key that selects the controller that
	// reconciles the member list.
	reconcilerKey = "member-list"
)

// Controller is one controller process.
type Controller struct {
	cfg    *settings.Controller
	clock  clockwork.Clock
	logger hclog.Logger

	platform    *platform.Client
	configStore *configstore.Repository
	adoption    *adoption.Adoption
	membership  *membership.Membership
	replica     *replica.Replica
	acceptance  *acceptance.Acceptance
	reconciler  *reconciler.Reconciler
	dialer      *peer.Dialer
	publisher   *feed.Publisher
	vmWatcher   *vmwatch.Watcher
	collector   *collector.Collector
	planner     *planner.Planner
	peers       *peer.Server
	operators   *listener.Listener
	admin       *listener.Listener
	registry    *prometheus.Registry
	done        chan struct{}
}

// Option configures a Controller.
type Option func(*Controller)

// WithClock sets the clock; the default is the real clock.
func WithClock(c clockwork.Clock) Option { return func(ctl *Controller) { ctl.clock = c } }

// WithLogger sets the logger; the default discards all messages.
func WithLogger(l hclog.Logger) Option { return func(ctl *Controller) { ctl.logger = l } }

// New returns a controller whose ports are open; Run serves them.
func New(cfg *settings.Controller, opts ...Option) (*Controller, error) {
	c := &Controller{
		cfg:       cfg,
		clock:     clockwork.NewRealClock(),
		logger:    hclog.NewNullLogger(),
		publisher: feed.NewPublisher(),
		registry:  prometheus.NewRegistry(),
		dialer:    peer.NewDialer(peer.WithSourceAddr(cfg.PeerListen.Addr())),
		done:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.platform = platform.New(cfg.Platform)
	c.initReplica()
	engines := engine.NewClient()
	c.collector = collector.New(engines, c.publisher, c.engines, cfg.CollectInterval, c.clock, c.logger)
	c.planner = planner.New(planner.Config{
		Name: cfg.Name, Incarnation: c.membership.Self().Incarnation,
		Table: c.platform, Engines: engines, Reports: c.collector.Reports,
		Objects: c.objects, Controllers: c.controllers, Interval: cfg.PlanInterval,
		Clock: c.clock, Logger: c.logger, Metrics: planner.NewMetrics(c.registry),
	})
	c.publisher.SetDemandHandler(c.planner.DemandReport)
	c.vmWatcher = vmwatch.New(c.platform, c.targets, c.setLeaving, c.clock, c.logger)
	if err := c.listen(); err != nil {
		return nil, err
	}
	return c, nil
}

// initReplica creates the replica of the shared state and the components that use
// it.
func (c *Controller) initReplica() {
	c.replica = replica.New(replica.Config{
		Self: c.self(), MaxConfirmationAge: freshnessBound, Seeds: c.cfg.SeedPeers,
		Table: c.platform, Objects: c.platform.Objects(),
		Dialer: c.dialer, Clock: c.clock, Logger: c.logger,
	})
	c.configStore = c.replica.ConfigStore()
	c.adoption = c.replica.Adoption()
	c.membership = c.replica.Membership()
	c.acceptance = acceptance.New(acceptance.Config{
		Adoption: c.adoption, Gossip: c.replica.Gossip(), Unreachable: c.membership.Unreachable,
		Clock: c.clock, Logger: c.logger,
	})
	c.reconciler = reconciler.New(reconciler.Config{
		Adoption: c.adoption, Registry: c.replica.Registry(), Gossip: c.replica.Gossip(),
		VMs: c.platform, Unreachable: c.membership.Unreachable, Self: c.cfg.PeerAddress.Addr(),
		Owns:  func() bool { return c.owns(reconcilerKey) },
		Clock: c.clock, Logger: c.logger,
	})
}

func (c *Controller) listen() error {
	var err error
	callers, peers := listener.Guards(c.cfg.Memory(), 0, 0, listener.WithGuardClock(c.clock), listener.WithGuardLogger(c.logger))
	c.registry.MustRegister(append(callers.Collectors(), peers.Collectors()...)...)
	c.peers, err = peer.Listen(c.cfg.PeerListen, c.logger, peer.WithGuard(peers))
	if err != nil {
		return err
	}
	if err := feedpb.DRPCRegisterFeed(c.peers.Mux(), c.publisher); err != nil {
		return err
	}
	if err := c.replica.Serve(c.peers.Mux()); err != nil {
		return err
	}
	operators := operatorapi.New(operatorapi.Config{
		Publisher: c.configStore, Acceptance: c.acceptance, Current: c.current, Status: c.status,
		Tokens: c.cfg.OperatorTokens, Logger: c.logger,
	})
	c.operators, err = listener.Listen(c.cfg.OperatorListen, operators.Handler(), listener.WithGuard(callers))
	if err != nil {
		return err
	}
	c.admin, err = listener.Listen(c.cfg.AdminListen, adminapi.New(c.registry, c.ready, c.status).Handler(), listener.WithGuard(callers))
	return err
}

func (c *Controller) self() member.Member {
	return member.Member{
		Name:        c.cfg.Name,
		Incarnation: uuid.NewString(),
		Role:        member.Controller,
		Region:      c.cfg.Region,
		DataCentre:  c.cfg.DataCentre,
		Address:     c.cfg.OperatorListen,
		PeerAddress: c.cfg.PeerAddress,
		State:       member.Live,
		Started:     c.clock.Now(),
	}
}

func (c *Controller) ready() error { return nil }

// current returns the snapshot to which the head in the store refers.
func (c *Controller) current(ctx context.Context) (*revision.Snapshot, error) {
	head, err := c.configStore.Head(ctx)
	if err != nil {
		return nil, err
	}
	return c.configStore.Snapshot(ctx, head)
}

func (c *Controller) objects() *object.Set {
	return &c.adoption.Current().Snapshot().Objects
}

// owns reports whether rendezvous hashing assigns key, such as the name of a pool,
// to this controller among the live ones.
func (c *Controller) owns(key string) bool {
	return rendezvous.First(key, c.controllers()) == c.cfg.Name
}

// engines returns, by target name, the engines whose reports this controller
// collects.
func (c *Controller) engines() map[string]object.Target { return c.planner.Targets() }

// controllers returns the names of the live controllers.
func (c *Controller) controllers() []string {
	var names []string
	for _, m := range c.membership.Live(member.Controller) {
		names = append(names, m.Name)
	}
	return names
}

// targets returns the targets whose VMs this controller watches: the engines that
// it plans, and the plain services of the pools that it owns.
func (c *Controller) targets() map[string]object.Target {
	objects := c.objects()
	owned := map[string]bool{}
	for name, pool := range objects.Pools {
		owned[name] = pool.Kind == object.PoolService && c.owns(name)
	}
	targets := c.planner.Targets()
	for name, t := range objects.Targets {
		if owned[t.Pool] {
			targets[name] = t
		}
	}
	return targets
}

// setLeaving passes the set of leaving targets to the gateways and the planner.
func (c *Controller) setLeaving(targets map[string]bool) {
	c.publisher.SetLeaving(targets)
	c.planner.SetLeaving(targets)
}

func (c *Controller) status() any {
	members := c.adoption.Members()
	return struct {
		Self     member.Member `json:"self"`
		Revision int64         `json:"revision"`
		// MemberVersion is the version of the member list, SettledMemberVersion the one from
		// which on an edit needs the majority of the gateways of each list.
		MemberVersion        int64                           `json:"member_version"`
		SettledMemberVersion int64                           `json:"settled_member_version"`
		Members              []member.Member                 `json:"members"`
		Shards               []shardplan.Status              `json:"shards"`
		Engines              map[string]collector.LastReport `json:"engines"`
		// ListedVMs is the number of VMs that have ever been in the platform's list.
		ListedVMs int `json:"listed_vms"`
	}{
		c.membership.Self(), c.adoption.Current().Revision(), members.Version, members.Settled, c.membership.All(),
		c.planner.Status(), c.collector.Reports(), c.vmWatcher.Listed(),
	}
}

// Addr returns the address of the operator API.
func (c *Controller) Addr() netip.AddrPort { return c.operators.Addr() }

// Done is closed when Run has returned.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Run serves until ctx ends and then marks the controller as leaving in the member
// list. It may be called only once.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.done)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { c.replica.Run(background) })
	wg.Go(func() { c.acceptance.Run(background) })
	wg.Go(func() { c.reconciler.Run(background) })
	wg.Go(func() { c.vmWatcher.Run(background) })
	wg.Go(func() { c.collector.Run(background) })
	wg.Go(func() { c.planner.Run(background) })
	wg.Go(func() { c.logError("peers", c.peers.Run(background)) })
	wg.Go(func() { c.logError("admin", c.admin.Run()) })
	wg.Go(func() { c.logError("operators", c.operators.Run()) })
	c.logger.Info("controller started", "address", c.operators.Addr(), "admin", c.admin.Addr())
	<-ctx.Done()
	if err := c.membership.Leave(background); err != nil {
		c.logger.Warn("leaving state not recorded in the member list", "error", err)
	}
	c.logError("operators", c.operators.Shutdown(background))
	c.logError("admin", c.admin.Shutdown(background))
	c.logger.Info("controller stopped")
	return nil
}

func (c *Controller) logError(component string, err error) {
	if err != nil {
		c.logger.Error("component failed", "part", component, "error", err)
	}
}
