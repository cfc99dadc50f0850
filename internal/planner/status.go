package planner

import (
	"context"
	"net/netip"

	"fireflypier.example/fireflypier/internal/collector"
	"fireflypier.example/fireflypier/internal/feed/feedpb"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/shardplan"
)

// Status returns the state of the shards whose lease this controller holds, for
// operators.
func (p *Planner) Status() []shardplan.Status {
	held := p.held()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	shards := make([]shardplan.Status, 0, len(held))
	for _, s := range held {
		status := s.plan.Status(p.demand, now)
		status.Shard = s.shard.Key
		shards = append(shards, status)
	}
	return shards
}

// DemandReport records a demand report of a gateway. It wakes the planner if
// requests are waiting.
func (p *Planner) DemandReport(_ context.Context, r *feedpb.DemandReport) (*feedpb.DemandAnswer, error) {
	waiting := false
	for _, level := range r.GetLevels() {
		p.RecordDemand(r.GetGateway(), level.GetName(), float64(level.GetTokens()), int(level.GetWaiting()))
		waiting = waiting || level.GetWaiting() > 0
	}
	if waiting {
		p.Wake()
	}
	return &feedpb.DemandAnswer{}, nil
}

func ledgerKey(addr netip.AddrPort) string { return ledger.RowKey(addr) }

// recordReport passes a collected report of the engine at addr to plan, or nil
// if the engine did not answer.
func recordReport(c *collector.LastReport, plan *shardplan.Plan, addr netip.AddrPort) {
	if !c.Reachable {
		plan.Report(addr, nil, c.At)
		return
	}
	plan.Report(addr, c.Report, c.At)
}
