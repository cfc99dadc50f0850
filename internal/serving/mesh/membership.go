package mesh

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"
	"sort"
	"time"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
)

const (
	// livenessIntervals is the number of exchange intervals for which a member
	// counts as live after its last digest, so that three lost exchanges in a
	// row don't mark it as failed. minLivenessTimeout is the lower bound on
	// small sites, where the intervals are short: a VM may get no processor
	// time for a second.
	livenessIntervals  = 4
	minLivenessTimeout = 1200 * time.Millisecond
	// relayedLivenessTimeout is how long a member counts as live after a neighbour
	// has vouched for it. It is longer than the time in which the VMs of a data
	// centre replace a failed hub.
	relayedLivenessTimeout = 4 * time.Second
	// forgetAfter is how long a member without digests stays in the member
	// list, and with it in the division of rates and retry budgets among VMs.
	// It is longer than a restart, which takes a few seconds.
	forgetAfter = 30 * time.Second
	// overdueIntervals is the number of intervals without a digest after which
	// a VM starts the exchange that the peer should have started. It is above
	// one to allow for the jitter of timers.
	overdueIntervals = 1.5
	// flatFleet is the number of VMs up to which every VM exchanges with all
	// others. In a larger fleet the VMs of a data centre report to one of them,
	// its hub, and only the hubs exchange with each other.
	flatFleet = 12
	// maxProbes is the number of silent members that a hub tries to reach at a
	// time.
	maxProbes = 8
)

// Peer is another VM of the system.
type Peer struct {
	// Address is where the peer listens for other VMs; it identifies the peer.
	Address netip.AddrPort
	// Name and DataCentre are from the peer's settings, Front is its address
	// for callers.
	Name       string
	DataCentre string
	Front      netip.AddrPort
	// Incarnation increases with each start of the peer's process.
	Incarnation int64
	// Ready is set while the peer serves callers, Leaving while it shuts down,
	// StoreFails while its calls to the store fail.
	Ready, Leaving, StoreFails bool
	// Fence is the peer's fencing token as the leader; zero if it is not the
	// leader.
	Fence int64
	// Capacity is the peer's processor time, in thousandths of a core; zero if it
	// is not known.
	Capacity int64
	// LastSeen is when the last digest arrived from the peer itself; zero if none
	// did.
	LastSeen time.Time

	// hash is the hash of Address.
	hash uint64
	// liveUntil is the time until which the peer counts as live, directUntil that
	// for which its own last digest is the reason; vouched is when it was last
	// known to be live.
	liveUntil, directUntil, vouched time.Time
	// wasLive is what was last passed on to other VMs.
	wasLive bool
	// vouchers are the neighbours that vouch for the peer.
	vouchers []voucher
	// addedAt is when the peer was added, minus the silent time that was
	// reported for it then.
	addedAt time.Time
	// dialedAt is the start of the last exchange that this VM began, failedAt the
	// end of the last one that failed.
	dialedAt, failedAt time.Time
	// version is the number of the last change of the peer.
	version int64
	// relation is the relation in which the peer sent its last digest, seen is the
	// highest number of a change that it has sent since, and acknowledged the
	// highest one that it has received.
	relation           meshpb.Relation
	seen, acknowledged int64
}

// voucher is a neighbour that said that a peer is live, and has not taken it back.
type voucher struct {
	neighbour netip.AddrPort
	// incarnation is the neighbour's when it said so. A later one vouches for what it
	// says itself.
	incarnation int64
	until       time.Time
}

// Precedes reports whether the peer comes before a VM in the choice of hubs: VMs with
// more processor time come first, of these those with lower addresses.
func (p *Peer) Precedes(capacity int64, address netip.AddrPort) bool {
	if p.Capacity != capacity {
		return p.Capacity > capacity
	}
	return p.Address.Compare(address) < 0
}

// Live reports whether the peer is known to be running.
func (p *Peer) Live(now time.Time) bool { return now.Before(p.liveUntil) }

// membership is the set of known peers. It does no I/O and is not safe for
// concurrent use.
type membership struct {
	self       netip.AddrPort
	dataCentre string
	capacity   int64
	selfHash   uint64
	peers      map[netip.AddrPort]*Peer
	// version is the number of changes so far.
	version int64
}

// flat reports whether every VM exchanges with all others.
func (m *membership) flat() bool { return len(m.peers)+1 <= flatFleet }

// interval returns the time between two exchanges with one peer. In a large data
// centre it grows with the number of VMs, so that the hub's rate stays the same.
func (m *membership) interval() time.Duration {
	if m.flat() {
		return exchangeInterval
	}
	mates := 1
	for _, p := range m.peers {
		if p.DataCentre == m.dataCentre {
			mates++
		}
	}
	return max(exchangeInterval, time.Duration(mates)*hubInterval)
}

// hub returns the VM that this one reports to: the live VM of its data centre that
// precedes all others. ok is false if this VM is a hub itself.
func (m *membership) hub(now time.Time) (hub *Peer, ok bool) {
	if m.flat() {
		return nil, false
	}
	for _, p := range m.peers {
		if p.DataCentre != m.dataCentre || !p.Precedes(m.capacity, m.self) || !m.reachable(p, now) {
			continue
		}
		if hub == nil || p.Precedes(hub.Capacity, hub.Address) {
			hub = p
		}
	}
	return hub, hub != nil
}

// reachable reports whether the peer is live, and no exchange with it has failed
// recently.
func (m *membership) reachable(p *Peer, now time.Time) bool {
	return p.Live(now) && !p.Leaving && now.Sub(p.failedAt) >= redialInterval
}

// hubs returns the addresses of the hubs of all data centres, ordered by address,
// this VM included if it is one.
func (m *membership) hubs(now time.Time) []netip.AddrPort {
	first := map[string]*Peer{m.dataCentre: {Address: m.self, Capacity: m.capacity}}
	for _, p := range m.peers {
		if !m.reachable(p, now) {
			continue
		}
		if best, ok := first[p.DataCentre]; !ok || p.Precedes(best.Capacity, best.Address) {
			first[p.DataCentre] = p
		}
	}
	var hubs []netip.AddrPort
	for _, p := range first {
		hubs = append(hubs, p.Address)
	}
	slices.SortFunc(hubs, netip.AddrPort.Compare)
	return hubs
}

// due returns the peers with which this VM should start an exchange now, except
// those in flight, and the relation in which it does so.
func (m *membership) due(inFlight map[netip.AddrPort]bool, triggered bool, now time.Time) (due []*Peer, relation meshpb.Relation) {
	if hub, ok := m.hub(now); ok {
		if !inFlight[hub.Address] {
			due = append(due, hub)
		}
		return due, meshpb.Relation_RELATION_REPORT
	}
	equal := func(*Peer) bool { return true }
	if !m.flat() {
		hubs := m.hubs(now)
		equal = func(p *Peer) bool { return slices.Contains(hubs, p.Address) }
	}
	var silent []*Peer
	for addr, p := range m.peers {
		switch {
		case inFlight[addr]:
		case !p.Live(now):
			if now.Sub(p.dialedAt) >= redialInterval {
				silent = append(silent, p)
			}
		case equal(p) && (triggered || m.initiates(p) || now.Sub(p.LastSeen) > time.Duration(overdueIntervals*float64(m.interval()))):
			due = append(due, p)
		}
	}
	if !m.flat() && len(silent) > maxProbes {
		slices.SortFunc(silent, m.probeOrder)
		silent = silent[:maxProbes]
	}
	return append(due, silent...), meshpb.Relation_RELATION_EQUAL
}

// probeOrder orders silent members: those that were dialed the longest time ago
// first, of these the likely hub of this VM's data centre.
func (m *membership) probeOrder(a, b *Peer) int {
	if c := a.dialedAt.Compare(b.dialedAt); c != 0 {
		return c
	}
	if mate := a.DataCentre == m.dataCentre; mate != (b.DataCentre == m.dataCentre) {
		if mate {
			return -1
		}
		return 1
	}
	return a.Address.Compare(b.Address)
}

// initiates reports whether this VM is the one of a pair that starts exchanges.
// The parity of the sum of both hashes decides, so that every VM starts the
// exchanges of about half of its pairs.
func (m *membership) initiates(p *Peer) bool {
	odd := (m.selfHash+p.hash)&1 == 1
	return odd == (m.self.Compare(p.Address) < 0)
}

func newMembership(self netip.AddrPort, dataCentre string, capacity int64) *membership {
	return &membership{self: self, dataCentre: dataCentre, capacity: capacity, selfHash: addressHash(self), peers: make(map[netip.AddrPort]*Peer)}
}

// add records a member listed by the store or by a peer; receive handles the
// member's own digests. It returns nil for this VM itself, for an invalid
// address, and for an unknown member that has been silent for longer than
// forgetAfter.
func (m *membership) add(w *meshpb.Member, now time.Time) *Peer {
	addr, err := netip.ParseAddrPort(w.GetPeer())
	if err != nil || addr == m.self {
		return nil
	}
	silent := time.Duration(w.GetSilentMs()) * time.Millisecond
	p := m.peers[addr]
	if p == nil {
		if silent > forgetAfter {
			return nil
		}
		p = &Peer{Address: addr, hash: addressHash(addr), addedAt: now.Add(-silent)}
		m.peers[addr] = p
		m.changed(p)
	}
	if w.GetIncarnation() > p.Incarnation {
		m.set(p, w)
	}
	return p
}

// receive records a peer's own digest. rejoined reports whether the peer was
// not live before: it is new or was silent. p is nil if the digest has an
// invalid address or an older incarnation.
func (m *membership) receive(d *meshpb.Digest, now time.Time) (p *Peer, rejoined bool) {
	p = m.add(d.GetSelf(), now)
	if p == nil || d.GetSelf().GetIncarnation() < p.Incarnation {
		return nil, false
	}
	rejoined = !p.Live(now)
	m.set(p, d.GetSelf())
	p.LastSeen, p.failedAt = now, time.Time{}
	p.directUntil = now.Add(m.livenessTimeout(p, d.GetRelation(), now))
	m.vouch(p, now, p.directUntil)
	if d.GetRelation() != p.relation {
		p.relation, p.seen, p.acknowledged = d.GetRelation(), 0, 0
		m.changed(p)
	}
	m.receiveMembers(p, d, now)
	return p, rejoined
}

// livenessTimeout returns how long a peer counts as live after its own digest in the
// given relation.
func (m *membership) livenessTimeout(p *Peer, relation meshpb.Relation, now time.Time) time.Duration {
	if relation == meshpb.Relation_RELATION_EQUAL && !m.flat() {
		// Only hubs exchange as equals all the time. Others do so once, to find each
		// other, and are vouched for by hubs afterwards.
		hubs := m.hubs(now)
		if !slices.Contains(hubs, p.Address) || !slices.Contains(hubs, m.self) {
			return relayedLivenessTimeout
		}
	}
	return max(minLivenessTimeout, livenessIntervals*m.interval())
}

// receiveMembers records what a neighbour says of other members.
func (m *membership) receiveMembers(from *Peer, d *meshpb.Digest, now time.Time) {
	from.acknowledged = d.GetMembersSeen()
	from.seen = max(from.seen, d.GetMembersUpto())
	for _, w := range d.GetMembers() {
		p := m.add(w, now)
		if p == nil || w.GetIncarnation() < p.Incarnation {
			continue
		}
		i := slices.IndexFunc(p.vouchers, func(v voucher) bool { return v.neighbour == from.Address })
		switch {
		case w.GetLive() && i < 0:
			p.vouchers = append(p.vouchers, voucher{neighbour: from.Address, incarnation: from.Incarnation})
			m.changed(p)
		case w.GetLive():
			p.vouchers[i].incarnation = from.Incarnation
		case i >= 0:
			p.vouchers = slices.Delete(p.vouchers, i, i+1)
			p.liveUntil = p.directUntil
			for _, v := range p.vouchers {
				p.liveUntil = later(p.liveUntil, v.until)
			}
			m.changed(p)
		default:
			continue
		}
		m.set(p, w)
	}
	for _, p := range m.peers {
		for i := range p.vouchers {
			if v := &p.vouchers[i]; v.neighbour == from.Address && v.incarnation == from.Incarnation {
				v.until = now.Add(relayedLivenessTimeout)
				m.vouch(p, now, v.until)
			}
		}
	}
}

func (m *membership) vouch(p *Peer, now, until time.Time) {
	p.vouched = now
	p.liveUntil = later(p.liveUntil, until)
	if !p.wasLive {
		p.wasLive = true
		m.changed(p)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *membership) changed(p *Peer) {
	m.version++
	p.version = m.version
}

// set takes over the status of a peer.
func (m *membership) set(p *Peer, w *meshpb.Member) {
	before := *p
	p.Name, p.DataCentre = w.GetName(), w.GetDataCentre()
	if w.GetIncarnation() != p.Incarnation {
		p.Incarnation, p.seen, p.acknowledged = w.GetIncarnation(), 0, 0
	}
	p.Ready, p.Leaving, p.StoreFails = w.GetReady(), w.GetLeaving(), w.GetStoreFails()
	p.Fence, p.Capacity = w.GetFence(), w.GetCapacity()
	if front, err := netip.ParseAddrPort(w.GetFront()); err == nil {
		p.Front = front
	}
	if before.Incarnation != p.Incarnation || before.Ready != p.Ready || before.Leaving != p.Leaving ||
		before.StoreFails != p.StoreFails || before.Fence != p.Fence || before.DataCentre != p.DataCentre || before.Capacity != p.Capacity {
		m.changed(p)
	}
}

// failed records that an exchange with a peer failed.
func (m *membership) failed(addr netip.AddrPort, now time.Time) {
	if p := m.peers[addr]; p != nil {
		p.failedAt = now
	}
}

// expire notes the peers that are no longer live, removes those that have been
// silent for longer than forgetAfter and returns their addresses.
func (m *membership) expire(now time.Time) []netip.AddrPort {
	var gone []netip.AddrPort
	for addr, p := range m.peers {
		if p.wasLive && !p.Live(now) {
			p.wasLive = false
			m.changed(p)
		}
		if now.Sub(p.lastActivity()) > forgetAfter {
			delete(m.peers, addr)
			gone = append(gone, addr)
		}
	}
	if len(gone) == 0 {
		return nil
	}
	for _, p := range m.peers {
		p.vouchers = slices.DeleteFunc(p.vouchers, func(v voucher) bool { return slices.Contains(gone, v.neighbour) })
	}
	return gone
}

// lastActivity returns the time when the peer was last known to be live, or the
// time when it was added if that is later.
func (p *Peer) lastActivity() time.Time { return later(p.vouched, p.addedAt) }

func addressHash(addr netip.AddrPort) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(addr.String())) // hash.Hash never returns an error
	return h.Sum64()
}

// list returns the members that have changed since the number above, except the
// receiver to. This VM vouches for the members that report to it, and to a VM that
// reports to it for all.
func (m *membership) list(to *Peer, above int64, relation meshpb.Relation, now time.Time) []*meshpb.Member {
	var list []*meshpb.Member
	for addr, p := range m.peers {
		if addr == to.Address || p.version <= above {
			continue
		}
		live := p.Live(now)
		if relation != meshpb.Relation_RELATION_TOTALS {
			live = live && m.reports(p, now)
		}
		list = append(list, &meshpb.Member{
			Peer:        addr.String(),
			Incarnation: p.Incarnation,
			Name:        p.Name,
			DataCentre:  p.DataCentre,
			Front:       p.Front.String(),
			Ready:       p.Ready,
			Leaving:     p.Leaving,
			StoreFails:  p.StoreFails,
			Fence:       p.Fence,
			Capacity:    p.Capacity,
			Live:        live,
			SilentMs:    now.Sub(p.lastActivity()).Milliseconds(),
		})
	}
	slices.SortFunc(list, func(a, b *meshpb.Member) int { return cmp.Compare(a.GetPeer(), b.GetPeer()) })
	return list
}

// reports reports whether a peer reports to this VM, directly or through another.
func (m *membership) reports(p *Peer, now time.Time) bool {
	direct := func(p *Peer) bool {
		return p.relation == meshpb.Relation_RELATION_REPORT && now.Before(p.directUntil)
	}
	if direct(p) {
		return true
	}
	return slices.ContainsFunc(p.vouchers, func(v voucher) bool {
		through := m.peers[v.neighbour]
		return through != nil && direct(through)
	})
}

// sorted returns copies of all peers, ordered by address.
func (m *membership) sorted() []Peer {
	peers := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, *p)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Address.Compare(peers[j].Address) < 0 })
	return peers
}
