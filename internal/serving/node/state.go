package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fireflypier.example/fireflypier/internal/serving/fleetsum"
	"fireflypier.example/fireflypier/internal/serving/mesh"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
	"fireflypier.example/fireflypier/internal/serving/tablefeed"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

const (
	// updateInterval is the time between two passes of updateLoop.
	updateInterval = 300 * time.Millisecond
	// assumedPeers is the number of other VMs that a VM assumes until it has read
	// the list of members.
	assumedPeers = 12
	// fetchDelay is the time that a VM that follows the store waits for a change to
	// arrive from there before it fetches it from a peer. crossDataCentreFetchDelay
	// is the delay for a peer in another data centre, where traffic is charged.
	fetchDelay                = 120 * time.Millisecond
	crossDataCentreFetchDelay = 450 * time.Millisecond
)

// policyChanged applies evacuations, and a configuration that is newer than the one in force. If it
// cannot be decoded, the previous one stays in force.
func (n *Node) policyChanged(rows []rowstore.Row) {
	for i := range rows {
		n.evacuationChanged(&rows[i]) // before requests that wait for a configuration go on
	}
	for _, r := range rows {
		if r.Key != rowstore.PolicyKey || r.Deleted {
			continue
		}
		p, err := n.DecodePolicy(r.Value)
		if err != nil {
			n.Logger.Error("configuration cannot be read, the previous one stays in force", "row_version", r.Version, "error", err)
			continue
		}
		if old := n.policy.Load(); old != nil && old.Version >= p.Version {
			continue
		}
		n.policy.Store(p)
		n.warn("configuration", p.Warnings)
		n.forward.PolicyLoaded()
		n.Logger.Info("configuration in force", "version", p.Version, "row_version", r.Version,
			"routes", len(p.Routes), "pools", len(p.Pools), "customers", len(p.Customers))
		n.notifyPeers()
	}
	n.fresh.Heard(n.clock.Now())
	n.announce()
}

// targetsChanged applies changed target rows. A row that cannot be decoded removes
// its target.
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
		n.setColdRow(t, r.Version)
		fresh := n.view.Set(t)
		if t.Draining {
			if t.Born != 0 {
				// An incarnation that drains never serves again, also if the store is
				// restored from a copy with an older row of it.
				n.view.SetLeaving(t.ID, t.Born, n.clock.Now())
			}
			n.notifyPeers()
		}
		n.Logger.Info("target", "target", r.Key, "pool", t.Pool, "address", t.Address, "draining", t.Draining,
			"born", t.Born, "new", fresh, "row_version", r.Version, "models", len(t.Weights.Models))
	}
	n.announce()
}

// notifyPeers starts an exchange with the peers at once if this VM reads the store
// for them. It is called for changes that must take effect within a deadline.
func (n *Node) notifyPeers() {
	if n.mesh != nil && n.readsStore() {
		n.mesh.TriggerExchange()
	}
}

// announce sets the readiness and leaving state that peers receive.
func (n *Node) announce() {
	if n.mesh != nil {
		n.mesh.Announce(mesh.Status{
			Ready:      n.ready(),
			Leaving:    n.leaving.Load(),
			StoreFails: !n.targets.Failing().IsZero(),
			Fence:      n.election.Fence(),
		})
	}
}

// applyOthers applies the latest summary of the other VMs to this VM's choice of
// targets and to the customers' rates.
func (n *Node) applyOthers(now time.Time) {
	others, admitted, changed := n.fleet.update(n.election.Term() != nil, now)
	if !changed {
		return
	}
	if n.fleet.takeHeard() {
		n.view.SetOtherLoads(others.GetLoads())
	} else {
		n.view.RepeatOtherLoads(others.GetLoads())
	}
	n.forward.Deduct(admitted)
}

// updateLoop sets the demand of the other VMs for the rate limits and announces the
// state of this VM, until ctx ends. On the leader it also records the use of adapters.
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
		n.fresh.Tick(now)
		n.judgeEvacuations()
		n.applyOthers(now)
		demand := make(map[string]float64)
		for _, c := range n.fleet.latest().GetCustomers() {
			demand[c.GetCustomer()] = float64(c.GetPerSecond())
		}
		live, silent := n.mesh.Count()
		if !n.joined.Load() {
			silent = max(silent, assumedPeers-live)
		}
		n.forward.SetPeerDemand(demand, live, silent)
		n.view.SetFleet(live+1, n.mesh.Age())
		if _, elected := n.leader(); elected {
			n.view.ExtendInventory(now)
		}
		if n.election.Term() != nil {
			n.engineControl.RecordAdapterUse(n.totalDemand())
		}
	}
}

// maxCandidates is the maximum number of VMs that try to become leader, so that the
// number of store calls does not grow with the fleet.
const maxCandidates = 4

// candidate reports whether this VM should try to become leader, which requires that
// no live peer is the leader. rank counts the ready live peers with a lower address.
func (n *Node) candidate() (ok bool, rank int) {
	if n.policy.Load() == nil || n.leaving.Load() {
		return false, 0
	}
	if _, elected := n.leader(); elected {
		return false, 0
	}
	n.mesh.Live(func(p *mesh.Peer) {
		if p.Ready && p.Address.Compare(n.Settings.Peer) < 0 {
			rank++
		}
	})
	return rank < maxCandidates, rank
}

// leader returns the peer address of the leader; ok is false if no live peer is the
// leader. It never returns this VM. If several peers claim leadership, the one with
// the highest fencing token is the leader.
func (n *Node) leader() (addr netip.AddrPort, ok bool) {
	var fence int64
	n.mesh.Live(func(p *mesh.Peer) {
		if p.Fence > fence {
			addr, fence = p.Address, p.Fence
		}
	})
	return addr, fence > 0
}

// totalDemand returns the summed demand for weights at all VMs.
func (n *Node) totalDemand() map[weightsdemand.Key]weightsdemand.Level {
	now := n.clock.Now()
	n.mu.Lock()
	total := n.demand.Levels(now)
	n.mu.Unlock()
	for _, w := range n.fleet.latest().GetWeights() {
		k, l := fleetsum.DecodeWeights(w)
		if own, ok := total[k]; ok {
			l = own.Merge(l)
		}
		total[k] = l
	}
	return total
}

// setInventory records the models that an engine holds and is loading, for this VM's
// own choice of targets and for the next digests.
func (n *Node) setInventory(id string, born int64, models []target.LoadedModel, coming []target.ComingModel) {
	n.view.SetInventory(id, born, models, coming, n.clock.Now())
	entry := &meshpb.Inventory{Target: id, Born: born}
	for _, h := range models {
		entry.Held = append(entry.Held, &meshpb.Held{Model: h.Model, Adapters: h.Adapters})
	}
	for _, c := range coming {
		entry.Coming = append(entry.Coming, &meshpb.Coming{Model: c.Model, RemainingMs: uint32(c.Remaining.Milliseconds())})
	}
	entry.Fence = n.election.Fence()
	n.mu.Lock()
	defer n.mu.Unlock()
	old, ok := n.inventory[id]
	if ok && old.wire.GetFence() == entry.GetFence() && sameInventory(old.wire, entry) {
		return
	}
	n.inventoryVersion++
	entry.Version = n.inventoryVersion
	n.inventory[id] = inventoryEntry{wire: entry, version: n.inventoryVersion}
}

// sameInventory reports whether two entries differ at most in the remaining time of
// loads.
func sameInventory(a, b *meshpb.Inventory) bool {
	sameModel := func(a, b *meshpb.Coming) bool { return a.GetModel() == b.GetModel() }
	if !slices.EqualFunc(a.GetComing(), b.GetComing(), sameModel) || a.GetBorn() != b.GetBorn() {
		return false
	}
	sameHeld := func(a, b *meshpb.Held) bool { return proto.Equal(a, b) }
	return slices.EqualFunc(a.GetHeld(), b.GetHeld(), sameHeld)
}

const (
	// storeReaders is the number of VMs that follow the store; the others receive
	// changes from them. With two, changes still arrive while one of them has failed
	// and still counts as live.
	storeReaders = 2
	// retryInterval is the time between two calls of a reader that the store does not answer.
	retryInterval = 400 * time.Millisecond
	// peerWait is how long a started process waits to hear of other VMs before it
	// follows the store.
	peerWait = 500 * time.Millisecond
)

// readsStore reports whether this VM follows the store. The readers are chosen among
// the VMs that are ready and reach the store: the first of each data centre in the
// order in which hubs are chosen, then the second ones.
func (n *Node) readsStore() bool {
	live, before := 0, 0
	first := make(map[string]mesh.Peer)
	n.mesh.Live(func(p *mesh.Peer) {
		live++
		if !p.Ready || p.Leaving || p.StoreFails {
			return
		}
		if p.DataCentre == n.Settings.DataCentre {
			if p.Precedes(n.Settings.Capacity, n.Settings.Peer) {
				before++
			}
			return
		}
		if best, ok := first[p.DataCentre]; !ok || p.Precedes(best.Capacity, best.Address) {
			first[p.DataCentre] = *p
		}
	})
	if live == 0 && n.clock.Since(n.startedAt) < peerWait {
		return false
	}
	rank := before * (len(first) + 1)
	for _, p := range first {
		if before == 0 && p.Precedes(n.Settings.Capacity, n.Settings.Peer) {
			rank++
		}
	}
	return rank < storeReaders
}

// storeRetryInterval returns the time between two calls of this VM while the store does not
// answer them. The VMs that it does not answer share the rate of the usual readers: one that it
// answers again tells the others.
func (n *Node) storeRetryInterval() time.Duration {
	failing := 1
	n.mesh.Live(func(p *mesh.Peer) {
		if p.StoreFails {
			failing++
		}
	})
	interval := retryInterval * time.Duration(max(1, failing/storeReaders))
	return interval - rand.N(interval/4)
}

// catchUp fetches a table from a peer that has a newer version, unless the change
// arrives first from the store. At most one fetch per table runs at a time.
func (n *Node) catchUp(p *mesh.Peer, feed *tablefeed.Feed, t rowstore.Table, version int64) {
	if version <= feed.ChangedAt() {
		return
	}
	feed.Offer()
	_, read := feed.Version()
	follows := read && n.readsStore()
	delay := fetchDelay
	if p.DataCentre != n.Settings.DataCentre {
		delay = crossDataCentreFetchDelay
	}
	if !follows {
		delay = 0
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
		c, ok, err := n.mesh.Fetch(ctx, p.Address, t, above)
		if err != nil || !ok {
			n.Logger.Debug("cannot fetch table from peer", "peer", p.Address, "table", t, "error", err)
			return
		}
		n.Logger.Info("table taken from peer", "peer", p.Address, "table", t, "rows", len(c.Rows), "complete", c.Complete, "from_version", above, "to_version", c.Version, "changed_at", c.ChangedAt)
		feed.Merge(c)
	})
}

// relayPeers returns the live peers that report that they reach the store, in random
// order to spread the relayed calls.
func (n *Node) relayPeers() []netip.AddrPort {
	var found []netip.AddrPort
	n.mesh.Live(func(p *mesh.Peer) {
		if !p.Leaving && !p.StoreFails {
			found = append(found, p.Address)
		}
	})
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}
