// Package gatewaydirectory ranks the live gateways for callers: by distance, and with
// the home gateways of the customer first.
package gatewaydirectory

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"fireflypier.example/fireflypier/internal/member"
)

// Directory ranks the live gateways. Its methods are safe for concurrent use.
type Directory struct {
	mu        sync.Mutex
	revision  int64
	gateways  []member.Member
	homes     map[string]map[string][]string
	regions   map[string]string
	rotations uint64
}

// New returns a directory without gateways.
func New() *Directory { return &Directory{} }

// Update sets the live gateways and the customers of a configuration revision. It
// assigns the homes again, and calls customers, only if the gateways or the revision
// have changed.
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

// Homes returns the names of the home gateways of a customer in a data centre, in
// order of preference.
func (d *Directory) Homes(customer, dataCentre string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.homes[dataCentre][customer]
}

// ranked is a gateway with its sort keys; lower values come first.
type ranked struct {
	address  netip.AddrPort
	distance int
	rotation int
}

// Distances of a gateway from a caller, the nearest first.
const (
	homeInDataCentre = iota
	homeInRegion
	inDataCentre
	inRegion
	elsewhere
)

// Addresses returns the addresses of all live gateways in order of preference for
// callers of a customer in a data centre. Gateways at the same distance are rotated
// from call to call. If customer is empty, no gateway counts as a home.
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
	sameDataCentre := g.DataCentre == dataCentre
	sameRegion := g.Region == d.regions[dataCentre]
	switch {
	case home && sameDataCentre:
		return homeInDataCentre
	case home && sameRegion:
		return homeInRegion
	case sameDataCentre:
		return inDataCentre
	case sameRegion:
		return inRegion
	}
	return elsewhere
}
