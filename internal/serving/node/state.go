package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"fireflypier.example/fireflypier/internal/serving/mesh"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
	"fireflypier.example/fireflypier/internal/serving/tablefeed"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

const (
	// updateInterval is the time between two divisions of the rates.
	updateInterval = 300 * time.Millisecond
	// assumedPeers is the number of other VMs that a VM assumes until it has
	// read the list of members.
	assumedPeers = 12
	// fetchDelay is the time that this VM's own reading of the store is given
	// before it takes a change from a peer.
	// farFetchDelay is that for a peer in another data centre, where bytes
	// cost.
	fetchDelay    = 120 * time.Millisecond
	crossDataCentreFetchDelay = 450 * time.Millisecond
)

// policyChanged puts a new configuration in force; the last good one stays if
// it cannot be read.
func (n *Node) policyChanged(rows []rowstore.Row) {
	for _, r := range rows {
		if r.Key != rowstore.PolicyKey || r.Deleted {
			continue
		}
		p, err := n.DecodePolicy(r.Value)
		if err != nil {
			n.Logger.Error("configuration cannot be read, the last one stays", "row_version", r.Version, "error", err)
			continue
		}
		if old := n.policy.Load(); old != nil && old.Version >= p.Version {
			continue
		}
		n.policy.Store(p)
		n.forward.PolicyLoaded()
		n.Logger.Info("configuration in force", "version", p.Version, "row_version", r.Version,
			"routes", len(p.Routes), "pools", len(p.Pools), "customers", len(p.Customers))
		n.notifyPeers()
	}
	n.announce()
}

func (n *Node) targetsChanged(rows []rowstore.Row) {
	for _, r := range rows {
		if r.Deleted {
			n.view.Remove(r.Key)
			n.Logger.Info("target gone", "target", r.Key)
			n.notifyPeers()
			continue
		}
		t, err := n.DecodeTarget(r.Key, r.Value)
		if err != nil {
			n.Logger.Warn("target row left out", "target", r.Key, "row_version", r.Version, "error", err)
			n.view.Remove(r.Key)
			continue
		}
		fresh := n.view.Set(t)
		if t.Draining {
			n.notifyPeers()
		}
		n.Logger.Info("target", "target", r.Key, "pool", t.Pool, "address", t.Address, "draining", t.Draining,
			"born", t.Born, "new", fresh, "row_version", r.Version, "models", len(t.Weights.Models))
	}
	n.announce()
}

// notifyPeers tells the other VMs at once of a change that has a deadline, if this
// VM is one that reads the store for them.
func (n *Node) notifyPeers() {
	if n.mesh != nil && n.readsStore() {
		n.mesh.TriggerExchange()
	}
}

func (n *Node) announce() {
	if n.mesh != nil {
		n.mesh.Announce(n.ready(), n.leaving.Load())
	}
}

// updateLoop divides the rates anew by what peers have told.
func (n *Node) updateLoop(ctx context.Context) {
	n.forward.SetPeerDemand(nil, 0, assumedPeers)
	ticker := n.clock.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
		n.announce()
		now := n.clock.Now()
		demand := make(map[string]float64)
		live, silent := 0, 0
		for _, p := range n.mesh.Peers() {
			if !p.Live(now) {
				silent++
				n.view.SetPeerLoads(p.Address.String(), nil)
				continue
			}
			live++
			for _, c := range p.Digest.GetCustomers() {
				demand[c.GetCustomer()] += float64(c.GetPerSecond())
			}
		}
		if !n.joined.Load() {
			silent = max(silent, assumedPeers-live)
		}
		n.forward.SetPeerDemand(demand, live, silent)
		if n.leaderElection.Term() != nil {
			n.engineControl.RecordAdapterUse(n.totalDemand())
		}
	}
}

// maxCandidates bounds the VMs that look for a free order duty, so that
// the calls do not grow with the fleet.
const maxCandidates = 4

// candidate reports whether this VM should try to take the order duty: no live
// peer holds it.
func (n *Node) candidate() (ok bool, rank int) {
	if n.policy.Load() == nil || n.leaving.Load() {
		return false, 0
	}
	if _, held := n.leader(); held {
		return false, 0
	}
	n.mesh.Live(func(p *mesh.Peer) {
		if p.Ready && p.Address.Compare(n.Settings.Peer) < 0 {
			rank++
		}
	})
	return rank < maxCandidates, rank
}

// leader returns the live peer that holds the order duty.
func (n *Node) leader() (addr netip.AddrPort, ok bool) {
	var fence int64
	n.mesh.Live(func(p *mesh.Peer) {
		if p.Digest.GetFence() > fence {
			addr, fence = p.Address, p.Digest.GetFence()
		}
	})
	return addr, fence > 0
}

// totalDemand adds up the demand of all live VMs.
func (n *Node) totalDemand() map[weightsdemand.Key]weightsdemand.Level {
	now := n.clock.Now()
	n.mu.Lock()
	total := n.demand.Levels(now)
	n.mu.Unlock()
	n.mesh.Live(func(p *mesh.Peer) {
		for _, w := range p.Digest.GetWeights() {
			k := weightsdemand.Key{Pool: w.GetPool(), Model: w.GetModel(), Adapter: w.GetAdapter()}
			l := weightsdemand.Level{
				TokensPerSecond: float64(w.GetTokensPerSecond()),
				Waiting:         int(w.GetWaiting()),
				Running:         int(w.GetRunning()),
				Idle:            time.Duration(w.GetIdleMs())*time.Millisecond + now.Sub(p.LastSeen),
			}
			if own, ok := total[k]; ok {
				l = own.Merge(l)
			}
			total[k] = l
		}
	})
	return total
}

// setInventory notes what an engine holds, for this VM and for the next digests.
func (n *Node) setInventory(id string, born int64, models []target.LoadedModel) {
	n.view.SetInventory(id, born, models, n.clock.Now())
	entry := &meshpb.Inventory{Target: id, Born: born}
	for _, h := range models {
		entry.Held = append(entry.Held, &meshpb.Held{Model: h.Model, Adapters: h.Adapters})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if old, ok := n.inventory[id]; ok && proto.Equal(old.wire, entry) {
		return
	}
	n.inventoryVersion++
	n.inventory[id] = inventoryEntry{wire: entry, version: n.inventoryVersion}
}

// readersPerDataCentre is the number of VMs of a data centre that follow the
// store; the others hear of changes from them. Those of other data centres
// stand in for one that has died and still counts as live.
const readersPerDataCentre = 1

// readsStore reports whether this VM follows the store: it is among the first of
// its data centre that reach it.
func (n *Node) readsStore() bool {
	before := 0
	n.mesh.Live(func(p *mesh.Peer) {
		if p.DataCentre == n.Settings.DataCentre && p.Ready && !p.Leaving && !p.Digest.GetStoreFails() &&
			p.Address.Compare(n.Settings.Peer) < 0 {
			before++
		}
	})
	return before < readersPerDataCentre
}

// catchUp takes a table from a peer that knows of a newer change, unless the
// store tells of it first.
func (n *Node) catchUp(p *mesh.Peer, feed *tablefeed.Feed, t rowstore.Table, version int64) {
	if version <= feed.ChangedAt() {
		return
	}
	delay := fetchDelay
	if p.DataCentre != n.Settings.DataCentre {
		delay = crossDataCentreFetchDelay
	}
	n.mu.Lock()
	ctx, busy := n.ctx, n.fetching[t]
	if ctx != nil {
		n.fetching[t] = true
	}
	n.mu.Unlock()
	if busy || ctx == nil {
		return
	}
	n.wg.Go(func() {
		defer func() {
			n.mu.Lock()
			delete(n.fetching, t)
			n.mu.Unlock()
		}()
		select {
		case <-n.clock.After(delay):
		case <-ctx.Done():
			return
		}
		above := feed.ChangedAt()
		if version <= above {
			return
		}
		page, ok, err := n.mesh.Fetch(ctx, p.Address, t, above)
		if err != nil || !ok {
			n.Logger.Debug("table not taken from peer", "peer", p.Address, "table", t, "error", err)
			return
		}
		n.Logger.Info("table taken from peer", "peer", p.Address, "table", t, "rows", len(page.Rows), "from_version", above, "to_version", version)
		feed.Merge(page)
	})
}

// relayPeers returns the live peers that reach the store, by their word.
func (n *Node) relayPeers() []netip.AddrPort {
	var found []netip.AddrPort
	n.mesh.Live(func(p *mesh.Peer) {
		if !p.Leaving && !p.Digest.GetStoreFails() {
			found = append(found, p.Address)
		}
	})
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}
