package limiter

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/bucket"
	"fireflypier.example/fireflypier/internal/share"
	"fireflypier.example/fireflypier/internal/share/sharepb"
)

const (
	// pullTimeout bounds one pull.
	pullTimeout = bucket.LoanLifetime
	// pullPeers bounds the peers that are asked in one round.
	pullPeers = 8
	// dryInterval is the time between two rounds that found too little.
	dryInterval = 50 * time.Millisecond
)

// startPulling runs a puller while requests wait. The mutex is held.
func (cu *customer) startPulling() {
	if cu.pulling || cu.limiter.ctx.Err() != nil {
		return
	}
	cu.pulling = true
	cu.limiter.pullers.Go(func() { cu.pull(cu.limiter.ctx) })
}

// pull finds tokens for the waiting requests until none waits.
func (cu *customer) pull(ctx context.Context) {
	for cu.stillPulling() && ctx.Err() == nil {
		if !cu.rowKnown() {
			cu.reconcile(ctx)
		}
		if cu.admit() > 0 && cu.round(ctx) > 0 {
			cu.refuseHopeless()
			cu.pause(ctx)
		}
	}
}

func (cu *customer) stillPulling() bool {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.pulling = len(cu.waiters) > 0
	return cu.pulling
}

func (cu *customer) rowKnown() bool {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	version, _ := cu.share.Version()
	return version > 0
}

// round asks the peers one after another and returns what still lacks.
func (cu *customer) round(ctx context.Context) (lack float64) {
	lack = cu.admit()
	for _, h := range cu.peers() {
		if lack == 0 || ctx.Err() != nil {
			return lack
		}
		cu.pullFrom(ctx, &h, lack)
		lack = cu.admit()
	}
	return lack
}

// peers returns whom to ask: the holders, largest share first, or any gateway
// while no row is known.
func (cu *customer) peers() []share.Holder {
	cu.mu.Lock()
	peers := cu.share.Peers()
	version, _ := cu.share.Version()
	cu.mu.Unlock()
	if version == 0 {
		peers = cu.limiter.parts.Gateways(cu.name)
	}
	slices.SortStableFunc(peers, func(a, b share.Holder) int { return cmp.Compare(b.Parts, a.Parts) })
	return peers[:min(len(peers), pullPeers)]
}

// pullFrom asks one peer. The time counts from before the question.
func (cu *customer) pullFrom(ctx context.Context, h *share.Holder, tokens float64) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	cu.limiter.counts.pulls.Inc()
	asked := cu.now()
	reply, err := cu.limiter.parts.Peers.Pull(ctx, h, cu.question(tokens))
	if err != nil {
		cu.limiter.counts.pullErrors.Inc()
		cu.limiter.parts.Logger.Debug("tokens not pulled", "customer", cu.name, "peer", h.Name, "error", err)
		return
	}
	cu.mu.Lock()
	defer cu.mu.Unlock()
	now := cu.now()
	cu.share.Receive(reply.GetTokens(), asked, now)
	cu.limiter.counts.pulled.Add(reply.GetTokens())
	if reply.GetRowVersion() > 0 {
		cu.observe(reply.GetRow(), reply.GetRowVersion(), time.Time{})
	}
}

func (cu *customer) question(tokens float64) *sharepb.PullRequest {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	self := &cu.limiter.parts.Self
	return &sharepb.PullRequest{
		Customer: cu.name, Tokens: tokens, Demand: cu.share.Demand(cu.now()),
		Gateway: self.Name, Incarnation: self.Incarnation,
		Address: self.Address.String(), Region: self.Region,
	}
}

// observe takes in a row. The mutex is held.
func (cu *customer) observe(value []byte, version int64, readAt time.Time) {
	row := share.Row{}
	if version > 0 {
		var err error
		if row, err = share.DecodeRow(value); err != nil {
			cu.limiter.parts.Logger.Error("share row not understood", "customer", cu.name, "error", err)
			return
		}
	}
	cu.share.Observe(row, version, readAt, cu.now())
}

// pause waits until asking again may help.
func (cu *customer) pause(ctx context.Context) {
	timer := cu.limiter.parts.Clock.NewTimer(dryInterval)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// Server answers pulls of other gateways. It implements
// sharepb.DRPCSharesServer.
type Server struct {
	sharepb.DRPCSharesUnimplementedServer
	limiter *Limiter
}

// Server returns the service that other gateways call.
func (l *Limiter) Server() *Server { return &Server{limiter: l} }

// Pull implements sharepb.DRPCSharesServer. The tokens are debited before the
// answer is sent; when the answer is lost, so are they.
func (s *Server) Pull(_ context.Context, req *sharepb.PullRequest) (*sharepb.PullReply, error) {
	l := s.limiter
	l.mu.RLock()
	cu, ok := l.customers[req.GetCustomer()]
	l.mu.RUnlock()
	if !ok {
		return &sharepb.PullReply{}, nil
	}
	address, err := netip.ParseAddrPort(req.GetAddress())
	if err != nil {
		return nil, err
	}
	return cu.give(share.Holder{
		Name: req.GetGateway(), Incarnation: req.GetIncarnation(),
		Address: address, Region: req.GetRegion(),
	}, req.GetTokens(), req.GetDemand())
}

// give debits tokens for a peer, none while own requests wait.
func (cu *customer) give(to share.Holder, tokens, demand float64) (*sharepb.PullReply, error) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if len(cu.waiters) > 0 || cu.limiter.parts.Fresh() != nil {
		tokens = 0
	}
	reply := &sharepb.PullReply{}
	reply.Tokens = cu.share.Give(to, tokens, demand, cu.now())
	cu.limiter.counts.given.Add(reply.GetTokens())
	row := cu.share.Row()
	version, _ := cu.share.Version()
	if version == 0 {
		return reply, nil
	}
	var err error
	reply.Row, err = row.Encode()
	reply.RowVersion = version
	return reply, err
}
