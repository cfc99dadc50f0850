// Package vmlist defines the interface of the platform's list of VMs. The list may
// be outdated or unavailable, so treat it as a hint.
package vmlist

import (
	"context"
	"net/netip"
)

// State is the state of a VM.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is an entry of the list. A VM that is not listed no longer exists.
type VM struct {
	// Name is the name of the VM on the platform.
	Name string `json:"name"`
	// Address is the IP address of the VM.
	Address netip.Addr `json:"address"`
	// State is Live or Leaving; a leaving VM is about to be removed.
	State State `json:"state"`
}

// List is the platform's list of VMs.
type List interface {
	// VMs returns the current list. The error is StoreUnavailable if the platform
	// is unavailable.
	VMs(ctx context.Context) ([]VM, error)
}
