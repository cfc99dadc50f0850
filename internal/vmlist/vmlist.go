// Package vmlist is the interface to the platform's list of VMs. The list
// lags behind and may be out; it is a hint.
package vmlist

import (
	"context"
	"net/netip"
)

// State is what the platform says of a VM.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one entry of the list. A VM that is not listed is gone.
type VM struct {
	// Name is the platform's name of the VM.
	Name string `json:"name"`
	// Address is the VM's address.
	Address netip.Addr `json:"address"`
	// State tells live from leaving VMs.
	State State `json:"state"`
}

// List is the platform's list of VMs.
type List interface {
	// VMs returns the list as the platform knows it now; an outage gives a
	// failure of kind StoreUnavailable.
	VMs(ctx context.Context) ([]VM, error)
}
