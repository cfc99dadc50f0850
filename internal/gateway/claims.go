package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/claim"
	"fireflypier.example/fireflypier/internal/member"
)

func (g *Gateway) newClaims(self member.Member, registry *prometheus.Registry) *claim.Claims {
	cfg := &g.cfg.Requests
	holder := claim.Holder{Name: self.Name, Incarnation: self.Incarnation}
	return claim.New(g.platform, holder, g.clock, g.logger,
		claim.WithDispatchWindow(cfg.DispatchWindow),
		claim.WithMetrics(registry),
		claim.WithRetention(cfg.ClaimRetention),
		claim.WithWritesPerSecond(cfg.ClaimWritesPerSecond),
		claim.WithMembers(g.hasSuccessor, func() int { return len(g.membership.Live(member.Gateway)) }))
}

// hasSuccessor reports whether another incarnation of the holder has registered,
// which proves that the holder's process has ended.
func (g *Gateway) hasSuccessor(h claim.Holder) bool {
	for _, m := range g.membership.All() {
		if m.Role == member.Gateway && m.Name == h.Name {
			return m.Incarnation != h.Incarnation
		}
	}
	return false
}
