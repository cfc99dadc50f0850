package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/weightsdemand"
)

// placer records the demand for weights and has adapters loaded for requests.
type placer struct{ n *Node }

// RecordDemand implements forward.Placer. Demand is counted as work, so that slow models
// get more engines than fast ones with as many tokens.
func (p placer) RecordDemand(pool, model, adapter string, tokens int, waits bool) {
	n := p.n
	if c := n.policy.Load(); c != nil {
		if spec, ok := c.Pool(pool); ok {
			tokens = n.view.WorkTokens(spec, model, tokens)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.demand.AddRequest(weightsdemand.Key{Pool: pool, Model: model, Adapter: adapter}, tokens, waits, n.clock.Now())
}

// AddRunning implements forward.Placer.
func (p placer) AddRunning(pool, model, adapter string, change int) {
	n := p.n
	n.mu.Lock()
	defer n.mu.Unlock()
	n.demand.AdjustRunning(weightsdemand.Key{Pool: pool, Model: model, Adapter: adapter}, change, n.clock.Now())
}

// loadAdapterTimeout is the time-out for loading an adapter. A load takes a few
// milliseconds once the engine has accepted it.
const loadAdapterTimeout = 500 * time.Millisecond

// LoadAdapter implements forward.Placer. The leader orders the load; the other VMs
// request it from the leader.
func (p placer) LoadAdapter(ctx context.Context, pool, model, adapter string) (string, error) {
	n := p.n
	ctx, cancel := context.WithTimeout(ctx, loadAdapterTimeout)
	defer cancel()
	if n.election.Term() != nil {
		return n.engineControl.LoadAdapter(ctx, pool, model, adapter), nil
	}
	addr, ok := n.leader()
	if !ok {
		return "", errors.New("no VM is the leader")
	}
	reply, err := n.mesh.Need(ctx, addr, &meshpb.NeedRequest{Pool: pool, Model: model, Adapter: adapter})
	if err != nil {
		return "", err
	}
	if id := reply.GetTarget(); id != "" {
		n.view.AddAdapter(id, model, adapter, n.clock.Now())
	}
	return reply.GetTarget(), nil
}
