// Package mesh exchanges state between the VMs of a site: membership and
// readiness, the versions of the store's tables that each VM has, outstanding work
// and the demand of callers.
//
// In a small fleet every VM exchanges digests with all others. In a larger one the
// VMs of a data centre report to one of them, its hub, and the hubs exchange with
// each other, so that messages and bytes of a VM stay flat as the fleet grows.
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
	// exchangeInterval is the time between two exchanges with one peer, a small
	// part of the seconds within which changes must reach every VM. hubInterval is
	// the mean time between two reports to one hub.
	exchangeInterval = 200 * time.Millisecond
	hubInterval      = 3400 * time.Microsecond
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
	// Digest returns this VM's state for the peer p, to which it stands in the
	// given relation. The mesh adds the members.
	Digest(p *Peer, relation meshpb.Relation) *meshpb.Digest
	// DigestReceived handles a digest from the peer p.
	DigestReceived(p *Peer, d *meshpb.Digest)
	// Changes returns the changes of a table of the store after a version in this
	// VM's copy, or the whole copy. It is empty if there is no change.
	Changes(t rowstore.Table, above int64) rowstore.Copy
	// Relay calls the store on behalf of a peer.
	Relay(ctx context.Context, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error)
	// Need returns an engine that holds an adapter or can load it; see
	// meshpb.NeedRequest.
	Need(ctx context.Context, r *meshpb.NeedRequest) (*meshpb.NeedReply, error)
	// Borrow charges a request to a customer's rate on behalf of a peer.
	Borrow(r *meshpb.BorrowRequest) *meshpb.BorrowReply
	// Reserve reserves a call to a target with a limit on behalf of a peer.
	Reserve(r *meshpb.ReserveRequest) *meshpb.ReserveReply
}

// Mesh exchanges digests with other VMs. Its methods are safe for
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
// nothing before Run. The options are those of its server.
func New(self *meshpb.Member, delegate Delegate, clock clockwork.Clock, logger hclog.Logger, opts ...peer.ServerOption) (*Mesh, error) {
	addr, err := netip.ParseAddrPort(self.GetPeer())
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	server, err := peer.Listen(addr, logger, opts...)
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
		members:  newMembership(addr, self.GetDataCentre(), self.GetCapacity()),
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

// TriggerExchange starts the exchanges of the next interval now.
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
	for _, addr := range m.members.expire(now) {
		m.logger.Info("member forgotten", "peer", addr, "silent_for", forgetAfter)
	}
	found, relation := m.members.due(m.inFlight, triggered, now)
	due := make([]Peer, 0, len(found))
	for _, p := range found {
		p.dialedAt = now
		m.inFlight[p.Address] = true
		due = append(due, *p)
	}
	m.mu.Unlock()
	for i := range due {
		p := &due[i]
		wg.Go(func() { m.exchange(ctx, p, relation) })
	}
}

func (m *Mesh) exchange(ctx context.Context, p *Peer, relation meshpb.Relation) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := m.client(ctx, p.Address).Exchange(ctx, m.digest(p, relation))
	m.mu.Lock()
	delete(m.inFlight, p.Address)
	if err != nil {
		m.members.failed(p.Address, m.clock.Now())
	}
	m.mu.Unlock()
	if err != nil {
		m.logger.Debug("peer not reached", "peer", p.Address, "error", err)
		return
	}
	m.receive(answer)
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
	m.delegate.DigestReceived(&known, d)
}

// digest returns this VM's digest for a peer.
func (m *Mesh) digest(p *Peer, relation meshpb.Relation) *meshpb.Digest {
	d := m.delegate.Digest(p, relation)
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	d.Self, d.Relation = m.copySelf(), relation
	if hub, ok := m.members.hub(now); ok {
		d.Hub = hub.Address.String()
	}
	known := m.members.peers[p.Address]
	if known == nil {
		known = p
	}
	if known.relation == counterpart(relation) {
		d.MembersSeen = known.seen
	}
	d.Members = m.members.list(known, known.acknowledged, relation, now)
	d.MembersUpto = m.members.version
	return d
}

// counterpart returns the relation in which a peer answers.
func counterpart(r meshpb.Relation) meshpb.Relation {
	switch r {
	case meshpb.Relation_RELATION_REPORT:
		return meshpb.Relation_RELATION_TOTALS
	case meshpb.Relation_RELATION_TOTALS:
		return meshpb.Relation_RELATION_REPORT
	case meshpb.Relation_RELATION_UNSPECIFIED, meshpb.Relation_RELATION_EQUAL:
	}
	return meshpb.Relation_RELATION_EQUAL
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
		StoreFails:  m.self.GetStoreFails(),
		Fence:       m.self.GetFence(),
		Capacity:    m.self.GetCapacity(),
	}
}

// Status is the status of this VM that digests carry.
type Status struct {
	// Ready is set while the VM serves callers, Leaving while it shuts down,
	// StoreFails while its calls to the store fail.
	Ready, Leaving, StoreFails bool
	// Fence is the VM's fencing token as the leader; zero if it is not the leader.
	Fence int64
}

// Announce sets the status of this VM that the next digests carry.
func (m *Mesh) Announce(s Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Ready, m.self.Leaving, m.self.StoreFails, m.self.Fence = s.Ready, s.Leaving, s.StoreFails, s.Fence
}

// Age returns the mean age of what this VM knows of the state of another one.
func (m *Mesh) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.members.flat() {
		return m.members.interval()
	}
	// A report waits for half an interval, then for the exchange between the hubs, then
	// for the other VM's next report.
	return m.members.interval() + exchangeInterval/2
}

// Hubs returns the addresses of the hubs of all data centres, ordered by address,
// this VM's own included if it is one.
func (m *Mesh) Hubs() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.hubs(m.clock.Now())
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

// Count returns the number of live peers, and of those that are silent.
func (m *Mesh) Count() (live, silent int) {
	m.Live(func(*Peer) { live++ })
	return live, m.Size() - live
}

// Size returns the number of known peers, without this VM.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members.peers)
}

// Fetch returns the changes of a table after the version above from a peer's copy.
// ok is false if there is no change.
func (m *Mesh) Fetch(ctx context.Context, addr netip.AddrPort, t rowstore.Table, above int64) (c rowstore.Copy, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := m.client(ctx, addr).Fetch(ctx, &meshpb.FetchRequest{Table: int32(t), Above: above})
	if err != nil {
		return c, false, errors.Wrap(err, "fetch table from peer")
	}
	c.Version, c.Complete, c.ChangedAt = reply.GetVersion(), reply.GetComplete(), reply.GetChangedAt()
	c.Age, c.Source = time.Duration(reply.GetAgeMs())*time.Millisecond, addr
	c.Rows, c.Doubted, c.Held = meshpb.DecodeRows(reply.GetRows()), meshpb.DecodeRows(reply.GetDoubted()), reply.GetHeld()
	return c, c.Version > 0, nil
}

// Borrow has a peer charge a request to its copy of a customer's rate.
func (m *Mesh) Borrow(ctx context.Context, addr netip.AddrPort, r *meshpb.BorrowRequest) (*meshpb.BorrowReply, error) {
	reply, err := m.client(ctx, addr).Borrow(ctx, r)
	return reply, errors.Wrap(err, "charge a request at a peer")
}

// Reserve has a peer reserve a call to a target with a limit.
func (m *Mesh) Reserve(ctx context.Context, addr netip.AddrPort, r *meshpb.ReserveRequest) (*meshpb.ReserveReply, error) {
	reply, err := m.client(ctx, addr).Reserve(ctx, r)
	return reply, errors.Wrap(err, "reserve a call at a peer")
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
	relation := counterpart(d.GetRelation())
	p, ok := s.m.peer(d.GetSelf().GetPeer())
	if !ok {
		return nil, errors.New("the digest has no valid address")
	}
	return s.m.digest(p, relation), nil
}

// Fetch implements meshpb.DRPCMeshServer.
func (s service) Fetch(_ context.Context, r *meshpb.FetchRequest) (*meshpb.FetchReply, error) {
	t := rowstore.Table(r.GetTable())
	if t != rowstore.Policies && t != rowstore.Targets {
		return nil, errors.Errorf("table %d cannot be fetched from a peer", r.GetTable())
	}
	c := s.m.delegate.Changes(t, r.GetAbove())
	return &meshpb.FetchReply{
		Version: c.Version, Complete: c.Complete, ChangedAt: c.ChangedAt,
		Rows: meshpb.EncodeRows(c.Rows), Doubted: meshpb.EncodeRows(c.Doubted), Held: c.Held, AgeMs: c.Age.Milliseconds(),
	}, nil
}

// Borrow implements meshpb.DRPCMeshServer.
func (s service) Borrow(_ context.Context, r *meshpb.BorrowRequest) (*meshpb.BorrowReply, error) {
	return s.m.delegate.Borrow(r), nil
}

// Reserve implements meshpb.DRPCMeshServer.
func (s service) Reserve(_ context.Context, r *meshpb.ReserveRequest) (*meshpb.ReserveReply, error) {
	return s.m.delegate.Reserve(r), nil
}

// Need implements meshpb.DRPCMeshServer.
func (s service) Need(ctx context.Context, r *meshpb.NeedRequest) (*meshpb.NeedReply, error) {
	return s.m.delegate.Need(ctx, r)
}

// Relay implements meshpb.DRPCMeshServer.
func (s service) Relay(ctx context.Context, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error) {
	return s.m.delegate.Relay(ctx, c)
}
