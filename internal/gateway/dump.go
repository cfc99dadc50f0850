package gateway

import (
	"time"

	"fireflypier.example/fireflypier/internal/assigner"
	"fireflypier.example/fireflypier/internal/claim"
	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/share"
)

// dump returns the body of GET /dump. It contains no keys of customers.
func (g *Gateway) dump() any {
	age, vouched := g.adoption.Age()
	members := g.adoption.Members()
	return struct {
		Self          member.Member `json:"self"`
		Revision      int64         `json:"revision"`
		MemberVersion int64         `json:"member_version"`
		// SettledMemberVersion is the version from which on an edit needs the majority of
		// the gateways of each list.
		SettledMemberVersion int64                  `json:"settled_member_version"`
		Digest               string                 `json:"digest"`
		Vouched              bool                   `json:"vouched"`
		VouchedAge           time.Duration          `json:"vouched_age"`
		Members              []member.Member        `json:"members"`
		Shares               map[string]share.State `json:"shares"`
		EngineViews          []engineview.View      `json:"engine_views"`
		Claims               claim.State            `json:"claims"`
		Ejected              []string               `json:"ejected_targets"`
		CallerAddress        string                 `json:"caller_address"`
		Schedule             assigner.State         `json:"schedule"`
	}{
		Self:                 g.membership.Self(),
		Revision:             g.adoption.Current().Revision(),
		MemberVersion:        members.Version,
		SettledMemberVersion: members.Settled,
		Digest:               g.adoption.Current().Digest(),
		Vouched:              vouched,
		VouchedAge:           age,
		Members:              g.membership.All(),
		Shares:               g.limiter.Shares(),
		EngineViews:          g.views.All(),
		Claims:               g.claims.State(),
		Ejected:              g.ejected.All(),
		CallerAddress:        g.Addr().String(),
		Schedule:             g.scheduler.State(),
	}
}
