// Package gossip exchanges state digests and suspicions between the processes
// of the fleet, and transfers edits of the configuration and changes of the
// member list. The number of periodic calls per second and process does not
// depend on the size of the fleet.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/freshness"
	"fireflypier.example/fireflypier/internal/gossip/gossippb"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/peer"
	"fireflypier.example/fireflypier/internal/suspicion"
)

const (
	exchangeInterval = 500 * time.Millisecond
	callTimeout      = time.Second
	// indirectProbes is the number of members that probe a member on behalf
	// of a process whose call to it failed.
	indirectProbes = 3
	// maxRumors limits the rumors in one digest.
	maxRumors = 16
	// maxConcurrentCalls limits the concurrent calls of one round.
	maxConcurrentCalls = 16
	// maxPendingFetches limits the members that are queued to be fetched from.
	maxPendingFetches = 4
)

// Config holds the dependencies of a Gossip.
type Config struct {
	// Self describes this process; only its incarnation and region are used.
	Self member.Member
	// Adoption holds the configuration and the member list in force.
	Adoption *adoption.Adoption
	// Suspicion tracks which members are suspected to be unreachable.
	Suspicion *suspicion.Suspicion
	// Dialer connects to the other members.
	Dialer *peer.Dialer
	// Seeds are peer addresses to exchange digests with while the member list
	// names no other process or the state is not confirmed.
	Seeds  []netip.AddrPort
	Clock  clockwork.Clock
	Logger hclog.Logger
}

// Gossip exchanges digests with the other processes and serves their calls. It
// implements gossippb.DRPCGossipServer; its methods are safe for concurrent
// use.
type Gossip struct {
	config     Config
	fetchQueue chan netip.AddrPort
	done       chan struct{}
}

// New returns a Gossip that can serve calls at once and starts to call other
// processes when Run is called.
func New(c Config) *Gossip {
	return &Gossip{config: c, fetchQueue: make(chan netip.AddrPort, maxPendingFetches), done: make(chan struct{})}
}

// Run exchanges digests until ctx is done. It must be called at most once.
func (g *Gossip) Run(ctx context.Context) {
	defer close(g.done)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { g.runFetches(ctx) })
	ticker := g.config.Clock.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		wg.Go(func() { g.exchangeOnce(ctx) })
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// Done returns a channel that is closed when Run returns.
func (g *Gossip) Done() <-chan struct{} { return g.done }

// runFetches fetches from the queued members until ctx is done.
func (g *Gossip) runFetches(ctx context.Context) {
	for {
		select {
		case addr := <-g.fetchQueue:
			if err := g.fetch(ctx, addr); err != nil && ctx.Err() == nil {
				g.config.Logger.Debug("failed to fetch state", "peer", addr, "error", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// exchangeOnce exchanges digests with a random member, and also with a random
// seed while no other member is listed or the state is not confirmed. A member
// is suspected only if indirect probes fail too and this process's own state is
// confirmed.
func (g *Gossip) exchangeOnce(ctx context.Context) {
	others := g.others()
	if len(g.config.Seeds) > 0 && (len(others) == 0 || g.config.Adoption.Fresh() != nil) {
		seed := g.config.Seeds[rand.IntN(len(g.config.Seeds))]
		if _, err := g.exchange(ctx, seed, ""); err != nil && ctx.Err() == nil {
			g.config.Logger.Debug("failed to reach seed", "peer", seed, "error", err)
		}
	}
	if len(others) == 0 {
		return
	}
	m := others[rand.IntN(len(others))]
	_, err := g.exchange(ctx, m.PeerAddress, m.Incarnation)
	if err == nil || ctx.Err() != nil {
		return
	}
	g.config.Logger.Debug("failed to reach member", "member", m.Name, "error", err)
	if !g.probeIndirectly(ctx, &m) && ctx.Err() == nil && g.config.Adoption.Fresh() == nil {
		g.config.Suspicion.ReportFailure(m.Incarnation, g.config.Clock.Now())
	}
}

// others returns the listed members except this process.
func (g *Gossip) others() []member.Member {
	var others []member.Member
	for _, m := range g.config.Adoption.Members().Members {
		if m.Incarnation != g.config.Self.Incarnation {
			others = append(others, m)
		}
	}
	return others
}

// exchange exchanges digests with the process at addr and returns the digest of
// that process. If the peer's state is higher, it is fetched first. If the
// peer's state is confirmed, the confirmation is recorded for this process too;
// its age counts from the start of the call, so that it is not understated.
func (g *Gossip) exchange(ctx context.Context, addr netip.AddrPort, incarnation string) (*gossippb.Digest, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := g.config.Clock.Now()
	reply, err := g.client(callCtx, addr).Exchange(callCtx, g.digest(incarnation))
	if err != nil {
		return nil, err
	}
	g.receiveRumors(reply.GetRumors())
	state := stateOf(reply)
	if !g.config.Adoption.State().Covers(state) {
		if err := g.fetch(ctx, addr); err != nil {
			return reply, err
		}
	}
	if reply.GetVouchedAgeMs() >= 0 {
		age := time.Duration(reply.GetVouchedAgeMs()) * time.Millisecond
		g.config.Adoption.MarkConfirmed(state, start.Add(-age))
	}
	return reply, nil
}

func (g *Gossip) client(ctx context.Context, addr netip.AddrPort) gossippb.DRPCGossipClient {
	return gossippb.NewDRPCGossipClient(g.config.Dialer.Conn(ctx, addr))
}

func stateOf(d *gossippb.Digest) freshness.State {
	return freshness.State{Revision: d.GetRevision(), Members: d.GetMemberVersion()}
}

// digest returns this process's digest for the receiver. The age of the
// confirmation is rounded up.
func (g *Gossip) digest(receiver string) *gossippb.Digest {
	state := g.config.Adoption.State()
	d := &gossippb.Digest{
		Incarnation:   g.config.Self.Incarnation,
		Revision:      state.Revision,
		MemberVersion: state.Members,
		VouchedAgeMs:  -1,
	}
	if age, ok := g.config.Adoption.Age(); ok {
		d.VouchedAgeMs = age.Milliseconds() + 1
	}
	fleetSize := len(g.config.Adoption.Members().Members)
	for _, r := range g.config.Suspicion.Rumors(receiver, fleetSize, maxRumors) {
		d.Rumors = append(d.Rumors, &gossippb.Rumor{
			Incarnation: r.Incarnation, Sequence: r.Sequence, Suspected: r.Suspected,
		})
	}
	return d
}

func (g *Gossip) receiveRumors(rumors []*gossippb.Rumor) {
	for _, r := range rumors {
		g.config.Suspicion.Receive(suspicion.Rumor{
			Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(), Suspected: r.GetSuspected(),
		}, g.config.Clock.Now())
	}
}

// probeIndirectly reports whether any of up to indirectProbes other members
// reaches m.
func (g *Gossip) probeIndirectly(ctx context.Context, m *member.Member) bool {
	others := g.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	probes := 0
	reached := make(chan bool, indirectProbes)
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, prober := range others {
		if prober.Incarnation == m.Incarnation || probes == indirectProbes {
			continue
		}
		probes++
		wg.Go(func() {
			reply, err := g.client(callCtx, prober.PeerAddress).Probe(callCtx, &gossippb.ProbeRequest{Incarnation: m.Incarnation})
			reached <- err == nil && reply.GetReached()
		})
	}
	for range probes {
		if <-reached {
			return true
		}
	}
	return false
}
