package mesh

import (
	"net/netip"
	"sort"
	"time"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
)

const (
	// liveFor is how long a member counts as live after its last word: four
	// exchanges, so that three lost ones in a row remove nobody.
	liveFor = 4 * exchangeInterval
	// forgetAfter is how long a silent member still counts in the divisions
	// of rates and retry budgets; a restart takes a few seconds.
	forgetAfter = 30 * time.Second
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
	// Heard is when it last spoke; zero if it never did.
	Heard time.Time
	// Digest is its last word; nil if it never spoke.
	Digest *meshpb.Digest

	added  time.Time
	dialed time.Time
}

// Live reports whether the peer has spoken lately.
func (p *Peer) Live(now time.Time) bool {
	return !p.Heard.IsZero() && now.Sub(p.Heard) < liveFor
}

// membership is the set of known peers. It has no input or output and is not
// safe for concurrent use.
type membership struct {
	self  netip.AddrPort
	peers map[netip.AddrPort]*Peer
}

func newMembership(self netip.AddrPort) *membership {
	return &membership{self: self, peers: make(map[netip.AddrPort]*Peer)}
}

// add notes a member that was told of; what it says itself comes by hear.
func (m *membership) add(w *meshpb.Member, now time.Time) *Peer {
	addr, err := netip.ParseAddrPort(w.GetPeer())
	if err != nil || addr == m.self {
		return nil
	}
	p := m.peers[addr]
	if p == nil {
		p = &Peer{Address: addr, added: now}
		m.peers[addr] = p
	}
	if w.GetIncarnation() > p.Incarnation {
		p.set(w)
	}
	return p
}

// hear takes in a peer's own digest. It reports whether the peer is new, has
// started again or was silent before.
func (m *membership) hear(d *meshpb.Digest, now time.Time) (p *Peer, returned bool) {
	for _, w := range d.GetKnown() {
		m.add(w, now)
	}
	p = m.add(d.GetSelf(), now)
	if p == nil || d.GetSelf().GetIncarnation() < p.Incarnation {
		return nil, false
	}
	returned = !p.Live(now)
	p.set(d.GetSelf())
	p.Heard, p.Digest = now, d
	return p, returned
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
		if now.Sub(p.lastSign()) > forgetAfter {
			delete(m.peers, addr)
			gone = append(gone, addr)
		}
	}
	return gone
}

func (p *Peer) lastSign() time.Time {
	if p.Heard.After(p.added) {
		return p.Heard
	}
	return p.added
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
