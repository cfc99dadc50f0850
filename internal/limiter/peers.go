package limiter

import (
	"context"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/peer"
	"fireflypier.example/fireflypier/internal/share"
	"fireflypier.example/fireflypier/internal/share/sharepb"
)

// rpcPeers implements Peers by RPC over connections to other gateways.
type rpcPeers struct{ dialer *peer.Dialer }

// NewPeers returns a Peers that calls other gateways over connections of d.
func NewPeers(d *peer.Dialer) Peers { return rpcPeers{d} }

// Pull implements Peers.
func (p rpcPeers) Pull(ctx context.Context, h *share.Holder, req *sharepb.PullRequest) (*sharepb.PullReply, error) {
	reply, err := sharepb.NewDRPCSharesClient(p.dialer.Conn(ctx, h.Address)).Pull(ctx, req)
	return reply, errors.Wrap(err, "pull tokens")
}
