package node

import (
	"net/netip"
	"time"

	"fireflypier.example/fireflypier/internal/serving/evacuation"
	"fireflypier.example/fireflypier/internal/serving/target"
)

// dump returns the state of the process for the admin interface, without the
// customers' keys.
func (n *Node) dump() any {
	type member struct {
		Peer        netip.AddrPort `json:"peer"`
		Name        string         `json:"name"`
		Incarnation int64          `json:"incarnation"`
		Ready       bool           `json:"ready"`
		Leaving     bool           `json:"leaving"`
		SilentFor   time.Duration  `json:"silent_for"`
		Fence       int64          `json:"fence,omitzero"`
	}
	now := n.clock.Now()
	state := struct {
		VM             string           `json:"vm"`
		Incarnation    int64            `json:"incarnation"`
		Ready          bool             `json:"ready"`
		Leaving        bool             `json:"leaving"`
		Fence          int64            `json:"fence,omitzero"`
		PolicyVersion  int64            `json:"policy_version"`
		TargetsVersion int64            `json:"targets_version"`
		Hubs           []netip.AddrPort `json:"hubs"`
		Members        []member         `json:"members"`
		Targets        []*target.Target `json:"targets"`
		// Evacuated are the evacuated data centres.
		Evacuated []evacuation.Evacuation `json:"evacuated,omitzero"`
	}{
		VM:             n.Settings.Name,
		Incarnation:    n.incarnation,
		Ready:          n.ready(),
		Leaving:        n.leaving.Load(),
		Fence:          n.election.Fence(),
		Hubs:           n.mesh.Hubs(),
		TargetsVersion: n.targets.ChangedAt(),
		Targets:        n.view.Targets(),
		Evacuated:      n.evacuation.All(),
	}
	if p := n.policy.Load(); p != nil {
		state.PolicyVersion = p.Version
	}
	for _, p := range n.mesh.Peers() {
		m := member{Peer: p.Address, Name: p.Name, Incarnation: p.Incarnation, Ready: p.Ready, Leaving: p.Leaving, Fence: p.Fence}
		if !p.LastSeen.IsZero() {
			m.SilentFor = now.Sub(p.LastSeen)
		}
		state.Members = append(state.Members, m)
	}
	return state
}
