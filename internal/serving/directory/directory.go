// Package directory chooses the VM addresses that one VM returns to callers.
package directory

import (
	"net/netip"

	"fireflypier.example/fireflypier/internal/rendezvous"
)

// maxAddresses is the maximum number of addresses that a caller reads from one
// answer.
const maxAddresses = 64

// Directory chooses the addresses in the answers of one VM. It has no mutable
// state, so its methods are safe for concurrent use.
type Directory struct {
	self netip.AddrPort
}

// New returns the directory of the VM that callers reach at self.
func New(self netip.AddrPort) *Directory { return &Directory{self: self} }

// Addresses returns the addresses for an answer, chosen from those of the serving
// VMs. If a site has more VMs than an answer holds, rendezvous hashing selects a
// subset that differs from VM to VM, so that callers reach all of them, and that
// stays nearly the same when VMs join or leave, so that callers keep their
// connections.
func (d *Directory) Addresses(serving []netip.AddrPort) []netip.AddrPort {
	if len(serving) <= maxAddresses {
		return serving
	}
	byName := make(map[string]netip.AddrPort, len(serving))
	names := make([]string, 0, len(serving))
	for _, a := range serving {
		byName[a.String()] = a
		names = append(names, a.String())
	}
	chosen := make([]netip.AddrPort, 0, maxAddresses)
	for _, name := range rendezvous.Order(d.self.String(), names)[:maxAddresses] {
		chosen = append(chosen, byName[name])
	}
	return chosen
}
