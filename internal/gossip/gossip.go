// Package gossip exchanges digests between members: a constant number of
// calls a second for each process, however large the fleet. Differences of
// the configuration and of the member list travel the same way.
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
	// indirectProbes is the number of members that are asked to reach one
	// that did not answer.
	indirectProbes = 3
	// rumorLimit bounds the rumors in one digest.
	rumorLimit = 16
	// callsAtOnce bounds the calls under way in one round.
	callsAtOnce = 16
	// pendingFetches bounds the members from which a fetch is due.
	pendingFetches = 4
)

// Config are what gossip stands on.
type Config struct {
	// Self is the incarnation and the region of the process.
	Self member.Member
	// Adoption is what the process has in force.
	Adoption *adoption.Adoption
	// Suspicion tells which members are silent.
	Suspicion *suspicion.Suspicion
	// Dialer reaches the other members.
	Dialer *peer.Dialer
	// Seeds are the peer addresses of members that are asked while the
	// member list names nobody else, or the state is not confirmed.
	Seeds  []netip.AddrPort
	Clock  clockwork.Clock
	Logger hclog.Logger
}

// Gossip is a process's part in the exchange. It implements
// gossippb.DRPCGossipServer; its methods may be called at the same time.
type Gossip struct {
	config  Config
	fetches chan netip.AddrPort
	done    chan struct{}
}

// New returns a gossip that answers at once, and asks others once Run is
// called.
func New(p Config) *Gossip {
	return &Gossip{config: p, fetches: make(chan netip.AddrPort, pendingFetches), done: make(chan struct{})}
}

// Run exchanges digests until ctx ends. It may be called once.
func (g *Gossip) Run(ctx context.Context) {
	defer close(g.done)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { g.fetchDue(ctx) })
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

// Done is closed when Run has returned.
func (g *Gossip) Done() <-chan struct{} { return g.done }

// fetchDue fetches from the members whose digests were ahead.
func (g *Gossip) fetchDue(ctx context.Context) {
	for {
		select {
		case addr := <-g.fetches:
			if err := g.fetch(ctx, addr); err != nil && ctx.Err() == nil {
				g.config.Logger.Debug("state not fetched", "peer", addr, "error", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// exchangeOnce exchanges digests with one member at random, or with a seed.
func (g *Gossip) exchangeOnce(ctx context.Context) {
	others := g.others()
	if len(g.config.Seeds) > 0 && (len(others) == 0 || g.config.Adoption.Fresh() != nil) {
		seed := g.config.Seeds[rand.IntN(len(g.config.Seeds))]
		if _, err := g.exchange(ctx, seed, ""); err != nil && ctx.Err() == nil {
			g.config.Logger.Debug("seed not reached", "peer", seed, "error", err)
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
	g.config.Logger.Debug("member not reached", "member", m.Name, "error", err)
	if !g.reachedByOthers(ctx, &m) && ctx.Err() == nil && g.config.Adoption.Fresh() == nil {
		g.config.Suspicion.ReportFailure(m.Incarnation, g.config.Clock.Now())
	}
}

// others returns the listed members but this one.
func (g *Gossip) others() []member.Member {
	var others []member.Member
	for _, m := range g.config.Adoption.Members().Members {
		if m.Incarnation != g.config.Self.Incarnation {
			others = append(others, m)
		}
	}
	return others
}

// exchange exchanges digests with the process at addr and returns its state.
// A higher state is fetched first; then the answer vouches for this process,
// and its age counts from before the call.
func (g *Gossip) exchange(ctx context.Context, addr netip.AddrPort, incarnation string) (*gossippb.Digest, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := g.config.Clock.Now()
	answer, err := g.client(callCtx, addr).Exchange(callCtx, g.digest(incarnation))
	if err != nil {
		return nil, err
	}
	g.learn(answer.GetRumors())
	state := stateOf(answer)
	if !g.config.Adoption.State().Covers(state) {
		if err := g.fetch(ctx, addr); err != nil {
			return answer, err
		}
	}
	if answer.GetVouchedAgeMs() >= 0 {
		age := time.Duration(answer.GetVouchedAgeMs()) * time.Millisecond
		g.config.Adoption.Vouch(state, asked.Add(-age))
	}
	return answer, nil
}

func (g *Gossip) client(ctx context.Context, addr netip.AddrPort) gossippb.DRPCGossipClient {
	return gossippb.NewDRPCGossipClient(g.config.Dialer.Conn(ctx, addr))
}

func stateOf(d *gossippb.Digest) freshness.State {
	return freshness.State{Revision: d.GetRevision(), Members: d.GetMemberVersion()}
}

// digest returns this process's digest for a member. The age is rounded up.
func (g *Gossip) digest(to string) *gossippb.Digest {
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
	fleet := len(g.config.Adoption.Members().Members)
	for _, r := range g.config.Suspicion.Rumors(to, fleet, rumorLimit) {
		d.Rumors = append(d.Rumors, &gossippb.Rumor{
			Incarnation: r.Incarnation, Sequence: r.Sequence, Suspected: r.Suspected,
		})
	}
	return d
}

func (g *Gossip) learn(rumors []*gossippb.Rumor) {
	for _, r := range rumors {
		g.config.Suspicion.Receive(suspicion.Rumor{
			Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(), Suspected: r.GetSuspected(),
		}, g.config.Clock.Now())
	}
}

// reachedByOthers asks a few members to reach m.
func (g *Gossip) reachedByOthers(ctx context.Context, m *member.Member) bool {
	others := g.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	asked := 0
	reached := make(chan bool, indirectProbes)
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, helper := range others {
		if helper.Incarnation == m.Incarnation || asked == indirectProbes {
			continue
		}
		asked++
		wg.Go(func() {
			reply, err := g.client(callCtx, helper.PeerAddress).Probe(callCtx, &gossippb.ProbeRequest{Incarnation: m.Incarnation})
			reached <- err == nil && reply.GetReached()
		})
	}
	for range asked {
		if <-reached {
			return true
		}
	}
	return false
}
