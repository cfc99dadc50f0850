package gateway

import (
	"net/netip"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/entry"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/membership"
)

// entryPoint answers which gateways callers should use, from the members and
// the configuration known now. It implements callerapi.Gateways.
type entryPoint struct {
	entry      *entry.Entry
	membership *membership.Membership
	adoption   *adoption.Adoption
	dataCentre string
}

func newEntryPoint(m *membership.Membership, a *adoption.Adoption, dataCentre string) *entryPoint {
	return &entryPoint{entry: entry.New(), membership: m, adoption: a, dataCentre: dataCentre}
}

// Addresses implements callerapi.Gateways. A caller that names no data centre is
// taken to be in this gateway's.
func (p *entryPoint) Addresses(customer, dataCentre string) []netip.AddrPort {
	if dataCentre == "" {
		dataCentre = p.dataCentre
	}
	current := p.adoption.Current()
	p.entry.Update(p.membership.Live(member.Gateway), current.Revision(), func() []entry.Customer {
		objects := &current.Snapshot().Objects
		customers := make([]entry.Customer, 0, len(objects.Customers))
		for name, c := range objects.Customers {
			customers = append(customers, entry.Customer{Name: name, TokensPerSecond: objects.Rates[c.Rate].TokensPerSecond})
		}
		return customers
	})
	return p.entry.Addresses(customer, dataCentre)
}
