// Package reconciler keeps the member list in order. It settles changes: once
// the witnesses of every earlier list have adopted one, edits need a majority
// of the present list alone. And it takes out members whose VM the platform
// no longer lists.
package reconciler

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/freshness"
	"fireflypier.example/fireflypier/internal/gossip"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/memberlist"
	"fireflypier.example/fireflypier/internal/registry"
	"fireflypier.example/fireflypier/internal/vmlist"
)

const (
	interval = 2 * time.Second
	// listLag is the age from which a member's VM must be in the platform's
	// list.
	listLag = 2 * time.Minute
)

// Parts are what a reconciler stands on.
type Parts struct {
	Adoption *adoption.Adoption
	Registry *registry.Registry
	Gossip   *gossip.Gossip
	// VMs is the platform's list; Unreachable reports whether a member is
	// unreachable, and Self is the address of this VM.
	VMs         vmlist.List
	Unreachable func(incarnation string) bool
	Self        netip.Addr
	// Owns reports whether this process is the one to reconcile; two at
	// once do no harm.
	Owns   func() bool
	Clock  clockwork.Clock
	Logger hclog.Logger
}

// Reconciler keeps the member list in order.
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
		if err := r.dropGone(ctx); err != nil && ctx.Err() == nil {
			r.parts.Logger.Warn("members of VMs that are gone not taken out", "error", err)
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
	settled := freshness.New(list).SettledVersion(states)
	if settled <= list.Settled {
		return nil
	}
	return r.parts.Registry.Change(ctx, list, func(now *memberlist.List) *memberlist.Change {
		if settled <= now.Settled {
			return nil
		}
		return &memberlist.Change{Settled: settled}
	})
}

// dropGone takes out members that are silent and whose VM is not in the
// platform's list. The list must name this process's own VM.
func (r *Reconciler) dropGone(ctx context.Context) error {
	list := r.parts.Adoption.Members()
	now := r.parts.Clock.Now()
	var silent []member.Member
	for _, m := range list.Members {
		if now.Sub(m.Started) > listLag && r.parts.Unreachable(m.Incarnation) {
			silent = append(silent, m)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	vms, err := r.parts.VMs.VMs(ctx)
	if err != nil {
		return err
	}
	listed := map[netip.Addr]bool{}
	for _, vm := range vms {
		listed[vm.Address] = true
	}
	if !listed[r.parts.Self] {
		return nil
	}
	var gone []string
	for _, m := range silent {
		if !listed[m.PeerAddress.Addr()] {
			gone = append(gone, m.Incarnation)
		}
	}
	if len(gone) == 0 {
		return nil
	}
	return r.parts.Registry.Change(ctx, list, func(now *memberlist.List) *memberlist.Change {
		left := slices.DeleteFunc(gone, func(incarnation string) bool {
			_, ok := now.Find(incarnation)
			return !ok
		})
		if len(left) == 0 {
			return nil
		}
		return &memberlist.Change{Drop: left}
	})
}
