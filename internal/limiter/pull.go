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

// round asks the peers one after another and returns what still lacks. First
// each is asked for all of it; only when none has all, but all have enough
// together, is each asked for a part.
func (cu *customer) round(ctx context.Context) (lack float64) {
	peers := cu.peers()
	lack = cu.admit()
	available := 0.0
	for i := range peers {
		if lack == 0 || ctx.Err() != nil {
			return lack
		}
		available += cu.pullFrom(ctx, &peers[i], lack, false)
		lack = cu.admit()
	}
	for i := range peers {
		if lack == 0 || available < lack || ctx.Err() != nil {
			return lack
		}
		cu.pullFrom(ctx, &peers[i], lack, true)
		lack = cu.admit()
	}
	return lack
}

// peers returns whom to ask: the holders, or any gateway while no row is known.
func (cu *customer) peers() []share.Holder {
	cu.mu.Lock()
	peers := cu.share.Peers()
	version, _ := cu.share.Version()
	cu.mu.Unlock()
	if version == 0 {
		peers = cu.limiter.parts.Gateways(cu.name)
	}
	return peers[:min(len(peers), pullPeers)]
}

// pullFrom asks one peer and returns the tokens that it has left. The time
// counts from before the question.
func (cu *customer) pullFrom(ctx context.Context, h *share.Holder, tokens float64, partial bool) (available float64) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	cu.limiter.counts.pulls.Inc()
	asked := cu.now()
	reply, err := cu.limiter.parts.Peers.Pull(ctx, h, cu.question(tokens, partial))
	if err != nil {
		cu.setLost()
		cu.limiter.counts.pullErrors.Inc()
		ended := cu.limiter.vms.unreached(h, err)
		cu.limiter.parts.Logger.Debug("tokens not pulled", "customer", cu.name, "peer", h.Name, "ended", ended, "error", err)
		return 0
	}
	cu.mu.Lock()
	defer cu.mu.Unlock()
	now := cu.now()
	cu.share.AddBorrowed(reply.GetTokens(), asked, now)
	cu.limiter.counts.pulled.Add(reply.GetTokens())
	if reply.GetRowVersion() > 0 {
		cu.observe(reply.GetRow(), reply.GetRowVersion(), time.Time{})
	}
	return reply.GetAvailable() - reply.GetTokens()
}

func (cu *customer) setLost() {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.lost = true
}

func (cu *customer) question(tokens float64, partial bool) *sharepb.PullRequest {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	self := &cu.limiter.parts.Self
	req := &sharepb.PullRequest{
		Customer: cu.name, Tokens: tokens, Partial: partial, Demand: cu.share.Demand(cu.now()),
		Gateway: self.Name, Incarnation: self.Incarnation,
		Address: self.Address.String(), Region: self.Region,
	}
	req.Row, req.RowVersion = cu.encodedRow()
	return req
}

// encodedRow returns the newest known row and its version, zero when there is
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
// answer is sent; when the answer is lost, so are they. A gateway that has had
// no request of the customer may hold a reserve that it learns of here.
func (s *Server) Pull(_ context.Context, req *sharepb.PullRequest) (*sharepb.PullReply, error) {
	cu, err := s.limiter.customer(req.GetCustomer())
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(req.GetAddress())
	if err != nil {
		return nil, err
	}
	return cu.give(share.Holder{
		Name: req.GetGateway(), Incarnation: req.GetIncarnation(),
		Address: address, Region: req.GetRegion(),
	}, req), nil
}

// give debits tokens for a peer, none while own requests wait.
func (cu *customer) give(to share.Holder, req *sharepb.PullRequest) *sharepb.PullReply {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	if req.GetRowVersion() > 0 {
		cu.observe(req.GetRow(), req.GetRowVersion(), time.Time{})
	}
	tokens := req.GetTokens()
	if len(cu.waiters) > 0 || cu.limiter.parts.CheckAdmission() != nil {
		tokens = 0
	}
	reply := &sharepb.PullReply{}
	reply.Tokens, reply.Available = cu.share.LendTo(to, tokens, req.GetDemand(), req.GetPartial(), cu.now())
	cu.limiter.counts.given.Add(reply.GetTokens())
	if version, _ := cu.share.Version(); version != req.GetRowVersion() {
		reply.Row, reply.RowVersion = cu.encodedRow()
	}
	return reply
}
