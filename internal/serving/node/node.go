// Package node implements the process that runs on each VM of a site. It serves
// callers' requests and address lookups, exchanges state with the other VMs and takes
// part in the election of the VM that sends orders to engines.
package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/adminapi"
	"fireflypier.example/fireflypier/internal/listener"
	"fireflypier.example/fireflypier/internal/peer"
	"fireflypier.example/fireflypier/internal/serving/directory"
	"fireflypier.example/fireflypier/internal/serving/dryrun"
	"fireflypier.example/fireflypier/internal/serving/election"
	"fireflypier.example/fireflypier/internal/serving/enginecontrol"
	"fireflypier.example/fireflypier/internal/serving/evacuation"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/forward"
	"fireflypier.example/fireflypier/internal/serving/freshness"
	"fireflypier.example/fireflypier/internal/serving/machine"
	"fireflypier.example/fireflypier/internal/serving/mesh"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/quarantine"
	"fireflypier.example/fireflypier/internal/serving/ratelimit"
	"fireflypier.example/fireflypier/internal/serving/retrybudget"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
	"fireflypier.example/fireflypier/internal/serving/socket"
	"fireflypier.example/fireflypier/internal/serving/spillover"
	"fireflypier.example/fireflypier/internal/serving/storerelay"
	"fireflypier.example/fireflypier/internal/serving/tablefeed"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/targetlimit"
	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

const (
	// readHeaderTimeout is the time-out for reading a request's header. The
	// operators' limit for well-behaved callers is shorter.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than the time for which callers keep idle connections.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is twice the usual limit set by operators.
	maxHeaderBytes = 32 << 10
	// answerMemoryShare is the fraction of the process's memory for the heap that buffered
	// answers take. With those for bodies and connections, it stays below the soft limit of the runtime.
	answerMemoryShare = 0.15
	// answerTTL is the maximum time for which callers cache a directory answer; the
	// settings may shorten it.
	answerTTL = 2 * time.Second
	// targetRowHold is how long rows of targets that the store deletes around an
	// outage are kept. A live target writes its row again within two seconds.
	targetRowHold = 2200 * time.Millisecond
	// shutdownReserve is the minimum time between the last answer and SIGKILL.
	shutdownReserve = 500 * time.Millisecond
	// answerReserve is the time for the answers of requests that are given up.
	answerReserve = 200 * time.Millisecond
	// drainTime is how long connections are accepted after SIGTERM. Callers drop the
	// address when their directory answer expires. Requests that arrive later may not
	// finish within the grace period.
	drainTime = answerTTL + 600*time.Millisecond
)

// Config holds the dependencies of a Node. Package platform implements those that
// depend on the outside platform.
type Config struct {
	Settings *machine.Settings
	Store    rowstore.Store
	Sender   exchange.Sender
	Engines  enginecontrol.Engines
	// DecodePolicy and DecodeTarget decode rows of the policies and targets tables.
	DecodePolicy func([]byte) (*policy.Policy, error)
	DecodeTarget func(id string, data []byte) (*target.Target, error)
	// Front returns the handler for callers' requests, Directory that for address
	// lookups and Ready that for the platform's health checks. bodyLimit is in bytes,
	// 0 for no limit.
	Front     func(serve exchange.Handler, bodyLimit func() int64) http.Handler
	Directory func(addresses func(dataCentre string) []netip.AddrPort, ttl func() time.Duration) http.Handler
	Ready     func(ready func() bool) http.Handler
	// Sockets opens the listeners; nil selects one with default settings.
	Sockets *socket.Dialer
	// Collectors are further metrics to serve, for instance those of Sockets.
	Collectors []prometheus.Collector
	Logger     hclog.Logger
}

// Node is the process of one VM. Run must be called only once.
type Node struct {
	Config
	clock       clockwork.Clock
	incarnation int64
	startedAt   time.Time
	registry    *prometheus.Registry

	view     *fleetview.View
	policies *tablefeed.Feed
	targets  *tablefeed.Feed
	mesh     *mesh.Mesh
	fleet    *fleet
	store    *storerelay.Store
	election *election.Election
	// directory chooses the VM addresses that are returned to callers.
	directory     *directory.Directory
	engineControl *enginecontrol.Controller
	forward       *forward.Forwarder
	limiter       *targetlimit.Limiter
	// callers guards the ports for HTTP requests; nil if the settings have no memory limit.
	callers    *listener.Guard
	evacuation *evacuation.Register
	// fresh tells whether this VM may have missed an evacuation.
	fresh *freshness.Watch
	// exchanged is when an exchange was last started at once, in nanoseconds.
	exchanged atomic.Int64

	quarantine *quarantine.Quarantine

	policy  atomic.Pointer[policy.Policy]
	bounds  atomic.Pointer[machine.Bounds]
	leaving atomic.Bool
	joined  atomic.Bool // set once this VM is registered in the members table

	mu        sync.Mutex
	demand    *weightsdemand.Meter
	inventory map[string]inventoryEntry
	// inventoryVersion is the number of changes to inventory so far.
	inventoryVersion int64
	received         map[netip.AddrPort]received
	fetching         map[rowstore.Table]bool
	ctx              context.Context //nolint:containedctx // for fetches that a peer's digest starts
	wg               conc.WaitGroup
}

// viewOptions returns the options of the view. If the settings list several data centres,
// this VM's own among them, the view decides whether requests leave it.
func (n *Node) viewOptions() []fleetview.Option {
	options := []fleetview.Option{fleetview.WithEvacuation(n.evacuation)}
	if _, listed := n.Settings.Regions[n.Settings.DataCentre]; listed && len(n.Settings.Regions) > 1 {
		options = append(options, fleetview.WithSpillover(spillover.New()))
	}
	return options
}

// New returns a node with the given dependencies. Of its listeners, it opens only the
// one for peers; Run opens the others.
func New(config Config) (*Node, error) {
	n := &Node{
		Config:      config,
		clock:       clockwork.NewRealClock(),
		incarnation: time.Now().UnixNano(),
		startedAt:   time.Now(),
		registry:    prometheus.NewRegistry(),
		directory:   directory.New(config.Settings.Front),
		limiter:     targetlimit.New(),
		evacuation:  evacuation.New(false),
		demand:      weightsdemand.New(),
		inventory:   make(map[string]inventoryEntry),
		received:    make(map[netip.AddrPort]received),
		fetching:    make(map[rowstore.Table]bool),
	}
	if n.Sockets == nil {
		n.Sockets = socket.New("callers")
	}
	s := config.Settings
	n.bounds.Store(&s.Bounds)
	n.view = fleetview.New(s.DataCentre, n.viewOptions()...)
	n.fresh = freshness.New(missedAfter(&s.Bounds), n.clock.Now())
	n.setTargetBounds(&s.Bounds)
	n.warn("settings", s.Warnings)
	n.registry.MustRegister(newEvacuationCollector(n))
	n.registry.MustRegister(config.Collectors...)
	n.policies = tablefeed.New(config.Store, rowstore.Policies, "policies", config.Logger, n.policyChanged,
		tablefeed.WithRestorationHold(evacuationHold), tablefeed.WithReadCondition(n.readsStore),
		tablefeed.WithRetryInterval(n.storeRetryInterval), tablefeed.WithLag(policyLag(&s.Bounds)))
	n.targets = tablefeed.New(config.Store, rowstore.Targets, "targets", config.Logger, n.targetsChanged,
		tablefeed.WithHold(targetRowHold), tablefeed.WithReadCondition(n.readsStore),
		tablefeed.WithRetryInterval(n.storeRetryInterval), tablefeed.WithLag(changeLag(&s.Bounds)))
	n.registry.MustRegister(tableAge(n.policies, "policies"), tableAge(n.targets, "targets"))
	n.fleet = newFleet(n.ownSummary)
	peerOptions, err := n.newGuards()
	if err != nil {
		return nil, err
	}
	n.mesh, err = mesh.New(&meshpb.Member{
		Peer:        s.Peer.String(),
		Incarnation: n.incarnation,
		Name:        s.Name,
		DataCentre:  s.DataCentre,
		Front:       s.Front.String(),
		Capacity:    s.Capacity,
	}, meshDelegate{n}, n.clock, config.Logger, peerOptions...)
	if err != nil {
		return nil, err
	}
	n.store = storerelay.New(storerelay.Config{
		Direct:  config.Store,
		Failing: func() bool { return !n.targets.Failing().IsZero() },
		Peers:   n.relayPeers,
		Relay:   n.mesh.Relay,
		Logger:  config.Logger,
	})
	n.election = election.New(n.store, s.Peer, n.incarnation, s.Bounds.OrderGap, n.candidate, config.Logger)
	n.engineControl = enginecontrol.New(enginecontrol.Config{
		Name:      s.Peer.Addr().String(),
		Election:  n.election,
		Engines:   config.Engines,
		Policy:    n.policy.Load,
		Targets:   n.view.Targets,
		Demand:    n.totalDemand,
		Requests:  n.view.Requests,
		Held:      n.setInventory,
		Limit:     func(t *target.Target) target.Limit { return n.view.Limit(t.ID, t.Born) },
		Distance:  func(t *target.Target) time.Duration { return n.view.Distance(t.ID, t.Born, n.clock.Now()) },
		Evacuated: func(t *target.Target) bool { return n.evacuation.Active(t.DataCentre) },
		Observe:   n.observeEngine,
		Permit:    n.permitCall,
		LoadBound: func() (time.Duration, float64) {
			b := n.bounds.Load()
			return b.LoadWindow, b.LoadOverage
		},
		Clock:  n.clock,
		Logger: config.Logger,
	})
	n.quarantine = quarantine.New(n.mayProbe, config.Logger)
	n.forward = forward.New(forward.Config{
		Quarantine:  n.quarantine,
		Policy:      n.policy.Load,
		View:        n.view,
		Sender:      config.Sender,
		Placer:      placer{n},
		Rates:       ratelimit.New(tolerance(&s.Bounds), n.clock.Now()),
		Borrow:      n.borrow,
		Reserve:     n.reserve,
		Stale:       n.stale,
		ColdLearned: n.coldLearned,
		Retries:     retrybudget.New(retryBound(&s.Bounds)),
		VMs:         func() int { return 1 + n.mesh.Size() },
		Metrics:     forward.NewMetrics(n.registry, n.view, n.clock),
		Buffered:    s.Memory.Share(answerMemoryShare),
		Clock:       n.clock,
		Logger:      config.Logger,
	})
	return n, nil
}

// tableAge returns the metric of the age of a copy of a table.
func tableAge(f *tablefeed.Feed, table string) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "fireflypier_serving_table_age_seconds", ConstLabels: prometheus.Labels{"table": table},
		Help: "Time since the last answer of the store, to any VM, that the copy of the table holds.",
	}, func() float64 {
		_, age := f.News()
		return age.Seconds()
	})
}

// newGuards creates the guards of the connections. A deployment whose settings have no memory limit
// has none.
func (n *Node) newGuards() ([]peer.ServerOption, error) {
	s := n.Settings
	if s.Memory <= 0 {
		return nil, nil
	}
	callers, peers := listener.Guards(s.Memory, s.Descriptors, 0, listener.WithGuardLogger(n.Logger), listener.WithGuardClock(n.clock))
	n.callers = callers
	for _, c := range append(callers.Collectors(), peers.Collectors()...) {
		if err := n.registry.Register(c); err != nil {
			return nil, errors.Wrap(err, "register metrics of connections")
		}
	}
	return []peer.ServerOption{peer.WithGuard(peers)}, nil
}

// mayProbe reports whether this VM may probe for requests on which engines crash.
func (n *Node) mayProbe() bool {
	_, silent := n.mesh.Count()
	return n.election.Term() != nil && silent == 0
}

// defaultChangeLag applies if the settings have no such time.
const defaultChangeLag = 2 * time.Second

// changeLag returns the time within which a change in the store must take effect.
func changeLag(b *machine.Bounds) time.Duration {
	if b.ChangeLag <= 0 {
		return defaultChangeLag
	}
	return b.ChangeLag
}

func tolerance(b *machine.Bounds) ratelimit.Tolerance {
	return ratelimit.Tolerance{Overage: b.RateOverage, Slack: b.RateSlack, Window: b.RateWindow}
}

func retryBound(b *machine.Bounds) retrybudget.Bound {
	return retrybudget.Bound{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack}
}

// Reload applies the bounds of changed settings. Other settings, such as addresses,
// keep their values from startup.
func (n *Node) Reload(s *machine.Settings) {
	n.warn("settings", s.Warnings)
	if old := n.bounds.Load(); *old == s.Bounds {
		n.Logger.Info("settings reloaded, bounds unchanged")
		return
	}
	n.bounds.Store(&s.Bounds)
	n.forward.SetBounds(tolerance(&s.Bounds), retryBound(&s.Bounds))
	n.setTargetBounds(&s.Bounds)
	n.Logger.Info("settings reloaded, bounds changed", "bounds", s.Bounds)
}

// Run serves requests until ctx ends. It then finishes the requests in progress
// within the grace period and returns nil. It returns an error if a listener cannot be
// opened.
func (n *Node) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.mu.Lock()
	n.ctx = workCtx
	n.mu.Unlock()
	front, callers, others, err := n.listen(workCtx)
	if err != nil {
		return err
	}
	leaderCtx, resign := context.WithCancel(workCtx)
	defer resign()
	n.wg.Go(func() {
		if err := n.mesh.Run(workCtx); err != nil {
			n.Logger.Warn("mesh did not close its peer connections", "error", err)
		}
	})
	n.wg.Go(func() { n.policies.Run(workCtx) })
	n.wg.Go(func() { n.targets.Run(workCtx) })
	n.wg.Go(func() { n.stayRegistered(workCtx) })
	n.wg.Go(func() { n.election.Run(leaderCtx) })
	n.wg.Go(func() { n.engineControl.Run(leaderCtx) })
	n.wg.Go(func() { n.updateLoop(workCtx) })
	n.Logger.Info("started", "incarnation", n.incarnation, "vm", n.Settings.Name, "data_centre", n.Settings.DataCentre)
	<-ctx.Done()
	n.Logger.Info("leaving", "grace", n.bounds.Load().Grace)
	n.leave(workCtx, resign, front, callers)
	for _, s := range others {
		_ = s.Close() // requests to these servers need not finish
	}
	stop()
	n.wg.Wait()
	n.Logger.Info("stopped")
	return nil
}

// listen opens the listeners and starts serving on them. front is the server for
// callers' requests, callers its listener, and others are the remaining servers.
func (n *Node) listen(ctx context.Context) (front *http.Server, callers net.Listener, others []*http.Server, err error) {
	s := n.Settings
	front = n.server(listener.DisableKeepAlivesWhile(n.leaving.Load, n.Front(n.forward.Serve, n.bodyLimit)))
	serve := []struct {
		addr   netip.AddrPort
		server *http.Server
	}{
		{s.Front, front},
		{s.Ready, n.server(n.Ready(n.ready))},
		{s.Directory, n.server(n.Directory(n.addresses, func() time.Duration { return min(answerTTL, n.bounds.Load().AnswerTTL) }))},
		{s.Admin, n.server(n.adminHandler())},
	}
	for _, l := range serve {
		ln, err := n.Sockets.Listen(ctx, l.addr.String())
		if err != nil {
			return nil, nil, nil, errors.Wrapf(err, "listen on %s", l.addr)
		}
		if n.callers != nil {
			ln = n.callers.HTTP(l.server, ln)
		}
		if l.server == front {
			callers = ln
		} else {
			others = append(others, l.server)
		}
		n.wg.Go(func() { n.serve(l.server, ln) })
	}
	return front, callers, others, nil
}

// adminHandler returns the handler of the admin address. It is called once.
func (n *Node) adminHandler() http.Handler {
	return adminapi.New(n.registry, func() error {
		if !n.ready() {
			return errors.New("not ready")
		}
		return nil
	}, n.dump, adminapi.WithHandler(dryrun.Path, http.HandlerFunc(n.serveWhere))).Handler()
}

func (n *Node) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          n.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	err := s.Serve(l)
	if closed := n.leaving.Load() && errors.Is(err, net.ErrClosed); !closed && !errors.Is(err, http.ErrServerClosed) {
		n.Logger.Error("HTTP server failed", "address", l.Addr(), "error", err)
	}
}

// leave announces to the peers that this VM is leaving and resigns as leader. It
// accepts connections for up to drainTime, and then waits for the requests in progress
// until shutdownReserve before the end of the grace period. Callers of requests that have
// not ended by then get an answer, and so do callers that send on open connections
// meanwhile.
func (n *Node) leave(ctx context.Context, resign context.CancelFunc, front *http.Server, callers net.Listener) {
	began := n.clock.Now()
	n.leaving.Store(true)
	n.announce()
	resign()
	grace := n.bounds.Load().Grace
	accept := min(drainTime, grace/2)
	end := began.Add(grace - shutdownReserve - answerReserve)
	n.forward.Leave(began.Add(accept), end)
	select {
	case <-n.clock.After(accept):
	case <-ctx.Done():
	}
	if err := callers.Close(); err != nil {
		n.Logger.Warn("listener for callers not closed", "error", err)
	}
	n.forward.Drain(end)
	drainCtx, cancel := context.WithTimeout(ctx, grace-shutdownReserve-n.clock.Since(began))
	defer cancel()
	if err := front.Shutdown(drainCtx); err != nil {
		n.Logger.Warn("requests aborted at the end of the grace period", "error", err)
		_ = front.Close()
	}
}

// ready reports whether this VM can serve: it has a configuration and the list of
// targets, and is not leaving.
func (n *Node) ready() bool {
	_, known := n.targets.Version()
	return n.policy.Load() != nil && known && !n.leaving.Load()
}

// bodyLimit returns the maximum size of a request body in bytes, 0 for no limit.
func (n *Node) bodyLimit() int64 {
	if p := n.policy.Load(); p != nil {
		return p.Limits.BodyBytes
	}
	return 0
}

// addresses returns the addresses for callers of VMs that are ready, as the directory
// chooses them.
func (n *Node) addresses(string) []netip.AddrPort {
	var found []netip.AddrPort
	if n.ready() {
		found = append(found, n.Settings.Front)
	}
	n.mesh.Live(func(p *mesh.Peer) {
		if p.Ready && !p.Leaving && p.Front.IsValid() {
			found = append(found, p.Front)
		}
	})
	return n.directory.Addresses(found)
}
