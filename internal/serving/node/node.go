// Package node is the process that runs on each VM of a site: it takes
// callers' requests, tells callers where to connect, exchanges what it knows
// with the other VMs and competes for the order duty.
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
	"fireflypier.example/fireflypier/internal/serving/directory"
	"fireflypier.example/fireflypier/internal/serving/election"
	"fireflypier.example/fireflypier/internal/serving/enginecontrol"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/forward"
	"fireflypier.example/fireflypier/internal/serving/machine"
	"fireflypier.example/fireflypier/internal/serving/mesh"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/ratelimit"
	"fireflypier.example/fireflypier/internal/serving/retrybudget"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
	"fireflypier.example/fireflypier/internal/serving/socket"
	"fireflypier.example/fireflypier/internal/serving/storerelay"
	"fireflypier.example/fireflypier/internal/serving/tablefeed"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

const (
	// readHeaderTimeout bounds a request's header; the operators' limit is
	// shorter for callers that keep to it.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep idle connections.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is twice the operators' usual limit.
	maxHeaderBytes = 32 << 10
	// answerTTL is how long callers may keep a directory answer.
	answerTTL = 2 * time.Second
	// lapseHold is how long rows of targets that were dropped around an
	// outage of the store are kept: they are back within two seconds if the
	// target lives.
	lapseHold = 2200 * time.Millisecond
	// shutdownReserve is left between the last answer and the kill.
	shutdownReserve = 500 * time.Millisecond
	// drainTime is how long connections are still accepted after SIGTERM:
	// callers drop the address when their directory answer ends. Requests
	// that come later may not end within the grace time.
	drainTime = answerTTL + 600*time.Millisecond
)

// Parts are what a Node stands on. The platform's side implements them.
type Parts struct {
	Settings *machine.Settings
	Store    rowstore.Store
	Sender   exchange.Sender
	Engines  enginecontrol.Engines
	// DecodePolicy and DecodeTarget read rows of the store.
	DecodePolicy func([]byte) (*policy.Policy, error)
	DecodeTarget func(id string, data []byte) (*target.Target, error)
	// Front, Directory and Ready return the platform's handlers.
	Front     func(serve exchange.Handler, bodyLimit func() int64) http.Handler
	Directory func(addresses func(dataCentre string) []netip.AddrPort, ttl func() time.Duration) http.Handler
	Ready     func(ready func() bool) http.Handler
	Logger    hclog.Logger
}

// Node is one process.
type Node struct {
	Parts
	clock       clockwork.Clock
	incarnation int64
	registry    *prometheus.Registry

	view     *fleetview.View
	policies *tablefeed.Feed
	targets  *tablefeed.Feed
	mesh     *mesh.Mesh
	store    *storerelay.Store
	duty     *election.Election
	// directory chooses the VMs that callers are told of.
	directory *directory.Directory
	desk      *enginecontrol.Controller
	forward   *forward.Forwarder

	policy  atomic.Pointer[policy.Policy]
	bounds  atomic.Pointer[machine.Bounds]
	leaving atomic.Bool
	joined  atomic.Bool

	mu        sync.Mutex
	demand    *weightsdemand.Meter
	inventory map[string]held
	// inventoryVersion counts the changes of inventory.
	inventoryVersion int64
	seen             map[netip.AddrPort]seen
	fetching         map[rowstore.Table]bool
	ctx              context.Context //nolint:containedctx // for fetches that a peer's word begins
	wg               conc.WaitGroup
}

// New returns a node that listens once Run is called.
func New(p Parts) (*Node, error) {
	n := &Node{
		Parts:       p,
		clock:       clockwork.NewRealClock(),
		incarnation: time.Now().UnixNano(),
		registry:    prometheus.NewRegistry(),
		directory:   directory.New(p.Settings.Front),
		view:        fleetview.New(p.Settings.DataCentre),
		demand:      weightsdemand.New(),
		inventory:   make(map[string]held),
		seen:        make(map[netip.AddrPort]seen),
		fetching:    make(map[rowstore.Table]bool),
	}
	s := p.Settings
	n.bounds.Store(&s.Bounds)
	n.policies = tablefeed.New(p.Store, rowstore.Policies, "policies", p.Logger, n.policyChanged, tablefeed.WithReadCondition(n.reads))
	n.targets = tablefeed.New(p.Store, rowstore.Targets, "targets", p.Logger, n.targetsChanged, tablefeed.WithHold(lapseHold), tablefeed.WithReadCondition(n.reads))
	var err error
	n.mesh, err = mesh.New(&meshpb.Member{
		Peer:        s.Peer.String(),
		Incarnation: n.incarnation,
		Name:        s.Name,
		DataCentre:  s.DataCentre,
		Front:       s.Front.String(),
	}, local{n}, n.clock, p.Logger)
	if err != nil {
		return nil, err
	}
	n.store = storerelay.New(storerelay.Parts{
		Direct:  p.Store,
		Failing: func() bool { return !n.targets.Failing().IsZero() },
		Peers:   n.relays,
		Relay:   n.mesh.Relay,
		Logger:  p.Logger,
	})
	n.duty = election.New(n.store, s.Peer, n.incarnation, s.Bounds.OrderGap, n.contend, p.Logger)
	n.desk = enginecontrol.New(enginecontrol.Config{
		Name:     s.Peer.Addr().String(),
		Election: n.duty,
		Engines:  p.Engines,
		Policy:   n.policy.Load,
		Targets:  n.view.Targets,
		Demand:   n.totalDemand,
		Requests: n.view.Requests,
		Held:     n.setHeld,
		Clock:    n.clock,
		Logger:   p.Logger,
	})
	n.forward = forward.New(forward.Dependencies{
		Policy:  n.policy.Load,
		View:    n.view,
		Sender:  p.Sender,
		Placer:  placer{n},
		Rates:   ratelimit.New(tolerance(&s.Bounds), n.clock.Now()),
		Retries: retrybudget.New(retryBound(&s.Bounds)),
		VMs:     func() int { return 1 + n.mesh.Size() },
		Metrics: forward.NewMetrics(n.registry),
		Clock:   n.clock,
		Logger:  p.Logger,
	})
	return n, nil
}

func tolerance(b *machine.Bounds) ratelimit.Tolerance {
	return ratelimit.Tolerance{Overage: b.RateOverage, Slack: b.RateSlack, Window: b.RateWindow}
}

func retryBound(b *machine.Bounds) retrybudget.Bound {
	return retrybudget.Bound{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack}
}

// Reload puts the bounds of changed settings in force. Addresses stay as they
// were at the start.
func (n *Node) Reload(s *machine.Settings) {
	if old := n.bounds.Load(); *old == s.Bounds {
		n.Logger.Info("settings read again, nothing to change")
		return
	}
	n.bounds.Store(&s.Bounds)
	n.forward.SetBounds(tolerance(&s.Bounds), retryBound(&s.Bounds))
	n.Logger.Info("settings read again, bounds changed", "bounds", s.Bounds)
}

// Run serves until ctx ends, then finishes its requests and stops.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.mu.Lock()
	n.ctx = work
	n.mu.Unlock()
	front, others, err := n.listen(work)
	if err != nil {
		return err
	}
	dutyCtx, endDuty := context.WithCancel(work)
	defer endDuty()
	n.wg.Go(func() {
		if err := n.mesh.Run(work); err != nil {
			n.Logger.Warn("peer connections not closed", "error", err)
		}
	})
	n.wg.Go(func() { n.policies.Run(work) })
	n.wg.Go(func() { n.targets.Run(work) })
	n.wg.Go(func() { n.join(work) })
	n.wg.Go(func() { n.duty.Run(dutyCtx) })
	n.wg.Go(func() { n.desk.Run(dutyCtx) })
	n.wg.Go(func() { n.tick(work) })
	n.Logger.Info("started", "incarnation", n.incarnation, "vm", n.Settings.Name, "data_centre", n.Settings.DataCentre)
	<-ctx.Done()
	n.Logger.Info("leaving", "grace", n.bounds.Load().Grace)
	n.leave(work, endDuty, front)
	for _, s := range others {
		_ = s.Close() // nothing runs there that must be finished
	}
	stop()
	n.wg.Wait()
	n.Logger.Info("stopped")
	return nil
}

// listen opens all listeners and serves them.
func (n *Node) listen(ctx context.Context) (front *http.Server, others []*http.Server, err error) {
	admin := adminapi.New(n.registry, func() error {
		if !n.ready() {
			return errors.New("not ready")
		}
		return nil
	}, n.dump)
	s := n.Settings
	front = n.server(listener.DisableKeepAlivesWhile(n.leaving.Load, n.Front(n.forward.Serve, n.bodyLimit)))
	serve := []struct {
		addr   netip.AddrPort
		server *http.Server
	}{
		{s.Front, front},
		{s.Ready, n.server(n.Ready(n.ready))},
		{s.Directory, n.server(n.Directory(n.addresses, func() time.Duration { return min(answerTTL, n.bounds.Load().AnswerTTL) }))},
		{s.Admin, n.server(admin.Handler())},
	}
	for _, l := range serve {
		ln, err := socket.Default().Listen(ctx, l.addr.String())
		if err != nil {
			return nil, nil, errors.Wrapf(err, "listen on %s", l.addr)
		}
		if l.server != front {
			others = append(others, l.server)
		}
		n.wg.Go(func() { n.serve(l.server, ln) })
	}
	return front, others, nil
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
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.Logger.Error("listener ended", "address", l.Addr(), "error", err)
	}
}

// leave tells everyone, serves on while callers still know the address, and
// finishes what runs.
func (n *Node) leave(ctx context.Context, endDuty context.CancelFunc, front *http.Server) {
	began := n.clock.Now()
	n.leaving.Store(true)
	n.mesh.Announce(false, true)
	endDuty()
	grace := n.bounds.Load().Grace
	select {
	case <-n.clock.After(min(drainTime, grace/2)):
	case <-ctx.Done():
	}
	left, cancel := context.WithTimeout(ctx, grace-shutdownReserve-n.clock.Since(began))
	defer cancel()
	if err := front.Shutdown(left); err != nil {
		n.Logger.Warn("requests cut at the end of the grace time", "error", err)
		_ = front.Close()
	}
}

func (n *Node) ready() bool {
	_, known := n.targets.Version()
	return n.policy.Load() != nil && known && !n.leaving.Load()
}

func (n *Node) bodyLimit() int64 {
	if p := n.policy.Load(); p != nil {
		return p.Limits.BodyBytes
	}
	return 0
}

// addresses returns the VMs that take requests now.
func (n *Node) addresses(string) []netip.AddrPort {
	now := n.clock.Now()
	var found []netip.AddrPort
	if n.ready() {
		found = append(found, n.Settings.Front)
	}
	for _, p := range n.mesh.Peers() {
		if p.Live(now) && p.Ready && !p.Leaving && p.Front.IsValid() {
			found = append(found, p.Front)
		}
	}
	return n.directory.Addresses(found)
}

// join lists this VM in the store and learns of the others.
func (n *Node) join(ctx context.Context) {
	for _, seed := range n.Settings.Seeds {
		n.mesh.Add(&meshpb.Member{Peer: seed.String()})
	}
	for ctx.Err() == nil {
		err := n.register(ctx)
		if err == nil {
			return
		}
		n.Logger.Warn("not listed among the members yet", "error", err)
		select {
		case <-n.clock.After(joinRetry):
		case <-ctx.Done():
		}
	}
}

const joinRetry = 500 * time.Millisecond // the store fails for seconds at a time

func (n *Node) register(ctx context.Context) error {
	s := n.Settings
	value, err := encodeMember(&memberRow{
		Incarnation: n.incarnation,
		Name:        s.Name,
		DataCentre:  s.DataCentre,
		Front:       s.Front,
	})
	if err != nil {
		return err
	}
	if _, err := n.store.Write(ctx, rowstore.Write{Table: rowstore.Members, Key: s.Peer.String(), Expect: rowstore.AnyVersion, Value: value}); err != nil {
		return errors.Wrap(err, "write member row")
	}
	page, err := n.store.List(ctx, rowstore.Members)
	if err != nil {
		return errors.Wrap(err, "list members")
	}
	for _, row := range page.Rows {
		m, err := decodeMember(row.Key, row.Value)
		if err != nil {
			n.Logger.Warn("member row left out", "key", row.Key, "version", row.Version, "error", err)
			continue
		}
		n.mesh.Add(m)
	}
	n.joined.Store(true)
	n.Logger.Info("listed among the members", "members", len(page.Rows), "version", page.Version)
	return nil
}
