package mesh

import (
	"hash/fnv"
	"net/netip"
	"sort"
	"time"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
)

const (
	// livenessIntervals is the number of intervals for which a member counts as
	// live after its last word, so that three lost exchanges in a row remove
	// nobody; on small sites it is leastLive, since a VM may lack the processor
	// for a second.
	livenessIntervals  = 4
	minLivenessTimeout = 1200 * time.Millisecond
	// forgetAfter is how long a silent member still counts in the divisions
	// of rates and retry budgets; a restart takes a few seconds.
	forgetAfter = 30 * time.Second
	// overdueIntervals is the number of intervals after which a VM asks a peer
	// that should have asked it; it is above one for the spread of timers.
	overdueIntervals = 1.5
)

// Peer is another VM of the system.
type Peer struct {
	// Address is where it listens for other VMs; it names the peer.
	Address netip.AddrPort
	// Name and DataCentre are from its settings, Front is its address for
	// callers.
	Name       string
	DataCentre string
	Front      netip.AddrPort
	// Incarnation grows with each start of its process.
	Incarnation int64
	// Ready and Leaving are its own word.
	Ready, Leaving bool
	// LastSeen is when it last spoke; zero if it never did.
	LastSeen time.Time
	// Digest is its last word; nil if it never spoke.
	Digest *meshpb.Digest

	// hash is that of the address.
	hash            uint64
	livenessTimeout time.Duration
	addedAt         time.Time
	dialedAt        time.Time
	listedAt        time.Time
}

// Live reports whether the peer has spoken lately.
func (p *Peer) Live(now time.Time) bool {
	return !p.LastSeen.IsZero() && now.Sub(p.LastSeen) < p.livenessTimeout
}

// membership is the set of known peers. It has no input or output and is not
// safe for concurrent use.
type membership struct {
	self     netip.AddrPort
	selfHash uint64
	peers    map[netip.AddrPort]*Peer
}

// interval returns the time between two digests to one peer. It grows with
// the fleet, so that the messages of one VM grow less than the fleet.
func (m *membership) interval() time.Duration {
	scale := min(maxIntervalScale, max(1, float64(len(m.peers)+1)/scaleFromVMs))
	return time.Duration(scale * float64(exchangeInterval))
}

// due reports whether an exchange with a peer should begin. An exchange tells
// both sides, so one VM of each pair begins it; the other does only after it
// has missed one, or when it is urged to tell something.
func (m *membership) due(p *Peer, triggered bool, now time.Time) bool {
	if !p.Live(now) {
		return now.Sub(p.dialedAt) >= redialInterval
	}
	return triggered || m.initiates(p) || now.Sub(p.LastSeen) > time.Duration(overdueIntervals*float64(m.interval()))
}

// initiates reports whether this VM is the one of a pair that initiates exchanges;
// the sum of the hashes gives every VM about half of its pairs.
func (m *membership) initiates(p *Peer) bool {
	odd := (m.selfHash+p.hash)&1 == 1
	return odd == (m.self.Compare(p.Address) < 0)
}

func newMembership(self netip.AddrPort) *membership {
	return &membership{self: self, selfHash: addressHash(self), peers: make(map[netip.AddrPort]*Peer)}
}

// add notes a member that was told of; what it says itself comes by hear.
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

// receive takes in a peer's own digest. It reports whether the peer is new, has
// started again or was silent before.
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

// forget drops members that have been silent for long, and returns them.
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

func (p *Peer) lastActivity() time.Time {
	if p.LastSeen.After(p.addedAt) {
		return p.LastSeen
	}
	return p.addedAt
}

// hash stands for the addresses of all members.
func (m *membership) hash() uint64 {
	sum := m.selfHash
	for _, p := range m.peers {
		sum += p.hash
	}
	return sum
}

func addressHash(addr netip.AddrPort) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(addr.String())) // a hash takes every write
	return h.Sum64()
}

// list returns all members as this VM knows them, but itself.
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

// sorted returns copies of all peers, by address.
func (m *membership) sorted() []Peer {
	peers := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, *p)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Address.Compare(peers[j].Address) < 0 })
	return peers
}
