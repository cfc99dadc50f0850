// Package member describes the processes of the fleet.
package member

import (
	"net/netip"
	"time"
)

// Role tells gateways from controllers.
type Role string

// The roles.
const (
	Gateway    Role = "gateway"
	Controller Role = "controller"
)

// State tells whether a member takes new work.
type State string

// The states of a member.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Member is one incarnation of a process.
type Member struct {
	// Name is the process's name from its settings.
	Name string `json:"name"`
	// Incarnation is unique to each start of the process.
	Incarnation string `json:"incarnation"`
	// Role, Region and DataCentre describe the process.
	Role       Role   `json:"role"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Address is for callers of a gateway or operators of a controller.
	Address netip.AddrPort `json:"address"`
	// PeerAddress is for the other processes.
	PeerAddress netip.AddrPort `json:"peer_address"`
	// State is live or leaving.
	State State `json:"state"`
	// Started is when the process started.
	Started time.Time `json:"started"`
	// Joined is the version of the member list that first names the
	// incarnation.
	Joined int64 `json:"joined,omitzero"`
}
