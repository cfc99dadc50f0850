package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"fireflypier.example/fireflypier/internal/freshness"
	"fireflypier.example/fireflypier/internal/gossip/gossippb"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/revision"
)

const (
	// fetchTimeout bounds the transfer of a state.
	fetchTimeout = 5 * time.Second
	// relayTimeout bounds the wait of a relay for its members; the offer to
	// the relay may take longer by a call.
	relayTimeout = 500 * time.Millisecond
	offerTimeout = callTimeout + relayTimeout
)

// Confirm asks the witnesses of this process's region whether its state is
// the highest one, and vouches for it when a majority has answered so. It
// reports whether it did. A higher state that it meets is adopted instead.
func (g *Gossip) Confirm(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := g.config.Clock.Now()
	own := g.config.Adoption.State()
	list := g.config.Adoption.Members()
	rule := freshness.New(list)
	region := g.config.Self.Region
	var mu sync.Mutex
	confirmed := false
	answers := map[string]freshness.State{g.config.Self.Incarnation: own}
	take := func(incarnation string, s freshness.State) {
		mu.Lock()
		defer mu.Unlock()
		answers[incarnation] = s
		if rule.Confirms(region, own, answers) {
			confirmed = true
			cancel()
		}
	}
	take(g.config.Self.Incarnation, own)
	g.each(ctx, list.GatewaysByRegion()[region], func(m *member.Member) {
		if answer, err := g.exchange(ctx, m.PeerAddress, m.Incarnation); err == nil {
			take(answer.GetIncarnation(), stateOf(answer))
		}
	})
	if confirmed {
		g.config.Adoption.Vouch(own, asked)
	}
	return confirmed
}

// each calls f for every member but this process, in random order, a bounded
// number at once, until ctx ends.
func (g *Gossip) each(ctx context.Context, members []member.Member, f func(*member.Member)) {
	calls := pool.New().WithMaxGoroutines(callsAtOnce)
	defer calls.Wait()
	for _, i := range rand.Perm(len(members)) {
		if members[i].Incarnation == g.config.Self.Incarnation {
			continue
		}
		calls.Go(func() {
			if ctx.Err() == nil {
				f(&members[i])
			}
		})
	}
}

// States asks the given members for their states, by incarnation. Members
// that do not answer are left out.
func (g *Gossip) States(ctx context.Context, members []member.Member) map[string]freshness.State {
	var mu sync.Mutex
	states := map[string]freshness.State{g.config.Self.Incarnation: g.config.Adoption.State()}
	g.each(ctx, members, func(m *member.Member) {
		answer, err := g.exchange(ctx, m.PeerAddress, m.Incarnation)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		states[answer.GetIncarnation()] = stateOf(answer)
	})
	return states
}

// OfferTo offers the revision in force to members, each of which passes it to
// a part of the others, and calls take with the states that members have
// adopted, by incarnation, as they arrive. take may be called from several
// goroutines.
func (g *Gossip) OfferTo(ctx context.Context, members []member.Member, take func(map[string]freshness.State)) {
	parts := split(members)
	calls := pool.New().WithMaxGoroutines(callsAtOnce)
	defer calls.Wait()
	for _, part := range parts {
		calls.Go(func() {
			reply, err := g.offer(ctx, &part[0], part[1:])
			if err != nil {
				g.config.Logger.Debug("offer not taken", "member", part[0].Name, "error", err)
				return
			}
			states := map[string]freshness.State{}
			for _, a := range reply.GetAcknowledgements() {
				states[a.GetIncarnation()] = freshness.State{Revision: a.GetRevision(), Members: a.GetMemberVersion()}
			}
			take(states)
		})
	}
}

// split shuffles members into parts: of one member where the calls can be made
// at once, else about as many parts as each part has members.
func split(members []member.Member) [][]member.Member {
	size := 1
	for len(members) > callsAtOnce && size*size < len(members) {
		size++
	}
	var parts [][]member.Member
	for n, i := range rand.Perm(len(members)) {
		if n%size == 0 {
			parts = append(parts, nil)
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], members[i])
	}
	return parts
}

func (g *Gossip) offer(ctx context.Context, to *member.Member, relayTo []member.Member) (*gossippb.OfferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	req := &gossippb.OfferRequest{Sender: g.config.Self.Incarnation}
	s := g.config.Adoption.Current().Snapshot()
	req.Revision = s.Revision
	if records, ok := g.config.Adoption.Records(s.Revision - 1); ok {
		var err error
		if req.Edits, err = encodeAll(records); err != nil {
			return nil, err
		}
	}
	for _, m := range relayTo {
		req.RelayTo = append(req.RelayTo, m.Incarnation)
	}
	return g.client(ctx, to.PeerAddress).Offer(ctx, req)
}

// Offer implements gossippb.DRPCGossipServer.
func (g *Gossip) Offer(ctx context.Context, req *gossippb.OfferRequest) (*gossippb.OfferReply, error) {
	records, err := decodeAll[revision.Record](req.GetEdits())
	if err != nil {
		return nil, err
	}
	if err := g.config.Adoption.Replay(records); err != nil {
		return nil, err
	}
	if g.config.Adoption.State().Revision < req.GetRevision() {
		g.fetchFrom(ctx, req.GetSender())
	}
	reply := &gossippb.OfferReply{}
	var mu sync.Mutex
	g.relay(ctx, req, func(acknowledgements []*gossippb.Acknowledgement) {
		mu.Lock()
		defer mu.Unlock()
		reply.Acknowledgements = append(reply.Acknowledgements, acknowledgements...)
	})
	state := g.config.Adoption.State()
	reply.Acknowledgements = append(reply.Acknowledgements, &gossippb.Acknowledgement{
		Incarnation: g.config.Self.Incarnation, Revision: state.Revision, MemberVersion: state.Members,
	})
	return reply, nil
}

func (g *Gossip) fetchFrom(ctx context.Context, incarnation string) {
	m, ok := g.config.Adoption.Members().Find(incarnation)
	if !ok {
		return
	}
	if err := g.fetch(ctx, m.PeerAddress); err != nil {
		g.config.Logger.Debug("offered state not fetched", "member", m.Name, "error", err)
	}
}

// relay passes an offer to the members that it names.
func (g *Gossip) relay(ctx context.Context, req *gossippb.OfferRequest, take func([]*gossippb.Acknowledgement)) {
	var members []member.Member
	list := g.config.Adoption.Members()
	for _, incarnation := range req.GetRelayTo() {
		if m, ok := list.Find(incarnation); ok {
			members = append(members, m)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	g.each(ctx, members, func(m *member.Member) {
		passed := &gossippb.OfferRequest{Revision: req.GetRevision(), Edits: req.GetEdits(), Sender: req.GetSender()}
		reply, err := g.client(ctx, m.PeerAddress).Offer(ctx, passed)
		if err != nil {
			return
		}
		take(reply.GetAcknowledgements())
	})
}
