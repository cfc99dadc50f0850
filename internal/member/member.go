// Package member describes the processes of the fleet.
package member

import (
	"net/netip"
	"time"
)

// Role is the kind of process that a member is.
type Role string

// The roles of a member.
const (
	Gateway    Role = "gateway"
	Controller Role = "controller"
)

// State reports whether a member accepts new work.
type State string

// The states of a member.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Member is one incarnation of a process.
type Member struct {
	// Name is the name of the process in its settings.
	Name string `json:"name"`
	// Incarnation is unique to each start of the process.
	Incarnation string `json:"incarnation"`
	// Role, Region and DataCentre describe the process and its location.
	Role       Role   `json:"role"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Address is where callers reach a gateway or operators a controller.
	Address netip.AddrPort `json:"address"`
	// PeerAddress is where the other processes of the fleet connect.
	PeerAddress netip.AddrPort `json:"peer_address"`
	// State is Live, or Leaving once the process accepts no new work.
	State State `json:"state"`
	// Started is when the process started.
	Started time.Time `json:"started"`
	// Joined is the first version of the member list that contains the
	// incarnation.
	Joined int64 `json:"joined,omitzero"`
}
