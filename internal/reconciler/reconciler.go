// Package reconciler settles changes of the member list: once the witnesses
// of every earlier list have adopted it, edits need a majority of the present
// list alone.
package reconciler

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/freshness"
	"fireflypier.example/fireflypier/internal/gossip"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/memberlist"
	"fireflypier.example/fireflypier/internal/register"
)

const interval = 2 * time.Second

// Parts are what a reconciler stands on.
type Parts struct {
	Adoption *adoption.Adoption
	Register *register.Register
	Gossip   *gossip.Gossip
	// Owns reports whether this process is the one to reconcile; two at
	// once do no harm.
	Owns   func() bool
	Clock  clockwork.Clock
	Logger hclog.Logger
}

// Reconciler settles the member list.
type Reconciler struct {
	parts Parts
	done  chan struct{}
}

// New returns a reconciler.
func New(p Parts) *Reconciler { return &Reconciler{parts: p, done: make(chan struct{})} }

// Run reconciles until ctx ends. It may be called once.
func (r *Reconciler) Run(ctx context.Context) {
	defer close(r.done)
	ticker := r.parts.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
		if !r.parts.Owns() {
			continue
		}
		if err := r.settle(ctx); err != nil && ctx.Err() == nil {
			r.parts.Logger.Warn("member list not settled", "error", err)
		}
	}
}

// Done is closed when Run has returned.
func (r *Reconciler) Done() <-chan struct{} { return r.done }

// settle asks the witnesses which list they have adopted, while one has
// joined since the last settled list.
func (r *Reconciler) settle(ctx context.Context) error {
	list := r.parts.Adoption.Members()
	var witnesses []member.Member
	pending := false
	for _, m := range list.Members {
		if m.Role == member.Gateway {
			witnesses = append(witnesses, m)
			pending = pending || m.Joined > list.Settled
		}
	}
	if !pending {
		return nil
	}
	states := r.parts.Gossip.States(ctx, witnesses)
	settled := freshness.New(list).Settles(states)
	if settled <= list.Settled {
		return nil
	}
	return r.parts.Register.Change(ctx, list, func(now *memberlist.List) *memberlist.Change {
		if settled <= now.Settled {
			return nil
		}
		return &memberlist.Change{Settled: settled}
	})
}
