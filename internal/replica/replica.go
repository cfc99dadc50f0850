// Package replica maintains a process's copy of the state that all processes
// share: the configuration and the member list. It follows the store and the
// other processes, and serves the copy to them.
package replica

import (
	"context"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/configstore"
	"fireflypier.example/fireflypier/internal/follower"
	"fireflypier.example/fireflypier/internal/gossip"
	"fireflypier.example/fireflypier/internal/gossip/gossippb"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/membership"
	"fireflypier.example/fireflypier/internal/objectstore"
	"fireflypier.example/fireflypier/internal/peer"
	"fireflypier.example/fireflypier/internal/registry"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/suspicion"
	"fireflypier.example/fireflypier/internal/table"
)

// Config holds the settings and dependencies of a Replica.
type Config struct {
	// Self describes this process.
	Self member.Member
	// MaxConfirmationAge is the age of the last confirmation above which
	// requests are refused.
	MaxConfirmationAge time.Duration
	// Seeds are peer addresses to fetch the state from if the store is
	// unavailable at the start.
	Seeds []netip.AddrPort
	// Table and Objects are the stores of the platform.
	Table   table.Table
	Objects objectstore.Store
	Dialer  *peer.Dialer
	Clock   clockwork.Clock
	Logger  hclog.Logger
}

// Replica is a process's copy of the shared state.
type Replica struct {
	adoption    *adoption.Adoption
	configStore *configstore.Repository
	registry    *registry.Registry
	membership  *membership.Membership
	gossip      *gossip.Gossip
	follower    *follower.Follower
	done        chan struct{}
}

// New returns a replica at revision zero. Call Serve and Run to let it serve
// and follow.
func New(c Config) *Replica {
	r := &Replica{
		adoption: adoption.New(c.Clock, c.MaxConfirmationAge),
		registry: registry.New(c.Table, c.Clock),
		done:     make(chan struct{}),
	}
	snapshot := func() *revision.Snapshot { return r.adoption.Current().Snapshot() }
	r.configStore = configstore.New(c.Table, c.Objects, snapshot, c.Clock)
	suspicions := suspicion.New(c.Self.Incarnation)
	r.membership = membership.New(c.Self, r.registry, r.adoption, suspicions, c.Clock, c.Logger)
	r.gossip = gossip.New(gossip.Config{
		Self: c.Self, Adoption: r.adoption, Suspicion: suspicions, Dialer: c.Dialer,
		Seeds: c.Seeds, Clock: c.Clock, Logger: c.Logger,
	})
	r.follower = follower.New(follower.Config{
		ConfigStore: r.configStore, Registry: r.registry, Adoption: r.adoption,
		Confirm: r.gossip.Confirm, Clock: c.Clock, Logger: c.Logger,
	})
	return r
}

// Serve registers the service for the other processes with mux.
func (r *Replica) Serve(mux drpc.Mux) error {
	return errors.Wrap(gossippb.DRPCRegisterGossip(mux, r.gossip), "register gossip")
}

// Run follows the store and the other processes until ctx is done. It must be
// called at most once.
func (r *Replica) Run(ctx context.Context) {
	defer close(r.done)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.follower.Run(ctx) })
	wg.Go(func() { r.gossip.Run(ctx) })
	wg.Go(func() { r.membership.Run(ctx) })
}

// Done returns a channel that is closed when Run returns.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Adoption returns the configuration and the member list in force.
func (r *Replica) Adoption() *adoption.Adoption { return r.adoption }

// ConfigStore returns access to the stored configuration.
func (r *Replica) ConfigStore() *configstore.Repository { return r.configStore }

// Registry returns access to the stored member list.
func (r *Replica) Registry() *registry.Registry { return r.registry }

// Membership returns this process's membership of the fleet.
func (r *Replica) Membership() *membership.Membership { return r.membership }

// Gossip returns the digest exchange with the other processes.
func (r *Replica) Gossip() *gossip.Gossip { return r.gossip }
