package node

import (
	"context"
	"time"

	"fireflypier.example/fireflypier/internal/serving/fleetsum"
	"fireflypier.example/fireflypier/internal/serving/mesh"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
	"fireflypier.example/fireflypier/internal/serving/storerelay"
	"fireflypier.example/fireflypier/internal/serving/target"
)

// meshDelegate implements mesh.Delegate for a Node.
type meshDelegate struct{ n *Node }

// Digest implements mesh.Delegate.
func (m meshDelegate) Digest(p *mesh.Peer, relation meshpb.Relation) *meshpb.Digest {
	n := m.n
	n.announce()
	policyVersion, policyAge := n.policies.News()
	targetsVersion, targetsAge := n.targets.News()
	d := &meshpb.Digest{
		PolicyVersion: policyVersion, PolicyAgeMs: policyAge.Milliseconds(),
		TargetsVersion: targetsVersion, TargetsAgeMs: targetsAge.Milliseconds(),
	}
	d.WantsWeights = n.wantsWeights()
	seen := n.seenBy(p)
	d.Sends, d.SendsUpto = n.view.SendsAfter(seen.sends, relation == meshpb.Relation_RELATION_TOTALS)
	d.Marks, d.MarksUpto = n.view.MarksAfter(seen.marks, n.clock.Now())
	d.Suspects, d.SuspectsUpto = n.quarantine.NewsAfter(seen.suspects, n.clock.Now())
	n.fleet.fill(d, p.Address, relation, seen.wantsWeights || relation == meshpb.Relation_RELATION_REPORT, n.clock.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	d.InventoryUpto = n.inventoryVersion
	for id, entry := range n.inventory {
		if _, ok := n.view.Target(id); !ok {
			delete(n.inventory, id)
		} else if entry.version > seen.inventory {
			d.Inventory = append(d.Inventory, entry.wire)
		}
	}
	if s := n.received[p.Address]; s.incarnation == p.Incarnation {
		d.SendsSeen, d.InventorySeen, d.MarksSeen, d.SuspectsSeen = s.sends, s.inventory, s.marks, s.suspects
	}
	return d
}

// ownSummary returns the state of this VM alone.
func (n *Node) ownSummary() *meshpb.Summary {
	s := &meshpb.Summary{Loads: n.view.Loads()}
	for name, use := range n.forward.UsageByCustomer() {
		s.Customers = append(s.Customers, &meshpb.CustomerDemand{Customer: name, PerSecond: float32(use.PerSecond), Admitted: use.Admitted})
	}
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, level := range n.demand.Levels(now) {
		s.Weights = append(s.Weights, fleetsum.EncodeWeights(k, level))
	}
	return s
}

// wantsWeights reports whether this VM needs the demand for weights from its peers:
// it is the leader, or may become the leader because none is known, or a VM that
// reports to it needs it.
func (n *Node) wantsWeights() bool {
	if n.election.Term() != nil {
		return true
	}
	if _, elected := n.leader(); !elected {
		return true
	}
	return n.fleet.wanted(n.clock.Now())
}

// received records what this VM has received from a peer: the peer's incarnation, the
// highest versions of its sends, its inventory, its marks and its suspects, and what the peer
// has received and wants.
type received struct {
	incarnation                       int64
	sends, inventory, marks, suspects int64
	peer                              seen
}

// seen is what a peer has received of this VM's sends, inventory, marks and suspects, and
// whether it needs the demand for weights.
type seen struct {
	sends, inventory, marks, suspects int64
	wantsWeights                      bool
}

func (n *Node) seenBy(p *mesh.Peer) seen {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.received[p.Address]; s.incarnation == p.Incarnation {
		return s.peer
	}
	return seen{}
}

// inventoryEntry lists the models and adapters that an engine holds. version is the
// inventoryVersion at which this VM last received or made a change of it.
type inventoryEntry struct {
	wire    *meshpb.Inventory
	version int64
}

// newer reports whether an entry replaces another one of the same engine.
func newer(a, b *meshpb.Inventory) bool {
	if a.GetFence() != b.GetFence() {
		return a.GetFence() > b.GetFence()
	}
	return a.GetVersion() > b.GetVersion()
}

// DigestReceived implements mesh.Delegate.
func (m meshDelegate) DigestReceived(p *mesh.Peer, d *meshpb.Digest) {
	n := m.n
	now := n.clock.Now()
	n.view.AddPeerSends(d.GetSends(), d.GetRelation() == meshpb.Relation_RELATION_REPORT)
	if err := n.fleet.receive(p, d, now); err != nil {
		n.Logger.Warn("totals cannot be read", "peer", p.Address, "error", err)
	}
	n.quarantine.Merge(d.GetSuspects(), now)
	for _, leaving := range n.view.MergeMarks(d.GetMarks(), now) {
		n.Logger.Info("target leaves", "target", leaving.GetTarget(), "born", leaving.GetBorn(), "source", p.Address)
	}
	n.mergeCold(d.GetMarks(), p.Address.String(), now)
	n.applyOthers(now)
	n.mu.Lock()
	s := n.received[p.Address]
	if s.incarnation != p.Incarnation {
		s = received{incarnation: p.Incarnation}
	}
	s.sends, s.inventory = max(s.sends, d.GetSendsUpto()), max(s.inventory, d.GetInventoryUpto())
	s.marks, s.suspects = max(s.marks, d.GetMarksUpto()), max(s.suspects, d.GetSuspectsUpto())
	s.peer = seen{
		sends: d.GetSendsSeen(), inventory: d.GetInventorySeen(), marks: d.GetMarksSeen(), suspects: d.GetSuspectsSeen(),
		wantsWeights: d.GetWantsWeights(),
	}
	n.received[p.Address] = s
	var changed []*meshpb.Inventory
	for _, entry := range d.GetInventory() {
		if old, ok := n.inventory[entry.GetTarget()]; !ok || newer(entry, old.wire) {
			n.inventoryVersion++
			n.inventory[entry.GetTarget()] = inventoryEntry{wire: entry, version: n.inventoryVersion}
			changed = append(changed, entry)
		}
	}
	n.mu.Unlock()
	for _, entry := range changed {
		n.view.SetInventory(entry.GetTarget(), entry.GetBorn(), loadedModels(entry), comingModels(entry), now)
	}
	if d.GetPolicyVersion() <= n.policies.ChangedAt() {
		n.fresh.Heard(now)
	}
	n.policies.Confirm(p.Address, d.GetPolicyVersion(), time.Duration(d.GetPolicyAgeMs())*time.Millisecond)
	n.targets.Confirm(p.Address, d.GetTargetsVersion(), time.Duration(d.GetTargetsAgeMs())*time.Millisecond)
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

func comingModels(entry *meshpb.Inventory) []target.ComingModel {
	models := make([]target.ComingModel, 0, len(entry.GetComing()))
	for _, c := range entry.GetComing() {
		models = append(models, target.ComingModel{Model: c.GetModel(), Remaining: time.Duration(c.GetRemainingMs()) * time.Millisecond})
	}
	return models
}

// Changes implements mesh.Delegate for the policies and the targets table.
func (m meshDelegate) Changes(t rowstore.Table, above int64) rowstore.Copy {
	if t == rowstore.Policies {
		return m.n.policies.Changes(above)
	}
	return m.n.targets.Changes(above)
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

// Reserve implements mesh.Delegate.
func (m meshDelegate) Reserve(r *meshpb.ReserveRequest) *meshpb.ReserveReply {
	wait, reserved := m.n.lendCall(r, m.n.lenders(r.GetTarget()))
	return &meshpb.ReserveReply{Reserved: reserved, WaitMs: wait.Milliseconds()}
}

// Borrow implements mesh.Delegate.
func (m meshDelegate) Borrow(r *meshpb.BorrowRequest) *meshpb.BorrowReply {
	ok, after := m.n.forward.Lend(r.GetCustomer(), r.GetCost())
	return &meshpb.BorrowReply{Granted: ok, AfterMs: after.Milliseconds()}
}
