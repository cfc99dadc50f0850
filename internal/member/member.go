// Package member describes the processes of the fleet and how they register
// in the table.
package member

import (
	"net/netip"
	"time"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/table"
)

// RowPrefix begins the key of every member row.
const RowPrefix = "member/"

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
	// Heartbeat is when the member last wrote its row.
	Heartbeat time.Time `json:"heartbeat"`
}

// RowKey returns the key of the member's row. A restarted process writes
// the row of its predecessor.
func (m *Member) RowKey() string { return RowPrefix + string(m.Role) + "/" + m.Name }

// Encode returns the content of the member's row.
func (m *Member) Encode() ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode member")
	}
	return data, nil
}

// Decode reads the content of a member's row.
func Decode(row table.Row) (Member, error) {
	var m Member
	if err := json.Unmarshal(row.Value, &m); err != nil {
		return Member{}, failure.Wrap(failure.Internal, err, "decode member row %s", row.Key)
	}
	return m, nil
}
