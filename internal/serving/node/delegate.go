package node

import (
	"context"

	"fireflypier.example/fireflypier/internal/serving/mesh"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
	"fireflypier.example/fireflypier/internal/serving/storerelay"
	"fireflypier.example/fireflypier/internal/serving/target"
)

// meshDelegate is the node's side of the exchange between VMs.
type meshDelegate struct{ n *Node }

// Digest implements mesh.Delegate.
func (l meshDelegate) Digest() *meshpb.Digest {
	n := l.n
	d := &meshpb.Digest{
		PolicyVersion:  n.policies.ChangedAt(),
		TargetsVersion: n.targets.ChangedAt(),
		StoreFails:     !n.targets.Failing().IsZero(),
		Loads:          n.view.Loads(),
		Fence:          n.leaderElection.Fence(),
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

// Address implements mesh.Delegate: it adds what the peer has not seen yet.
func (l meshDelegate) Address(d *meshpb.Digest, p *mesh.Peer) {
	n := l.n
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

// needsWeightsDemand reports whether a peer places weights, or may do so next since no VM
// is known to hold the order duty. Only such a peer needs the demand for them.
func (n *Node) needsWeightsDemand(p *mesh.Peer) bool {
	if p.Digest.GetFence() != 0 {
		return true
	}
	if n.leaderElection.Term() != nil {
		return false
	}
	_, held := n.leader()
	return !held
}

// received is what this VM has of a peer.
type received struct {
	incarnation, fence int64
	sends, inventory   int64
}

// inventoryEntry is what an engine holds, by this VM's own orders and reports.
type inventoryEntry struct {
	wire    *meshpb.Inventory
	version int64
}

// DigestReceived implements mesh.Delegate.
func (l meshDelegate) DigestReceived(p *mesh.Peer) {
	n := l.n
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

// Table implements mesh.Delegate.
func (l meshDelegate) Table(t rowstore.Table) (rowstore.Page, int64) {
	feed := l.n.targets
	if t == rowstore.Policies {
		feed = l.n.policies
	}
	return feed.Page(), feed.ChangedAt()
}

// Relay implements mesh.Delegate.
func (l meshDelegate) Relay(ctx context.Context, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error) {
	return storerelay.Serve(ctx, l.n.Store, c)
}

// Need implements mesh.Delegate.
func (l meshDelegate) Need(ctx context.Context, r *meshpb.NeedRequest) (*meshpb.NeedReply, error) {
	return &meshpb.NeedReply{Target: l.n.engineControl.LoadAdapter(ctx, r.GetPool(), r.GetModel(), r.GetAdapter())}, nil
}
