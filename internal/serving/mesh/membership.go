package mesh

import (
	"hash/fnv"
	"net/netip"
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
	// forgetAfter is how long a member without digests stays in the member
	// list, and with it in the division of rates and retry budgets among VMs.
	// It is longer than a restart, which takes a few seconds.
	forgetAfter = 30 * time.Second
	// overdueIntervals is the number of intervals without a digest after which
	// a VM starts the exchange that the peer should have started. It is above
	// one to allow for the jitter of timers.
	overdueIntervals = 1.5
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
	// Ready is set while the peer serves callers, Leaving while it shuts down.
	Ready, Leaving bool
	// LastSeen is when the last digest arrived from the peer; zero if none did.
	LastSeen time.Time
	// Digest is the last digest from the peer; nil if none arrived.
	Digest *meshpb.Digest

	// hash is the hash of Address.
	hash uint64
	// livenessTimeout is the time after LastSeen for which the peer is live.
	livenessTimeout time.Duration
	// addedAt is when the peer was added, minus the silent time that was
	// reported for it then.
	addedAt time.Time
	// dialedAt is the start of the last exchange that this VM began.
	dialedAt time.Time
	// listedAt is the start of the last exchange of member lists that this VM
	// began.
	listedAt time.Time
}

// Live reports whether the peer's last digest is recent enough to treat the
// peer as running.
func (p *Peer) Live(now time.Time) bool {
	return !p.LastSeen.IsZero() && now.Sub(p.LastSeen) < p.livenessTimeout
}

// membership is the set of known peers. It does no I/O and is not safe for
// concurrent use.
type membership struct {
	self     netip.AddrPort
	selfHash uint64
	peers    map[netip.AddrPort]*Peer
}

// interval returns the time between two exchanges with one peer. It grows with
// the number of VMs, so that the message rate of one VM grows more slowly than
// the fleet.
func (m *membership) interval() time.Duration {
	scale := min(maxIntervalScale, max(1, float64(len(m.peers)+1)/scaleFromVMs))
	return time.Duration(scale * float64(exchangeInterval))
}

// due reports whether this VM should start an exchange with a peer now. An
// exchange carries digests in both directions, so one VM of each pair starts
// it. The other does so only when an exchange is overdue, or when one was
// triggered by a local change.
func (m *membership) due(p *Peer, triggered bool, now time.Time) bool {
	if !p.Live(now) {
		return now.Sub(p.dialedAt) >= redialInterval
	}
	return triggered || m.initiates(p) || now.Sub(p.LastSeen) > time.Duration(overdueIntervals*float64(m.interval()))
}

// initiates reports whether this VM is the one of a pair that starts exchanges.
// The parity of the sum of both hashes decides, so that every VM starts the
// exchanges of about half of its pairs.
func (m *membership) initiates(p *Peer) bool {
	odd := (m.selfHash+p.hash)&1 == 1
	return odd == (m.self.Compare(p.Address) < 0)
}

func newMembership(self netip.AddrPort) *membership {
	return &membership{self: self, selfHash: addressHash(self), peers: make(map[netip.AddrPort]*Peer)}
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
	}
	if w.GetIncarnation() > p.Incarnation {
		p.set(w)
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
	p.livenessTimeout = max(minLivenessTimeout, livenessIntervals*m.interval())
	rejoined = !p.Live(now)
	p.set(d.GetSelf())
	p.LastSeen, p.Digest = now, d
	return p, rejoined
}

func (p *Peer) set(w *meshpb.Member) {
	p.Name, p.DataCentre = w.GetName(), w.GetDataCentre()
	p.Incarnation = w.GetIncarnation()
	p.Ready, p.Leaving = w.GetReady(), w.GetLeaving()
	if front, err := netip.ParseAddrPort(w.GetFront()); err == nil {
		p.Front = front
	}
}

// forget removes members that have been silent for longer than forgetAfter and
// returns their addresses.
func (m *membership) forget(now time.Time) []netip.AddrPort {
	var gone []netip.AddrPort
	for addr, p := range m.peers {
		if now.Sub(p.lastActivity()) > forgetAfter {
			delete(m.peers, addr)
			gone = append(gone, addr)
		}
	}
	return gone
}

// lastActivity returns the time of the last digest, or the time when the member
// was added if that is later.
func (p *Peer) lastActivity() time.Time {
	if p.LastSeen.After(p.addedAt) {
		return p.LastSeen
	}
	return p.addedAt
}

// hash returns the sum of the address hashes of all members, this VM included.
// VMs with the same member list have the same hash.
func (m *membership) hash() uint64 {
	sum := m.selfHash
	for _, p := range m.peers {
		sum += p.hash
	}
	return sum
}

func addressHash(addr netip.AddrPort) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(addr.String())) // hash.Hash never returns an error
	return h.Sum64()
}

// list returns all known members except this VM.
func (m *membership) list(now time.Time) []*meshpb.Member {
	var list []*meshpb.Member
	for addr, p := range m.peers {
		list = append(list, &meshpb.Member{
			Peer:        addr.String(),
			Incarnation: p.Incarnation,
			Name:        p.Name,
			DataCentre:  p.DataCentre,
			Front:       p.Front.String(),
			SilentMs:    now.Sub(p.lastActivity()).Milliseconds(),
		})
	}
	return list
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
