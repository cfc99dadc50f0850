package node

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/targetlimit"
)

const (
	// substituteShare is the share of a target's limit that a VM reserves while the
	// target's own lender is live: some VMs may still reach that one.
	substituteShare = 0.25
	// controlWait is the longest time for which a report or an order waits until the
	// limit of its target allows it. It is longer than that of requests, so that a
	// target in demand still gets them.
	controlWait = 2 * time.Second
)

// lenders returns the VMs that reserve calls to a target, in the order in which they are
// asked: the hubs, the same for all VMs. A VM that leaves is not one of them.
func (n *Node) lenders(targetID string) []netip.AddrPort {
	order := n.hubOrder(targetID)
	if !n.leaving.Load() || len(order) == 1 {
		return order
	}
	return slices.DeleteFunc(order, func(hub netip.AddrPort) bool { return hub == n.Settings.Peer })
}

// reserve implements forward.Config.Reserve: it reserves a call at the target's lender, or
// at the next one if that does not answer.
func (n *Node) reserve(ctx context.Context, t *target.Target, l target.Limit, maxWait time.Duration) (wait time.Duration, reserved bool, asked time.Time, err error) {
	r := &meshpb.ReserveRequest{Target: t.ID, Born: t.Born, PerSecond: l.PerSecond, Steady: l.Steady, MaxWaitMs: maxWait.Milliseconds()}
	order := n.lenders(t.ID)
	err = askLenders(order, func(lender netip.AddrPort) (err error) {
		asked = n.clock.Now()
		if lender == n.Settings.Peer {
			wait, reserved = n.lendCall(r, order)
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
		defer cancel()
		reply, err := n.mesh.Reserve(ctx, lender, r)
		wait, reserved = time.Duration(reply.GetWaitMs())*time.Millisecond, reply.GetReserved()
		return err
	})
	return wait, reserved, asked, err
}

// lendCall reserves a call to a target for any VM; order has the target's lenders.
func (n *Node) lendCall(r *meshpb.ReserveRequest, order []netip.AddrPort) (wait time.Duration, reserved bool) {
	return n.limiter.Reserve(&targetlimit.Call{
		Target:  r.GetTarget(),
		Born:    r.GetBorn(),
		Limit:   target.Limit{Named: true, PerSecond: r.GetPerSecond(), Steady: r.GetSteady()},
		Share:   n.lenderShare(order, r.GetSteady()),
		MaxWait: time.Duration(r.GetMaxWaitMs()) * time.Millisecond,
	}, n.clock.Now())
}

// lenderShare returns the share of a target's limit that this VM may reserve; order has the
// target's lenders. Where a part of the VMs is cut off from the others, both parts may have
// a lender: the smaller one gets a share in proportion to its VMs.
// For a steady limit, a VM that does not know the others yet assumes some.
func (n *Node) lenderShare(order []netip.AddrPort, steady bool) float64 {
	live, silent := n.mesh.Count()
	if steady && !n.joined.Load() {
		silent = max(silent, assumedPeers-live)
	}
	reachable := float64(1+live) / float64(1+live+silent)
	if reachable > 0.5 {
		reachable = 1
	}
	if !slices.Contains(order[:min(1, len(order))], n.Settings.Peer) {
		return reachable * substituteShare
	}
	return reachable
}

// observeEngine implements enginecontrol.Config.Observe.
func (n *Node) observeEngine(t *target.Target, m *target.Marks, sent time.Time) {
	n.forward.ObserveMarks(t, m, sent, "report", func(time.Time) hclog.Logger { return n.Logger })
}

// permitCall implements enginecontrol.Config.Permit.
func (n *Node) permitCall(ctx context.Context, t *target.Target) (wait time.Duration, ok bool) {
	wait, ok, _, err := n.reserve(ctx, t, n.view.Limit(t.ID, t.Born), controlWait)
	if err != nil {
		n.Logger.Info("call to an engine with a limit not reserved", "engine", t.ID, "error", err)
	}
	return wait, ok
}
