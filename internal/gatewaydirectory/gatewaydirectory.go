// Package gatewaydirectory tells callers which gateways to use: the nearest that are
// fit to serve them, a customer's home gateways first.
package gatewaydirectory

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"fireflypier.example/fireflypier/internal/member"
)

// Directory chooses among the live gateways. Its methods may be called at the
// same time.
type Directory struct {
	mu        sync.Mutex
	revision  int64
	gateways  []member.Member
	homes     map[string]map[string][]string
	regions   map[string]string
	rotations uint64
}

// New returns an entry that knows no gateway.
func New() *Directory { return &Directory{} }

// Update gives the entry the live gateways and the customers of a revision.
// It works out the homes only when something changed; customers is called
// only then.
func (d *Directory) Update(gateways []member.Member, revision int64, customers func() []Customer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision == d.revision && slices.EqualFunc(gateways, d.gateways, sameGateway) {
		return
	}
	d.revision = revision
	d.gateways = gateways
	d.homes = map[string]map[string][]string{}
	d.regions = map[string]string{}
	byDataCentre := map[string][]string{}
	for _, g := range gateways {
		byDataCentre[g.DataCentre] = append(byDataCentre[g.DataCentre], g.Name)
		d.regions[g.DataCentre] = g.Region
	}
	all := customers()
	for dataCentre, names := range byDataCentre {
		d.homes[dataCentre] = assign(names, all)
	}
}

func sameGateway(a, b member.Member) bool {
	return a.Name == b.Name && a.DataCentre == b.DataCentre && a.Address == b.Address
}

// Homes returns the names of a customer's home gateways in a data centre.
func (d *Directory) Homes(customer, dataCentre string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.homes[dataCentre][customer]
}

// ranked is a gateway with its place in an answer; lower is better.
type ranked struct {
	address  netip.AddrPort
	distance int
	rotation int
}

// Distances of a gateway from a caller.
const (
	homeInDataCentre = iota
	homeInRegion
	inDataCentre
	inRegion
	elsewhere
)

// Addresses returns the addresses that callers of a customer in a data
// centre should use, best first. Equally good ones are rotated from call to
// call. An empty customer has no homes.
func (d *Directory) Addresses(customer, dataCentre string) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotations++
	list := make([]ranked, 0, len(d.gateways))
	for i, g := range d.gateways {
		list = append(list, ranked{
			address:  g.Address,
			distance: d.distance(&g, customer, dataCentre),
			rotation: (i + int(d.rotations)) % len(d.gateways),
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.rotation, b.rotation))
	})
	addresses := make([]netip.AddrPort, len(list))
	for i, r := range list {
		addresses[i] = r.address
	}
	return addresses
}

func (d *Directory) distance(g *member.Member, customer, dataCentre string) int {
	home := slices.Contains(d.homes[g.DataCentre][customer], g.Name)
	near := g.DataCentre == dataCentre
	region := g.Region == d.regions[dataCentre]
	switch {
	case home && near:
		return homeInDataCentre
	case home && region:
		return homeInRegion
	case near:
		return inDataCentre
	case region:
		return inRegion
	}
	return elsewhere
}
