// Package mesh lets the VMs of a site tell each other what they know: who is
// live and ready, which versions of the store they have seen, how much work
// they have sent where, and what their callers ask for.
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
	// exchangeInterval is the time between two digests to one peer on a small
	// site; it is a small part of the seconds in which changes must be known
	// everywhere. It is stretched in proportion from stretchFrom VMs on, at
	// most maxStretch times.
	exchangeInterval = 200 * time.Millisecond
	stretchFrom      = 11.0
	maxStretch       = 7.5
	// listInterval is the least time between two lists of members to a peer.
	listInterval = 2 * time.Second
	// exchangeTimeout bounds one exchange, a connection included.
	exchangeTimeout = 700 * time.Millisecond
	// silentInterval is the time between two tries to reach a silent peer.
	silentInterval = 1500 * time.Millisecond
	// fetchTimeout bounds the transfer of one table.
	fetchTimeout = time.Second
)

// Local is this VM's side of the exchange.
type Local interface {
	// Digest returns what this VM tells anybody.
	Digest() *meshpb.Digest
	// Address fills in what is only for one peer; d is its own copy.
	Address(d *meshpb.Digest, p *Peer)
	// Heard takes in a peer's digest. Call no method of the mesh in it.
	Heard(p *Peer)
	// Table returns a table of the store as this VM knows it, and the version
	// of its newest change.
	Table(t rowstore.Table) (page rowstore.Page, changedAt int64)
	// Relay calls the store for a peer.
	Relay(ctx context.Context, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error)
	// Need finds an engine with an adapter; see meshpb.
	Need(ctx context.Context, r *meshpb.NeedRequest) (*meshpb.NeedReply, error)
}

// Mesh exchanges digests with all other VMs.
type Mesh struct {
	clock  clockwork.Clock
	logger hclog.Logger
	dialer *peer.Dialer
	server *peer.Server
	local  Local
	done   chan struct{}
	urge   chan struct{}

	mu      sync.Mutex
	self    *meshpb.Member
	members *membership
	busy    map[netip.AddrPort]bool
}

// New returns a mesh that listens on the address of self.
func New(self *meshpb.Member, local Local, clock clockwork.Clock, logger hclog.Logger) (*Mesh, error) {
	addr, err := netip.ParseAddrPort(self.GetPeer())
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	server, err := peer.Listen(addr, logger)
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		clock:   clock,
		logger:  logger,
		dialer:  peer.NewDialer(peer.WithSourceAddr(addr.Addr())),
		server:  server,
		local:   local,
		done:    make(chan struct{}),
		urge:    make(chan struct{}, 1),
		self:    self,
		members: newMembership(addr),
		busy:    make(map[netip.AddrPort]bool),
	}
	if err := meshpb.DRPCRegisterMesh(server.Mux(), service{m}); err != nil {
		return nil, errors.Wrap(err, "register mesh")
	}
	return m, nil
}

// Run exchanges digests until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	defer close(m.done)
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := m.server.Run(ctx); err != nil && ctx.Err() == nil {
			m.logger.Error("peers are no longer served", "error", err)
		}
	})
	urged := false
	for ctx.Err() == nil {
		m.spread(ctx, &wg, urged)
		m.mu.Lock()
		interval := m.members.interval()
		m.mu.Unlock()
		urged = false
		select {
		case <-m.clock.After(interval):
		case <-m.urge:
			urged = true
		case <-ctx.Done():
		}
	}
	wg.Wait()
	return m.dialer.Close()
}

// Urge makes the next exchange begin now, with every live peer.
func (m *Mesh) Urge() {
	select {
	case m.urge <- struct{}{}:
	default:
	}
}

// Done is closed when Run has returned.
func (m *Mesh) Done() <-chan struct{} { return m.done }

// spread begins an exchange with every peer that is due and has none under way.
func (m *Mesh) spread(ctx context.Context, wg *conc.WaitGroup, urged bool) {
	now := m.clock.Now()
	m.mu.Lock()
	for _, addr := range m.members.forget(now) {
		m.logger.Info("member forgotten", "peer", addr, "silent_for", forgetAfter)
	}
	var due []Peer
	for addr, p := range m.members.peers {
		if m.busy[addr] || !m.members.due(p, urged, now) {
			continue
		}
		p.dialed = now
		m.busy[addr] = true
		due = append(due, *p)
	}
	m.mu.Unlock()
	if len(due) == 0 {
		return
	}
	base := m.digest()
	for i := range due {
		p := &due[i]
		wg.Go(func() { m.exchange(ctx, p, m.addressed(base, p)) })
	}
}

func (m *Mesh) exchange(ctx context.Context, p *Peer, digest *meshpb.Digest) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client := m.client(ctx, p.Address)
	answer, err := client.Exchange(ctx, digest)
	if err == nil && answer.GetMembersHash() != digest.GetMembersHash() {
		m.compare(ctx, client, p)
	}
	m.mu.Lock()
	delete(m.busy, p.Address)
	m.mu.Unlock()
	if err != nil {
		m.logger.Debug("peer not reached", "peer", p.Address, "error", err)
		return
	}
	m.hear(answer)
}

// compare exchanges lists of members with a peer that knows others.
func (m *Mesh) compare(ctx context.Context, client meshpb.DRPCMeshClient, p *Peer) {
	now := m.clock.Now()
	m.mu.Lock()
	known := m.members.peers[p.Address]
	due := known != nil && now.Sub(known.listed) > listInterval
	if due {
		known.listed = now
	}
	list := &meshpb.MemberList{Members: append(m.members.list(now), m.copySelf())}
	m.mu.Unlock()
	if !due {
		return
	}
	answer, err := client.Members(ctx, list)
	if err != nil {
		m.logger.Debug("members not compared", "peer", p.Address, "error", err)
		return
	}
	m.learn(answer)
}

func (m *Mesh) learn(list *meshpb.MemberList) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range list.GetMembers() {
		m.members.add(w, m.clock.Now())
	}
}

func (m *Mesh) client(ctx context.Context, addr netip.AddrPort) meshpb.DRPCMeshClient {
	return meshpb.NewDRPCMeshClient(m.dialer.Conn(ctx, addr))
}

func (m *Mesh) hear(d *meshpb.Digest) {
	now := m.clock.Now()
	m.mu.Lock()
	p, returned := m.members.hear(d, now)
	var known Peer
	if p != nil {
		known = *p
	}
	m.mu.Unlock()
	if p == nil {
		return
	}
	if returned {
		m.logger.Info("member heard", "peer", known.Address, "name", known.Name, "incarnation", known.Incarnation, "ready", known.Ready)
	}
	m.local.Heard(&known)
}

// digest returns what this VM tells anybody.
func (m *Mesh) digest() *meshpb.Digest {
	d := m.local.Digest()
	m.mu.Lock()
	defer m.mu.Unlock()
	d.Self, d.MembersHash = m.copySelf(), m.members.hash()
	return d
}

// addressed returns a copy of a digest for one peer.
func (m *Mesh) addressed(base *meshpb.Digest, p *Peer) *meshpb.Digest {
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
	m.local.Address(d, p)
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

// Announce sets what others are told of this VM.
func (m *Mesh) Announce(ready, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Ready, m.self.Leaving = ready, leaving
}

// Add notes a member that the store lists.
func (m *Mesh) Add(w *meshpb.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members.add(w, m.clock.Now())
}

// peer returns a copy of what is known of a peer.
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

// Peers returns the known peers, by address.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.sorted()
}

// Live calls f for every peer that has spoken lately, in no order. f must not
// keep or change the peer, nor call the mesh.
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

// Size returns the number of known peers.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members.peers)
}

// Fetch asks a peer for a table that has changed after a version; ok is false
// when the peer knows of no such change.
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

// Need asks the holder of the order duty for an engine with an adapter.
func (m *Mesh) Need(ctx context.Context, holder netip.AddrPort, r *meshpb.NeedRequest) (*meshpb.NeedReply, error) {
	reply, err := m.client(ctx, holder).Need(ctx, r)
	return reply, errors.Wrap(err, "ask for an adapter")
}

// Relay lets a peer call the store.
func (m *Mesh) Relay(ctx context.Context, addr netip.AddrPort, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error) {
	a, err := m.client(ctx, addr).Relay(ctx, c)
	return a, errors.Wrap(err, "call the store through a peer")
}

// service answers the calls of peers.
type service struct{ m *Mesh }

// Exchange implements meshpb.DRPCMeshServer.
func (s service) Exchange(_ context.Context, d *meshpb.Digest) (*meshpb.Digest, error) {
	s.m.hear(d)
	answer := s.m.digest()
	p, ok := s.m.peer(d.GetSelf().GetPeer())
	if !ok {
		return answer, nil
	}
	return s.m.addressed(answer, p), nil
}

// Members implements meshpb.DRPCMeshServer.
func (s service) Members(_ context.Context, list *meshpb.MemberList) (*meshpb.MemberList, error) {
	s.m.learn(list)
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	return &meshpb.MemberList{Members: append(s.m.members.list(s.m.clock.Now()), s.m.copySelf())}, nil
}

// Fetch implements meshpb.DRPCMeshServer.
func (s service) Fetch(_ context.Context, r *meshpb.FetchRequest) (*meshpb.FetchReply, error) {
	t := rowstore.Table(r.GetTable())
	if t != rowstore.Policies && t != rowstore.Targets {
		return nil, errors.Errorf("table %d is not passed on", r.GetTable())
	}
	page, changedAt := s.m.local.Table(t)
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
	return s.m.local.Need(ctx, r)
}

// Relay implements meshpb.DRPCMeshServer.
func (s service) Relay(ctx context.Context, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error) {
	return s.m.local.Relay(ctx, c)
}
