// Package reconciler maintains the member list. It settles versions of the list:
// once the witnesses of every earlier version have adopted a version, edits need
// a majority of the current list only. It also removes members whose VM is no
// longer listed by the platform.
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
	// minInterval and maxInterval bound the time between two attempts to settle the
	// member list. It doubles while the list stays the same. Soon after a change, an edit
	// may depend on every member of a short earlier list.
	minInterval = 200 * time.Millisecond
	maxInterval = 2 * time.Second
	// listLag is the age below which a member is never removed, since the
	// platform's list lags and may not contain its VM yet.
	listLag = 2 * time.Minute
)

// Config contains the dependencies of a Reconciler.
type Config struct {
	Adoption *adoption.Adoption
	Registry *registry.Registry
	Gossip   *gossip.Gossip
	// VMs is the platform's list of VMs.
	VMs vmlist.List
	// Unreachable reports whether a member is unreachable.
	Unreachable func(incarnation string) bool
	// Self is the address of this VM.
	Self netip.Addr
	// Owns reports whether this process is responsible for the member list.
	// Reconciling in several processes at once is safe.
	Owns   func() bool
	Clock  clockwork.Clock
	Logger hclog.Logger
}

// Reconciler settles member list versions and removes members without a VM.
type Reconciler struct {
	config Config
	done   chan struct{}
}

// New returns a reconciler.
func New(c Config) *Reconciler { return &Reconciler{config: c, done: make(chan struct{})} }

// Run reconciles periodically until ctx is done. It must be called only once.
func (r *Reconciler) Run(ctx context.Context) {
	defer close(r.done)
	ticker := r.config.Clock.NewTicker(minInterval)
	defer ticker.Stop()
	var settling schedule
	var removeAt time.Time
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
		now := r.config.Clock.Now()
		settle := settling.due(r.config.Adoption.Members().Version, now)
		remove := !now.Before(removeAt)
		if (!settle && !remove) || !r.config.Owns() {
			continue
		}
		if settle {
			if err := r.settle(ctx); err != nil && ctx.Err() == nil {
				r.config.Logger.Warn("could not settle the member list", "error", err)
			}
		}
		if !remove {
			continue
		}
		removeAt = now.Add(maxInterval)
		if err := r.removeMembersWithoutVM(ctx); err != nil && ctx.Err() == nil {
			r.config.Logger.Warn("could not remove members without a VM", "error", err)
		}
	}
}

// schedule is that of the attempts to settle the member list.
type schedule struct {
	version  int64
	last     time.Time
	interval time.Duration
}

// due reports whether to attempt now to settle the given version of the list. Versions
// that follow each other within minInterval are settled together.
func (s *schedule) due(version int64, now time.Time) bool {
	if version != s.version {
		s.version, s.interval = version, minInterval
	}
	if now.Sub(s.last) < s.interval {
		return false
	}
	s.last = now
	s.interval = min(2*s.interval, maxInterval)
	return true
}

// Done is closed when Run has returned.
func (r *Reconciler) Done() <-chan struct{} { return r.done }

// settle requests the states of the witnesses and records the highest version
// that they settle. It does nothing unless a gateway has joined after the last
// settled version.
func (r *Reconciler) settle(ctx context.Context) error {
	list := r.config.Adoption.Members()
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
	states := r.config.Gossip.States(ctx, witnesses)
	settled := freshness.New(list).SettledVersion(states)
	if settled <= list.Settled {
		return nil
	}
	return r.config.Registry.Change(ctx, list, func(now *memberlist.List) *memberlist.Change {
		if settled <= now.Settled {
			return nil
		}
		return &memberlist.Change{Settled: settled}
	})
}

// removeMembersWithoutVM removes members that are silent and whose VM is not in
// the platform's list. As a safeguard against a wrong list, it removes nothing if
// the list lacks the VM of this process.
func (r *Reconciler) removeMembersWithoutVM(ctx context.Context) error {
	list := r.config.Adoption.Members()
	now := r.config.Clock.Now()
	var silent []member.Member
	for _, m := range list.Members {
		if now.Sub(m.Started) > listLag && r.config.Unreachable(m.Incarnation) {
			silent = append(silent, m)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	vms, err := r.config.VMs.VMs(ctx)
	if err != nil {
		return err
	}
	listed := map[netip.Addr]bool{}
	for _, vm := range vms {
		listed[vm.Address] = true
	}
	if !listed[r.config.Self] {
		return nil
	}
	var withoutVM []string
	for _, m := range silent {
		if !listed[m.PeerAddress.Addr()] {
			withoutVM = append(withoutVM, m.Incarnation)
		}
	}
	if len(withoutVM) == 0 {
		return nil
	}
	return r.config.Registry.Change(ctx, list, func(now *memberlist.List) *memberlist.Change {
		remaining := slices.DeleteFunc(withoutVM, func(incarnation string) bool {
			_, ok := now.Find(incarnation)
			return !ok
		})
		if len(remaining) == 0 {
			return nil
		}
		return &memberlist.Change{Drop: remaining}
	})
}
