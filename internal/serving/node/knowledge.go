package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"fireflypier.example/fireflypier/internal/serving/mesh"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
	"fireflypier.example/fireflypier/internal/serving/storerelay"
	"fireflypier.example/fireflypier/internal/serving/tablefeed"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

const (
	// tickInterval is the time between two divisions of the rates.
	tickInterval = 300 * time.Millisecond
	// unknownPeers is the number of other VMs that a VM assumes until it has
	// read the list of members.
	unknownPeers = 12
	// fetchDelay is the time that this VM's own reading of the store is given
	// before it takes a change from a peer.
	// farFetchDelay is that for a peer in another data centre, where bytes
	// cost.
	fetchDelay    = 120 * time.Millisecond
	farFetchDelay = 450 * time.Millisecond
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
		n.forward.PolicyKnown()
		n.Logger.Info("configuration in force", "version", p.Version, "row_version", r.Version,
			"routes", len(p.Routes), "pools", len(p.Pools), "customers", len(p.Customers))
		n.spread()
	}
	n.announce()
}

func (n *Node) targetsChanged(rows []rowstore.Row) {
	for _, r := range rows {
		if r.Deleted {
			n.view.Remove(r.Key)
			n.Logger.Info("target gone", "target", r.Key)
			n.spread()
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
			n.spread()
		}
		n.Logger.Info("target", "target", r.Key, "pool", t.Pool, "address", t.Address, "draining", t.Draining,
			"born", t.Born, "new", fresh, "row_version", r.Version, "models", len(t.Weights.Models))
	}
	n.announce()
}

// spread tells the other VMs at once of a change that has a deadline, if this
// VM is one that reads the store for them.
func (n *Node) spread() {
	if n.mesh != nil && n.reads() {
		n.mesh.Urge()
	}
}

func (n *Node) announce() {
	if n.mesh != nil {
		n.mesh.Announce(n.ready(), n.leaving.Load())
	}
}

// tick divides the rates anew by what peers have told.
func (n *Node) tick(ctx context.Context) {
	n.forward.SetOthers(nil, 0, unknownPeers)
	ticker := n.clock.NewTicker(tickInterval)
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
			silent = max(silent, unknownPeers-live)
		}
		n.forward.SetOthers(demand, live, silent)
		if n.duty.Term() != nil {
			n.desk.Used(n.totalDemand())
		}
	}
}

// dutyCandidates bounds the VMs that look for a free order duty, so that
// the calls do not grow with the fleet.
const dutyCandidates = 4

// contend reports whether this VM should try to take the order duty: no live
// peer holds it.
func (n *Node) contend() (ok bool, rank int) {
	if n.policy.Load() == nil || n.leaving.Load() {
		return false, 0
	}
	if _, held := n.holder(); held {
		return false, 0
	}
	n.mesh.Live(func(p *mesh.Peer) {
		if p.Ready && p.Address.Compare(n.Settings.Peer) < 0 {
			rank++
		}
	})
	return rank < dutyCandidates, rank
}

// holder returns the live peer that holds the order duty.
func (n *Node) holder() (addr netip.AddrPort, ok bool) {
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
				Idle:            time.Duration(w.GetIdleMs())*time.Millisecond + now.Sub(p.Heard),
			}
			if own, ok := total[k]; ok {
				l = own.Join(l)
			}
			total[k] = l
		}
	})
	return total
}

// setHeld notes what an engine holds, for this VM and for the next digests.
func (n *Node) setHeld(id string, born int64, models []target.Held) {
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
	n.inventory[id] = held{wire: entry, version: n.inventoryVersion}
}

// local is the node's side of the exchange between VMs.
type local struct{ n *Node }

// Digest implements mesh.Local.
func (l local) Digest() *meshpb.Digest {
	n := l.n
	d := &meshpb.Digest{
		PolicyVersion:  n.policies.ChangedAt(),
		TargetsVersion: n.targets.ChangedAt(),
		StoreFails:     !n.targets.Failing().IsZero(),
		Loads:          n.view.Loads(),
		Fence:          n.duty.Fence(),
	}
	for name, use := range n.forward.Uses() {
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

// Address implements mesh.Local: it adds what the peer has not seen yet.
func (l local) Address(d *meshpb.Digest, p *mesh.Peer) {
	n := l.n
	var sendsSeen, inventorySeen int64
	if p.Digest != nil {
		sendsSeen, inventorySeen = p.Digest.GetSendsSeen(), p.Digest.GetInventorySeen()
	}
	d.Sends, d.SendsUpto = n.view.SendsAfter(sendsSeen)
	if !n.plans(p) {
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
	if s := n.seen[p.Address]; s.incarnation == p.Incarnation {
		d.SendsSeen = s.sends
		if s.fence == p.Digest.GetFence() {
			d.InventorySeen = s.inventory
		}
	}
}

// plans reports whether a peer places weights, or may do so next since no VM
// is known to hold the order duty. Only such a peer needs the demand for them.
func (n *Node) plans(p *mesh.Peer) bool {
	if p.Digest.GetFence() != 0 {
		return true
	}
	if n.duty.Term() != nil {
		return false
	}
	_, held := n.holder()
	return !held
}

// seen is what this VM has of a peer.
type seen struct {
	incarnation, fence int64
	sends, inventory   int64
}

// held is what an engine holds, by this VM's own orders and reports.
type held struct {
	wire    *meshpb.Inventory
	version int64
}

// Heard implements mesh.Local.
func (l local) Heard(p *mesh.Peer) {
	n := l.n
	d := p.Digest
	n.view.SetPeerLoads(p.Address.String(), d.GetLoads())
	n.view.PeerSent(d.GetSends())
	for _, c := range d.GetCustomers() {
		n.forward.Told(p.Address.String(), p.Incarnation, c.GetCustomer(), c.GetAdmitted())
	}
	now := n.clock.Now()
	n.mu.Lock()
	s := n.seen[p.Address]
	if s.incarnation != p.Incarnation {
		s = seen{incarnation: p.Incarnation}
	}
	if s.fence != d.GetFence() {
		s.fence, s.inventory = d.GetFence(), 0
	}
	s.sends, s.inventory = max(s.sends, d.GetSendsUpto()), max(s.inventory, d.GetInventoryUpto())
	n.seen[p.Address] = s
	n.mu.Unlock()
	if d.GetFence() != 0 {
		n.view.KeepInventory(now)
	}
	for _, entry := range d.GetInventory() {
		n.view.SetInventory(entry.GetTarget(), entry.GetBorn(), heldModels(entry), now)
	}
	n.catchUp(p, n.policies, rowstore.Policies, d.GetPolicyVersion())
	n.catchUp(p, n.targets, rowstore.Targets, d.GetTargetsVersion())
}

func heldModels(entry *meshpb.Inventory) []target.Held {
	models := make([]target.Held, 0, len(entry.GetHeld()))
	for _, h := range entry.GetHeld() {
		models = append(models, target.Held{Model: h.GetModel(), Adapters: h.GetAdapters()})
	}
	return models
}

// readersPerDataCentre is the number of VMs of a data centre that follow the
// store; the others hear of changes from them. Those of other data centres
// stand in for one that has died and still counts as live.
const readersPerDataCentre = 1

// reads reports whether this VM follows the store: it is among the first of
// its data centre that reach it.
func (n *Node) reads() bool {
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
		delay = farFetchDelay
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

// Table implements mesh.Local.
func (l local) Table(t rowstore.Table) (rowstore.Page, int64) {
	feed := l.n.targets
	if t == rowstore.Policies {
		feed = l.n.policies
	}
	return feed.Page(), feed.ChangedAt()
}

// Relay implements mesh.Local.
func (l local) Relay(ctx context.Context, c *meshpb.StoreCall) (*meshpb.StoreAnswer, error) {
	return storerelay.Serve(ctx, l.n.Store, c)
}

// relays returns the live peers that reach the store, by their word.
func (n *Node) relays() []netip.AddrPort {
	var found []netip.AddrPort
	n.mesh.Live(func(p *mesh.Peer) {
		if !p.Leaving && !p.Digest.GetStoreFails() {
			found = append(found, p.Address)
		}
	})
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

// Need implements mesh.Local.
func (l local) Need(ctx context.Context, r *meshpb.NeedRequest) (*meshpb.NeedReply, error) {
	return &meshpb.NeedReply{Target: l.n.desk.Bring(ctx, r.GetPool(), r.GetModel(), r.GetAdapter())}, nil
}

// placer brings weights for the request path.
type placer struct{ n *Node }

// Asked implements forward.Placer.
func (p placer) Asked(pool, model, adapter string, tokens int, waits bool) {
	n := p.n
	n.mu.Lock()
	defer n.mu.Unlock()
	n.demand.Asked(weightsdemand.Key{Pool: pool, Model: model, Adapter: adapter}, tokens, waits, n.clock.Now())
}

// Running implements forward.Placer.
func (p placer) Running(pool, model, adapter string, change int) {
	n := p.n
	n.mu.Lock()
	defer n.mu.Unlock()
	n.demand.Running(weightsdemand.Key{Pool: pool, Model: model, Adapter: adapter}, change, n.clock.Now())
}

// bringTimeout bounds the wait for an adapter; a load takes some milliseconds
// once the engine has accepted it.
const bringTimeout = 500 * time.Millisecond

// Bring implements forward.Placer.
func (p placer) Bring(ctx context.Context, pool, model, adapter string) (string, error) {
	n := p.n
	ctx, cancel := context.WithTimeout(ctx, bringTimeout)
	defer cancel()
	if n.duty.Term() != nil {
		return n.desk.Bring(ctx, pool, model, adapter), nil
	}
	addr, ok := n.holder()
	if !ok {
		return "", errors.New("no VM holds the order duty")
	}
	reply, err := n.mesh.Need(ctx, addr, &meshpb.NeedRequest{Pool: pool, Model: model, Adapter: adapter})
	if err != nil {
		return "", err
	}
	if id := reply.GetTarget(); id != "" {
		n.view.AddAdapter(id, model, adapter, n.clock.Now())
	}
	return reply.GetTarget(), nil
}
