package gateway

import (
	"net/netip"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/gatewaydirectory"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/membership"
)

// entryPoint selects the gateways that callers should use, based on the current
// member list and configuration. It implements callerapi.Gateways.
type entryPoint struct {
	directory  *gatewaydirectory.Directory
	membership *membership.Membership
	adoption   *adoption.Adoption
	dataCentre string
}

func newEntryPoint(m *membership.Membership, a *adoption.Adoption, dataCentre string) *entryPoint {
	return &entryPoint{directory: gatewaydirectory.New(), membership: m, adoption: a, dataCentre: dataCentre}
}

// Addresses implements callerapi.Gateways. If dataCentre is empty, the caller is
// assumed to be in the data centre of this gateway.
func (p *entryPoint) Addresses(customer, dataCentre string) []netip.AddrPort {
	if dataCentre == "" {
		dataCentre = p.dataCentre
	}
	current := p.adoption.Current()
	p.directory.Update(p.membership.Live(member.Gateway), current.Revision(), func() []gatewaydirectory.Customer {
		objects := &current.Snapshot().Objects
		customers := make([]gatewaydirectory.Customer, 0, len(objects.Customers))
		for name, c := range objects.Customers {
			customers = append(customers, gatewaydirectory.Customer{Name: name, TokensPerSecond: objects.Rates[c.Rate].TokensPerSecond})
		}
		return customers
	})
	return p.directory.Addresses(customer, dataCentre)
}
