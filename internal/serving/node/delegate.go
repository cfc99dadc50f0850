package node

import (
	"context"

	"fireflypier.example/fireflypier/internal/serving/mesh"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
	"fireflypier.example/fireflypier/internal/serving/storerelay"
	"fireflypier.example/fireflypier/internal/serving/target"
)

// meshDelegate implements mesh.Delegate for a Node.
type meshDelegate struct{ n *Node }

// Digest implements mesh.Delegate.
func (m meshDelegate) Digest() *meshpb.Digest {
	n := m.n
	d := &meshpb.Digest{
		PolicyVersion:  n.policies.ChangedAt(),
		TargetsVersion: n.targets.ChangedAt(),
		StoreFails:     !n.targets.Failing().IsZero(),
		Loads:          n.view.Loads(),
		Fence:          n.election.Fence(),
	}
	for name, use := range n.forward.UsageByCustomer() {
		d.Customers = append(d.Customers, &meshpb.CustomerDemand{Customer: name, PerSecond: float32(use.PerSecond), Admitted: use.Admitted})
	}
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, level := range n.demand.Levels(now) {
		d.Weights = append(d.Weights, &meshpb.WeightsDemand{
			Pool: k.Pool, Model: k.Model, Adapter: k.Adapter,
			TokensPerSecond: float32(level.TokensPerSecond), Waiting: uint32(level.Waiting), IdleMs: uint32(level.Idle.Milliseconds()), Running: uint32(max(0, level.Running)),
		})
	}
	return d
}

// CompleteDigest implements mesh.Delegate. It adds the sends and, if this VM is the leader,
// the inventory entries that the peer has not received yet. It removes the demand
// for weights if the peer does not need it.
func (m meshDelegate) CompleteDigest(d *meshpb.Digest, p *mesh.Peer) {
	n := m.n
	var sendsSeen, inventorySeen int64
	if p.Digest != nil {
		sendsSeen, inventorySeen = p.Digest.GetSendsSeen(), p.Digest.GetInventorySeen()
	}
	d.Sends, d.SendsUpto = n.view.SendsAfter(sendsSeen)
	if !n.needsWeightsDemand(p) {
		d.Weights = nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if d.GetFence() != 0 {
		d.InventoryUpto = n.inventoryVersion
		for id, entry := range n.inventory {
			if _, ok := n.view.Target(id); !ok {
				delete(n.inventory, id)
			} else if entry.version > inventorySeen {
				d.Inventory = append(d.Inventory, entry.wire)
			}
		}
	}
	if s := n.received[p.Address]; s.incarnation == p.Incarnation {
		d.SendsSeen = s.sends
		if s.fence == p.Digest.GetFence() {
			d.InventorySeen = s.inventory
		}
	}
}

// needsWeightsDemand reports whether a peer needs the demand for weights: it is the
// leader, or may become the leader because no leader is known.
func (n *Node) needsWeightsDemand(p *mesh.Peer) bool {
	if p.Digest.GetFence() != 0 {
		return true
	}
	if n.election.Term() != nil {
		return false
	}
	_, elected := n.leader()
	return !elected
}

// received records what this VM has received from a peer: the peer's incarnation and
// fencing token, and the highest versions of its sends and its inventory.
type received struct {
	incarnation, fence int64
	sends, inventory   int64
}

// inventoryEntry lists the models and adapters that an engine holds, from its reports
// and from the orders that this VM sent. version is the inventoryVersion at which the
// entry last changed.
type inventoryEntry struct {
	wire    *meshpb.Inventory
	version int64
}

// DigestReceived implements mesh.Delegate.
func (m meshDelegate) DigestReceived(p *mesh.Peer) {
	n := m.n
	d := p.Digest
	n.view.SetPeerLoads(p.Address.String(), d.GetLoads())
	n.view.AddPeerSends(d.GetSends())
	for _, c := range d.GetCustomers() {
		n.forward.RecordPeerAdmitted(p.Address.String(), p.Incarnation, c.GetCustomer(), c.GetAdmitted())
	}
	now := n.clock.Now()
	n.mu.Lock()
	s := n.received[p.Address]
	if s.incarnation != p.Incarnation {
		s = received{incarnation: p.Incarnation}
	}
	if s.fence != d.GetFence() {
		s.fence, s.inventory = d.GetFence(), 0
	}
	s.sends, s.inventory = max(s.sends, d.GetSendsUpto()), max(s.inventory, d.GetInventoryUpto())
	n.received[p.Address] = s
	n.mu.Unlock()
	if d.GetFence() != 0 {
		n.view.ExtendInventory(now)
	}
	for _, entry := range d.GetInventory() {
		n.view.SetInventory(entry.GetTarget(), entry.GetBorn(), loadedModels(entry), now)
	}
	n.catchUp(p, n.policies, rowstore.Policies, d.GetPolicyVersion())
	n.catchUp(p, n.targets, rowstore.Targets, d.GetTargetsVersion())
}

func loadedModels(entry *meshpb.Inventory) []target.LoadedModel {
	models := make([]target.LoadedModel, 0, len(entry.GetHeld()))
	for _, h := range entry.GetHeld() {
		models = append(models, target.LoadedModel{Model: h.GetModel(), Adapters: h.GetAdapters()})
	}
	return models
}

// Table implements mesh.Delegate for the policies and the targets table.
func (m meshDelegate) Table(t rowstore.Table) (rowstore.Page, int64) {
	feed := m.n.targets
	if t == rowstore.Policies {
		feed = m.n.policies
	}
	return feed.Page(), feed.ChangedAt()
}

// Relay implements mesh.Delegate.
func (m meshDelegate) Relay(ctx context.Context, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error) {
	return storerelay.Serve(ctx, m.n.Store, c)
}

// Need implements mesh.Delegate. The reply has no target if no engine can load the
// adapter now.
func (m meshDelegate) Need(ctx context.Context, r *meshpb.NeedRequest) (*meshpb.NeedReply, error) {
	return &meshpb.NeedReply{Target: m.n.engineControl.LoadAdapter(ctx, r.GetPool(), r.GetModel(), r.GetAdapter())}, nil
}
