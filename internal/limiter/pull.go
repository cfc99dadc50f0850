package limiter

import (
	"context"
	"net/netip"
	"time"

	"fireflypier.example/fireflypier/internal/bucket"
	"fireflypier.example/fireflypier/internal/share"
	"fireflypier.example/fireflypier/internal/share/sharepb"
)

const (
	// pullTimeout bounds one pull. Tokens that arrive later have expired.
	pullTimeout = bucket.LoanLifetime
	// maxPullPeers bounds the peers that receive pulls in one round.
	maxPullPeers = 8
	// pullBackoff is the time between two rounds that found too few tokens.
	pullBackoff = 50 * time.Millisecond
)

// startPulling starts a goroutine that pulls tokens while requests wait, unless
// one runs already. The mutex is held.
func (cu *customer) startPulling() {
	if cu.pulling || cu.limiter.ctx.Err() != nil {
		return
	}
	cu.pulling = true
	cu.limiter.pullers.Go(func() { cu.pull(cu.limiter.ctx) })
}

// pull pulls tokens from peers until no request waits.
func (cu *customer) pull(ctx context.Context) {
	for cu.updatePulling() && ctx.Err() == nil {
		if !cu.rowKnown() {
			cu.reconcile(ctx)
		}
		if cu.admit() > 0 && cu.pullRound(ctx) > 0 {
			cu.refuseUnservable()
			cu.backOff(ctx)
		}
	}
}

func (cu *customer) updatePulling() bool {
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

// pullRound pulls from the peers one after another and returns how many tokens
// are still missing. It first requests all missing tokens from each peer. Only if
// no peer has all of them, but the peers together have enough, does it accept
// partial replies.
func (cu *customer) pullRound(ctx context.Context) (deficit float64) {
	peers := cu.peers()
	deficit = cu.admit()
	available := 0.0
	for i := range peers {
		if deficit == 0 || ctx.Err() != nil {
			return deficit
		}
		available += cu.pullFrom(ctx, &peers[i], deficit, false)
		deficit = cu.admit()
	}
	for i := range peers {
		if deficit == 0 || available < deficit || ctx.Err() != nil {
			return deficit
		}
		cu.pullFrom(ctx, &peers[i], deficit, true)
		deficit = cu.admit()
	}
	return deficit
}

// peers returns the gateways to pull from: the holders, or any gateways while
// no row is known.
func (cu *customer) peers() []share.Holder {
	cu.mu.Lock()
	peers := cu.share.Peers()
	version, _ := cu.share.Version()
	cu.mu.Unlock()
	if version == 0 {
		peers = cu.limiter.config.Gateways(cu.name)
	}
	return peers[:min(len(peers), maxPullPeers)]
}

// pullFrom pulls from one peer and returns the number of own tokens that the
// peer has left, zero on an error. The lifetime of the tokens starts before the
// request is sent.
func (cu *customer) pullFrom(ctx context.Context, h *share.Holder, tokens float64, partial bool) (available float64) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	cu.limiter.metrics.pulls.Inc()
	requestedAt := cu.now()
	reply, err := cu.limiter.config.Peers.Pull(ctx, h, cu.pullRequest(tokens, partial))
	if err != nil {
		cu.setHolderUnreachable()
		cu.limiter.metrics.pullErrors.Inc()
		terminated := cu.limiter.terminations.recordCallError(h, err)
		cu.limiter.config.Logger.Debug("pull of tokens failed", "customer", cu.name, "peer", h.Name, "ended", terminated, "error", err)
		return 0
	}
	cu.mu.Lock()
	defer cu.mu.Unlock()
	now := cu.now()
	cu.share.AddBorrowed(reply.GetTokens(), requestedAt, now)
	cu.limiter.metrics.pulled.Add(reply.GetTokens())
	if reply.GetRowVersion() > 0 {
		cu.observe(reply.GetRow(), reply.GetRowVersion(), time.Time{})
	}
	return reply.GetAvailable() - reply.GetTokens()
}

func (cu *customer) setHolderUnreachable() {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.holderUnreachable = true
}

func (cu *customer) pullRequest(tokens float64, partial bool) *sharepb.PullRequest {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	self := &cu.limiter.config.Self
	req := &sharepb.PullRequest{
		Customer: cu.name, Tokens: tokens, Partial: partial, Demand: cu.share.Demand(cu.now()),
		Gateway: self.Name, Incarnation: self.Incarnation,
		Address: self.Address.String(), Region: self.Region,
	}
	req.Row, req.RowVersion = cu.encodedRow()
	return req
}

// encodedRow returns the newest observed row and its version, zero when there is
// none. The mutex is held.
func (cu *customer) encodedRow() (value []byte, version int64) {
	version, _ = cu.share.Version()
	if version == 0 {
		return nil, 0
	}
	row := cu.share.Row()
	value, err := row.Encode()
	if err != nil {
		return nil, 0
	}
	return value, version
}

// observe passes a row to the share. Rows that cannot be decoded are logged and
// ignored. The mutex is held.
func (cu *customer) observe(value []byte, version int64, readAt time.Time) {
	row := share.Row{}
	if version > 0 {
		var err error
		if row, err = share.DecodeRow(value); err != nil {
			cu.limiter.config.Logger.Error("share row cannot be decoded", "customer", cu.name, "error", err)
			return
		}
	}
	cu.share.Observe(row, version, readAt, cu.now())
}

// backOff waits for pullBackoff before the next round.
func (cu *customer) backOff(ctx context.Context) {
	timer := cu.limiter.config.Clock.NewTimer(pullBackoff)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// Server handles the pulls of other gateways. It implements
// sharepb.DRPCSharesServer.
type Server struct {
	sharepb.DRPCSharesUnimplementedServer
	limiter *Limiter
}

// Server returns the service that other gateways call.
func (l *Limiter) Server() *Server { return &Server{limiter: l} }

// Pull implements sharepb.DRPCSharesServer. The tokens are debited before the
// reply is sent; if the reply is lost, the tokens are lost too. A gateway without
// requests of the customer may be its standby; a pull then delivers the share row
// that lists it.
func (s *Server) Pull(_ context.Context, req *sharepb.PullRequest) (*sharepb.PullReply, error) {
	cu, err := s.limiter.customer(req.GetCustomer())
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(req.GetAddress())
	if err != nil {
		return nil, err
	}
	return cu.lendTo(share.Holder{
		Name: req.GetGateway(), Incarnation: req.GetIncarnation(),
		Address: address, Region: req.GetRegion(),
	}, req), nil
}

// lendTo debits tokens for a peer, or none while own requests wait or this
// gateway must not admit requests.
func (cu *customer) lendTo(to share.Holder, req *sharepb.PullRequest) *sharepb.PullReply {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if req.GetRowVersion() > 0 {
		cu.observe(req.GetRow(), req.GetRowVersion(), time.Time{})
	}
	tokens := req.GetTokens()
	if len(cu.waiters) > 0 || cu.limiter.config.CheckAdmission() != nil {
		tokens = 0
	}
	reply := &sharepb.PullReply{}
	reply.Tokens, reply.Available = cu.share.LendTo(to, tokens, req.GetDemand(), req.GetPartial(), cu.now())
	cu.limiter.metrics.lent.Add(reply.GetTokens())
	if version, _ := cu.share.Version(); version != req.GetRowVersion() {
		reply.Row, reply.RowVersion = cu.encodedRow()
	}
	return reply
}
