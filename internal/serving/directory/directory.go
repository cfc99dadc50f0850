// Package directory chooses the VMs that a VM's answers name to callers.
package directory

import (
	"net/netip"

	"fireflypier.example/fireflypier/internal/rendezvous"
)

// most is the number of addresses that a caller takes from one answer.
const most = 64

// Directory chooses for the answers of one VM. It holds no state; its methods
// may be called at the same time.
type Directory struct {
	self netip.AddrPort
}

// New returns the directory of the VM whose address for callers is self.
func New(self netip.AddrPort) *Directory { return &Directory{self: self} }

// Addresses returns whom an answer names among the VMs that serve. A site with
// more VMs than an answer holds is divided by rendezvous hashing: each VM
// names others, so that callers reach all, and goes on naming the same ones, so
// that callers keep their connections.
func (d *Directory) Addresses(serving []netip.AddrPort) []netip.AddrPort {
	if len(serving) <= most {
		return serving
	}
	byName := make(map[string]netip.AddrPort, len(serving))
	names := make([]string, 0, len(serving))
	for _, a := range serving {
		byName[a.String()] = a
		names = append(names, a.String())
	}
	chosen := make([]netip.AddrPort, 0, most)
	for _, name := range rendezvous.Order(d.self.String(), names)[:most] {
		chosen = append(chosen, byName[name])
	}
	return chosen
}
