package gateway

import (
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/limiter"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/rendezvous"
	"fireflypier.example/fireflypier/internal/share"
)

func (g *Gateway) newLimiter() *limiter.Limiter {
	self := g.membership.Self()
	return limiter.New(limiter.Config{
		Clock:          g.clock,
		Logger:         g.logger.Named("rates"),
		Table:          g.platform,
		Peers:          limiter.NewPeers(g.dialer),
		Self:           holderOf(&self),
		Gateways:       g.gatewaysFor,
		VMs:            g.platform,
		CheckAdmission: g.mayAdmit,
	})
}

// mayAdmit returns an error while the gateway must not admit requests: its
// configuration may be stale, or its peer listener is closed, in which case other
// gateways take over its shares.
func (g *Gateway) mayAdmit() error {
	select {
	case <-g.peers.Done():
		return failure.New(failure.Leaving, "the peer listener of the gateway is closed")
	default:
		return g.adoption.Fresh()
	}
}

func holderOf(m *member.Member) share.Holder {
	return share.Holder{Name: m.Name, Incarnation: m.Incarnation, Address: m.PeerAddress, Region: m.Region}
}

// gatewaysFor returns the other live gateways in the rendezvous hashing order of
// the customer, so that its home gateways come first.
func (g *Gateway) gatewaysFor(customer string) []share.Holder {
	self := g.membership.Self()
	byName := map[string]share.Holder{}
	var names []string
	for _, m := range g.membership.Live(member.Gateway) {
		if m.Incarnation != self.Incarnation {
			byName[m.Name] = holderOf(&m)
			names = append(names, m.Name)
		}
	}
	holders := make([]share.Holder, 0, len(names))
	for _, name := range rendezvous.Order(customer, names) {
		holders = append(holders, byName[name])
	}
	return holders
}
