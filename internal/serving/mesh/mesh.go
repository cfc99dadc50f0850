// Package mesh exchanges state between the VMs of a site: membership and
// readiness, the versions of the store's tables that each VM has, the load that
// it has sent to each target, and the demand of its callers.
package mesh

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/peer"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

const (
	// exchangeInterval is the time between two exchanges with one peer on a
	// small site, a small part of the seconds within which changes must reach
	// every VM. With more than scaleFromVMs VMs it grows in proportion to their
	// number, by a factor of maxIntervalScale at most.
	exchangeInterval = 200 * time.Millisecond
	scaleFromVMs     = 11.0
	maxIntervalScale = 7.5
	// memberListInterval is the minimum time between two member lists sent to
	// one peer.
	memberListInterval = 2 * time.Second
	// exchangeTimeout bounds one exchange, including the dial.
	exchangeTimeout = 700 * time.Millisecond
	// redialInterval is the time between two attempts to reach a peer that is
	// not live.
	redialInterval = 1500 * time.Millisecond
	// fetchTimeout bounds the transfer of one table.
	fetchTimeout = time.Second
)

// Delegate supplies the state of this VM to the mesh and handles the calls of
// peers.
type Delegate interface {
	// Digest returns the part of the digest that is the same for all peers.
	Digest() *meshpb.Digest
	// CompleteDigest adds the part of the digest that is specific to the peer p
	// to d, a copy for this peer.
	CompleteDigest(d *meshpb.Digest, p *Peer)
	// DigestReceived handles a digest from the peer p. It must not call methods
	// of the mesh.
	DigestReceived(p *Peer)
	// Table returns this VM's copy of a table of the store, and the version of
	// the newest change in it.
	Table(t rowstore.Table) (page rowstore.Page, changedAt int64)
	// Relay calls the store on behalf of a peer.
	Relay(ctx context.Context, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error)
	// Need returns an engine that holds an adapter or can load it; see
	// meshpb.NeedRequest.
	Need(ctx context.Context, r *meshpb.NeedRequest) (*meshpb.NeedReply, error)
}

// Mesh exchanges digests with all other VMs. Its methods are safe for
// concurrent use.
type Mesh struct {
	clock    clockwork.Clock
	logger   hclog.Logger
	dialer   *peer.Dialer
	server   *peer.Server
	delegate Delegate
	done     chan struct{}
	trigger  chan struct{}

	mu       sync.Mutex
	self     *meshpb.Member
	members  *membership
	inFlight map[netip.AddrPort]bool
}

// New returns a mesh that listens on the peer address of self. It exchanges
// nothing before Run.
func New(self *meshpb.Member, delegate Delegate, clock clockwork.Clock, logger hclog.Logger) (*Mesh, error) {
	addr, err := netip.ParseAddrPort(self.GetPeer())
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	server, err := peer.Listen(addr, logger)
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		clock:    clock,
		logger:   logger,
		dialer:   peer.NewDialer(peer.WithSourceAddr(addr.Addr())),
		server:   server,
		delegate: delegate,
		done:     make(chan struct{}),
		trigger:  make(chan struct{}, 1),
		self:     self,
		members:  newMembership(addr),
		inFlight: make(map[netip.AddrPort]bool),
	}
	if err := meshpb.DRPCRegisterMesh(server.Mux(), service{m}); err != nil {
		return nil, errors.Wrap(err, "register mesh")
	}
	return m, nil
}

// Run serves peers and exchanges digests with them until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	defer close(m.done)
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := m.server.Run(ctx); err != nil && ctx.Err() == nil {
			m.logger.Error("peer server failed; calls from peers are no longer served", "error", err)
		}
	})
	triggered := false
	for ctx.Err() == nil {
		m.startExchanges(ctx, &wg, triggered)
		m.mu.Lock()
		interval := m.members.interval()
		m.mu.Unlock()
		triggered = false
		select {
		case <-m.clock.After(interval):
		case <-m.trigger:
			triggered = true
		case <-ctx.Done():
		}
	}
	wg.Wait()
	return m.dialer.Close()
}

// TriggerExchange starts an exchange with every live peer now instead of at the
// next interval.
func (m *Mesh) TriggerExchange() {
	select {
	case m.trigger <- struct{}{}:
	default:
	}
}

// Done is closed when Run has returned.
func (m *Mesh) Done() <-chan struct{} { return m.done }

// startExchanges starts an exchange with every peer that is due and has none in
// flight.
func (m *Mesh) startExchanges(ctx context.Context, wg *conc.WaitGroup, triggered bool) {
	now := m.clock.Now()
	m.mu.Lock()
	for _, addr := range m.members.forget(now) {
		m.logger.Info("member forgotten", "peer", addr, "silent_for", forgetAfter)
	}
	var due []Peer
	for addr, p := range m.members.peers {
		if m.inFlight[addr] || !m.members.due(p, triggered, now) {
			continue
		}
		p.dialedAt = now
		m.inFlight[addr] = true
		due = append(due, *p)
	}
	m.mu.Unlock()
	if len(due) == 0 {
		return
	}
	base := m.digest()
	for i := range due {
		p := &due[i]
		wg.Go(func() { m.exchange(ctx, p, m.digestFor(base, p)) })
	}
}

func (m *Mesh) exchange(ctx context.Context, p *Peer, digest *meshpb.Digest) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client := m.client(ctx, p.Address)
	answer, err := client.Exchange(ctx, digest)
	if err == nil && answer.GetMembersHash() != digest.GetMembersHash() {
		m.syncMembers(ctx, client, p)
	}
	m.mu.Lock()
	delete(m.inFlight, p.Address)
	m.mu.Unlock()
	if err != nil {
		m.logger.Debug("peer not reached", "peer", p.Address, "error", err)
		return
	}
	m.receive(answer)
}

// syncMembers exchanges member lists with a peer whose list differs, at most
// once per memberListInterval.
func (m *Mesh) syncMembers(ctx context.Context, client meshpb.DRPCMeshClient, p *Peer) {
	now := m.clock.Now()
	m.mu.Lock()
	known := m.members.peers[p.Address]
	due := known != nil && now.Sub(known.listedAt) > memberListInterval
	if due {
		known.listedAt = now
	}
	list := &meshpb.MemberList{Members: append(m.members.list(now), m.copySelf())}
	m.mu.Unlock()
	if !due {
		return
	}
	answer, err := client.Members(ctx, list)
	if err != nil {
		m.logger.Debug("member list not exchanged", "peer", p.Address, "error", err)
		return
	}
	m.addMembers(answer)
}

func (m *Mesh) addMembers(list *meshpb.MemberList) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range list.GetMembers() {
		m.members.add(w, m.clock.Now())
	}
}

func (m *Mesh) client(ctx context.Context, addr netip.AddrPort) meshpb.DRPCMeshClient {
	return meshpb.NewDRPCMeshClient(m.dialer.Conn(ctx, addr))
}

func (m *Mesh) receive(d *meshpb.Digest) {
	now := m.clock.Now()
	m.mu.Lock()
	p, rejoined := m.members.receive(d, now)
	var known Peer
	if p != nil {
		known = *p
	}
	m.mu.Unlock()
	if p == nil {
		return
	}
	if rejoined {
		m.logger.Info("member heard", "peer", known.Address, "name", known.Name, "incarnation", known.Incarnation, "ready", known.Ready)
	}
	m.delegate.DigestReceived(&known)
}

// digest returns the part of the digest that is the same for all peers.
func (m *Mesh) digest() *meshpb.Digest {
	d := m.delegate.Digest()
	m.mu.Lock()
	defer m.mu.Unlock()
	d.Self, d.MembersHash = m.copySelf(), m.members.hash()
	return d
}

// digestFor returns a copy of base with the part that is specific to one peer.
func (m *Mesh) digestFor(base *meshpb.Digest, p *Peer) *meshpb.Digest {
	d := &meshpb.Digest{
		Self:           base.GetSelf(),
		MembersHash:    base.GetMembersHash(),
		PolicyVersion:  base.GetPolicyVersion(),
		TargetsVersion: base.GetTargetsVersion(),
		Loads:          base.GetLoads(),
		Customers:      base.GetCustomers(),
		Weights:        base.GetWeights(),
		Fence:          base.GetFence(),
		StoreFails:     base.GetStoreFails(),
	}
	m.delegate.CompleteDigest(d, p)
	return d
}

func (m *Mesh) copySelf() *meshpb.Member {
	return &meshpb.Member{
		Peer:        m.self.GetPeer(),
		Incarnation: m.self.GetIncarnation(),
		Name:        m.self.GetName(),
		DataCentre:  m.self.GetDataCentre(),
		Front:       m.self.GetFront(),
		Ready:       m.self.GetReady(),
		Leaving:     m.self.GetLeaving(),
	}
}

// Announce sets the status of this VM that the next digests carry.
func (m *Mesh) Announce(ready, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Ready, m.self.Leaving = ready, leaving
}

// Add adds a member that is listed in the store. Invalid addresses and this VM
// itself are ignored.
func (m *Mesh) Add(w *meshpb.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.add(w, m.clock.Now())
}

// peer returns a copy of the peer with an address.
func (m *Mesh) peer(address string) (*Peer, bool) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.members.peers[addr]
	if !ok {
		return nil, false
	}
	known := *p
	return &known, true
}

// Peers returns copies of the known peers, ordered by address.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.sorted()
}

// Live calls f for every live peer, in no particular order. f must not retain or
// change the peer, nor call the mesh.
func (m *Mesh) Live(f func(p *Peer)) {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.members.peers {
		if p.Live(now) {
			f(p)
		}
	}
}

// Size returns the number of known peers, without this VM.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members.peers)
}

// Fetch returns a peer's copy of a table if it has changes after the version
// above. ok is false if it has none.
func (m *Mesh) Fetch(ctx context.Context, addr netip.AddrPort, t rowstore.Table, above int64) (p rowstore.Page, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := m.client(ctx, addr).Fetch(ctx, &meshpb.FetchRequest{Table: int32(t), Above: above})
	if err != nil {
		return p, false, errors.Wrap(err, "fetch table from peer")
	}
	p.Version = reply.GetVersion()
	for _, r := range reply.GetRows() {
		p.Rows = append(p.Rows, rowstore.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion()})
	}
	return p, p.Version > 0, nil
}

// Need requests an engine with an adapter from the leader, the VM that sends
// orders to engines.
func (m *Mesh) Need(ctx context.Context, leader netip.AddrPort, r *meshpb.NeedRequest) (*meshpb.NeedReply, error) {
	reply, err := m.client(ctx, leader).Need(ctx, r)
	return reply, errors.Wrap(err, "request an engine with the adapter from a peer")
}

// Relay calls the store through a peer.
func (m *Mesh) Relay(ctx context.Context, addr netip.AddrPort, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error) {
	a, err := m.client(ctx, addr).Relay(ctx, c)
	return a, errors.Wrap(err, "call the store through a peer")
}

// service implements the calls that peers make.
type service struct{ m *Mesh }

// Exchange implements meshpb.DRPCMeshServer.
func (s service) Exchange(_ context.Context, d *meshpb.Digest) (*meshpb.Digest, error) {
	s.m.receive(d)
	answer := s.m.digest()
	p, ok := s.m.peer(d.GetSelf().GetPeer())
	if !ok {
		return answer, nil
	}
	return s.m.digestFor(answer, p), nil
}

// Members implements meshpb.DRPCMeshServer.
func (s service) Members(_ context.Context, list *meshpb.MemberList) (*meshpb.MemberList, error) {
	s.m.addMembers(list)
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	return &meshpb.MemberList{Members: append(s.m.members.list(s.m.clock.Now()), s.m.copySelf())}, nil
}

// Fetch implements meshpb.DRPCMeshServer.
func (s service) Fetch(_ context.Context, r *meshpb.FetchRequest) (*meshpb.FetchReply, error) {
	t := rowstore.Table(r.GetTable())
	if t != rowstore.Policies && t != rowstore.Targets {
		return nil, errors.Errorf("table %d cannot be fetched from a peer", r.GetTable())
	}
	page, changedAt := s.m.delegate.Table(t)
	reply := &meshpb.FetchReply{}
	if changedAt <= r.GetAbove() {
		return reply, nil
	}
	reply.Version = page.Version
	for _, row := range page.Rows {
		reply.Rows = append(reply.Rows, &meshpb.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return reply, nil
}

// Need implements meshpb.DRPCMeshServer.
func (s service) Need(ctx context.Context, r *meshpb.NeedRequest) (*meshpb.NeedReply, error) {
	return s.m.delegate.Need(ctx, r)
}

// Relay implements meshpb.DRPCMeshServer.
func (s service) Relay(ctx context.Context, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error) {
	return s.m.delegate.Relay(ctx, c)
}
