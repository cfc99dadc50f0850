package gossip

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/gossip/gossippb"
	"fireflypier.example/fireflypier/internal/memberlist"
	"fireflypier.example/fireflypier/internal/revision"
)

// Exchange implements gossippb.DRPCGossipServer.
func (g *Gossip) Exchange(_ context.Context, d *gossippb.Digest) (*gossippb.Digest, error) {
	g.receiveRumors(d.GetRumors())
	if !g.config.Adoption.State().Covers(stateOf(d)) {
		g.enqueueFetch(d.GetIncarnation())
	}
	return g.digest(d.GetIncarnation()), nil
}

// enqueueFetch queues a fetch from a member. It does nothing if the queue is
// full or the member is not listed.
func (g *Gossip) enqueueFetch(incarnation string) {
	m, ok := g.config.Adoption.Members().Find(incarnation)
	if !ok {
		return
	}
	select {
	case g.fetchQueue <- m.PeerAddress:
	default:
	}
}

// Probe implements gossippb.DRPCGossipServer.
func (g *Gossip) Probe(ctx context.Context, req *gossippb.ProbeRequest) (*gossippb.ProbeReply, error) {
	m, ok := g.config.Adoption.Members().Find(req.GetIncarnation())
	if !ok {
		return &gossippb.ProbeReply{}, nil
	}
	reply, err := g.exchange(ctx, m.PeerAddress, m.Incarnation)
	reached := err == nil && reply.GetIncarnation() == m.Incarnation
	return &gossippb.ProbeReply{Reached: reached}, nil
}

// Fetch implements gossippb.DRPCGossipServer.
func (g *Gossip) Fetch(_ context.Context, req *gossippb.FetchRequest) (*gossippb.FetchReply, error) {
	reply := &gossippb.FetchReply{}
	if err := g.fillConfiguration(reply, req.GetHaveRevision()); err != nil {
		return nil, err
	}
	return reply, g.fillMembers(reply, req.GetHaveMemberVersion())
}

func (g *Gossip) fillConfiguration(reply *gossippb.FetchReply, have int64) error {
	records, ok := g.config.Adoption.Records(have)
	if !ok {
		data, err := document.Marshal(g.config.Adoption.Current().Snapshot())
		reply.Snapshot = data
		return errors.Wrap(err, "encode snapshot")
	}
	var err error
	reply.Edits, err = encodeAll(records)
	return err
}

func (g *Gossip) fillMembers(reply *gossippb.FetchReply, have int64) error {
	changes, ok := g.config.Adoption.Changes(have)
	if !ok {
		data, err := document.Marshal(g.config.Adoption.Members())
		reply.MemberList = data
		return errors.Wrap(err, "encode member list")
	}
	var err error
	reply.MemberChanges, err = encodeAll(changes)
	return err
}

func encodeAll[T any](items []T) ([][]byte, error) {
	encoded := make([][]byte, 0, len(items))
	for i := range items {
		data, err := document.Marshal(&items[i])
		if err != nil {
			return nil, errors.Wrap(err, "encode edit or member-list change")
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}

func decodeAll[T any](encoded [][]byte) ([]T, error) {
	items := make([]T, len(encoded))
	for i, data := range encoded {
		if err := document.Unmarshal(data, &items[i]); err != nil {
			return nil, errors.Wrap(err, "decode edit or member-list change")
		}
	}
	return items, nil
}

// fetch adopts the state of the process at addr as far as it is higher than the
// state of this process. The configuration is adopted first, because a member
// list is used only with the revision in force when the list was made, or a
// later one.
func (g *Gossip) fetch(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have := g.config.Adoption.State()
	reply, err := g.client(ctx, addr).Fetch(ctx, &gossippb.FetchRequest{
		HaveRevision: have.Revision, HaveMemberVersion: have.Members,
	})
	if err != nil {
		return errors.Wrap(err, "fetch state")
	}
	if err := g.adoptConfiguration(reply.GetSnapshot(), reply.GetEdits()); err != nil {
		return err
	}
	return g.adoptMembers(reply)
}

func (g *Gossip) adoptConfiguration(snapshot []byte, edits [][]byte) error {
	if len(snapshot) > 0 {
		s := revision.Empty()
		if err := document.Unmarshal(snapshot, s); err != nil {
			return errors.Wrap(err, "decode snapshot")
		}
		g.config.Adoption.Adopt(s)
	}
	records, err := decodeAll[revision.Record](edits)
	if err != nil {
		return err
	}
	return g.config.Adoption.Replay(records)
}

func (g *Gossip) adoptMembers(reply *gossippb.FetchReply) error {
	if len(reply.GetMemberList()) > 0 {
		list := memberlist.Empty()
		if err := document.Unmarshal(reply.GetMemberList(), list); err != nil {
			return errors.Wrap(err, "decode member list")
		}
		g.config.Adoption.AdoptMembers(list)
	}
	changes, err := decodeAll[memberlist.Change](reply.GetMemberChanges())
	if err != nil {
		return err
	}
	g.config.Adoption.ChangeMembers(changes)
	return nil
}
