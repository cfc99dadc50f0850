package limiter

import (
	"context"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/peer"
	"fireflypier.example/fireflypier/internal/share"
	"fireflypier.example/fireflypier/internal/share/sharepb"
)

// dialed implements Peers over connections to other processes.
type dialed struct{ dialer *peer.Dialer }

// NewPeers returns the Peers that d reaches.
func NewPeers(d *peer.Dialer) Peers { return dialed{d} }

// Pull implements Peers.
func (p dialed) Pull(ctx context.Context, h *share.Holder, req *sharepb.PullRequest) (*sharepb.PullReply, error) {
	reply, err := sharepb.NewDRPCSharesClient(p.dialer.Conn(ctx, h.Address)).Pull(ctx, req)
	return reply, errors.Wrap(err, "pull tokens")
}
