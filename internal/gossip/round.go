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
	// fetchTimeout limits the transfer of a state.
	fetchTimeout = 5 * time.Second
	// relayTimeout limits how long a relay waits for the members that it
	// forwards an offer to. The offer to the relay itself may take a call
	// longer.
	relayTimeout = 500 * time.Millisecond
	offerTimeout = callTimeout + relayTimeout
)

// Confirm exchanges digests with the gateways of this process's region. If a
// majority of them confirms that the state of this process is the highest, it
// records the confirmation and returns true. If a gateway holds a higher state,
// that state is adopted instead.
func (g *Gossip) Confirm(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := g.config.Clock.Now()
	own := g.config.Adoption.State()
	list := g.config.Adoption.Members()
	quorum := freshness.New(list)
	region := g.config.Self.Region
	var mu sync.Mutex
	confirmed := false
	answers := map[string]freshness.State{g.config.Self.Incarnation: own}
	record := func(incarnation string, s freshness.State) {
		mu.Lock()
		defer mu.Unlock()
		answers[incarnation] = s
		if quorum.Confirms(region, own, answers) {
			confirmed = true
			cancel()
		}
	}
	record(g.config.Self.Incarnation, own)
	g.forEach(ctx, list.GatewaysByRegion()[region], func(m *member.Member) {
		if reply, err := g.exchange(ctx, m.PeerAddress, m.Incarnation); err == nil {
			record(reply.GetIncarnation(), stateOf(reply))
		}
	})
	if confirmed {
		g.config.Adoption.MarkConfirmed(own, start)
	}
	return confirmed
}

// forEach calls f for every member except this process, in random order and at
// most maxConcurrentCalls at once, until ctx is done.
func (g *Gossip) forEach(ctx context.Context, members []member.Member, f func(*member.Member)) {
	calls := pool.New().WithMaxGoroutines(maxConcurrentCalls)
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

// States returns the states of the given members and of this process by
// incarnation. Members that do not answer are left out.
func (g *Gossip) States(ctx context.Context, members []member.Member) map[string]freshness.State {
	var mu sync.Mutex
	states := map[string]freshness.State{g.config.Self.Incarnation: g.config.Adoption.State()}
	g.forEach(ctx, members, func(m *member.Member) {
		reply, err := g.exchange(ctx, m.PeerAddress, m.Incarnation)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		states[reply.GetIncarnation()] = stateOf(reply)
	})
	return states
}

// OfferTo offers the revision in force to the members in groups: the first
// member of a group relays the offer to the rest of it. OfferTo calls report
// with the adopted states by incarnation as they arrive. report may be called
// from several goroutines.
func (g *Gossip) OfferTo(ctx context.Context, members []member.Member, report func(map[string]freshness.State)) {
	groups := splitIntoGroups(members)
	calls := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	defer calls.Wait()
	for _, group := range groups {
		calls.Go(func() {
			reply, err := g.offer(ctx, &group[0], group[1:])
			if err != nil {
				g.config.Logger.Debug("failed to offer revision", "member", group[0].Name, "error", err)
				return
			}
			states := map[string]freshness.State{}
			for _, a := range reply.GetAcknowledgements() {
				states[a.GetIncarnation()] = freshness.State{Revision: a.GetRevision(), Members: a.GetMemberVersion()}
			}
			report(states)
		})
	}
}

// splitIntoGroups divides the members at random into groups: of one member each
// if all calls can be made at once, otherwise of about as many members as there
// are groups.
func splitIntoGroups(members []member.Member) [][]member.Member {
	size := 1
	for len(members) > maxConcurrentCalls && size*size < len(members) {
		size++
	}
	var groups [][]member.Member
	for n, i := range rand.Perm(len(members)) {
		if n%size == 0 {
			groups = append(groups, nil)
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], members[i])
	}
	return groups
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
		g.config.Logger.Debug("failed to fetch offered state", "member", m.Name, "error", err)
	}
}

// relay forwards an offer to the members listed in its RelayTo and calls report
// with their acknowledgements.
func (g *Gossip) relay(ctx context.Context, req *gossippb.OfferRequest, report func([]*gossippb.Acknowledgement)) {
	var members []member.Member
	list := g.config.Adoption.Members()
	for _, incarnation := range req.GetRelayTo() {
		if m, ok := list.Find(incarnation); ok {
			members = append(members, m)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	g.forEach(ctx, members, func(m *member.Member) {
		forwarded := &gossippb.OfferRequest{Revision: req.GetRevision(), Edits: req.GetEdits(), Sender: req.GetSender()}
		reply, err := g.client(ctx, m.PeerAddress).Offer(ctx, forwarded)
		if err != nil {
			return
		}
		report(reply.GetAcknowledgements())
	})
}
