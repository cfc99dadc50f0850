// Package replica is a process's copy of the state that all processes share:
// the configuration and the member list. It follows the store and the other
// processes and answers them.
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
	"fireflypier.example/fireflypier/internal/follower"
	"fireflypier.example/fireflypier/internal/gossip"
	"fireflypier.example/fireflypier/internal/gossip/gossippb"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/membership"
	"fireflypier.example/fireflypier/internal/objectstore"
	"fireflypier.example/fireflypier/internal/peer"
	"fireflypier.example/fireflypier/internal/publication"
	"fireflypier.example/fireflypier/internal/registry"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/suspicion"
	"fireflypier.example/fireflypier/internal/table"
)

// Config are what a replica stands on.
type Config struct {
	// Self is this process.
	Self member.Member
	// FreshnessBound is the age up to which a configuration is vouched for.
	FreshnessBound time.Duration
	// Seeds are peer addresses to ask when the store is out at the start.
	Seeds []netip.AddrPort
	// Table and Objects are the platform's.
	Table   table.Table
	Objects objectstore.Store
	Dialer  *peer.Dialer
	Clock   clockwork.Clock
	Logger  hclog.Logger
}

// Replica is a process's copy of the shared state.
type Replica struct {
	adoption    *adoption.Adoption
	publication *publication.Publication
	registry    *registry.Registry
	membership  *membership.Membership
	gossip      *gossip.Gossip
	follower    *follower.Follower
	done        chan struct{}
}

// New returns a replica of revision zero that does not follow yet; call
// Serve and Run.
func New(p Config) *Replica {
	r := &Replica{
		adoption: adoption.New(p.Clock, p.FreshnessBound),
		registry: registry.New(p.Table, p.Clock),
		done:     make(chan struct{}),
	}
	known := func() *revision.Snapshot { return r.adoption.Current().Snapshot() }
	r.publication = publication.New(p.Table, p.Objects, known, p.Clock)
	health := suspicion.New(p.Self.Incarnation)
	r.membership = membership.New(p.Self, r.registry, r.adoption, health, p.Clock, p.Logger)
	r.gossip = gossip.New(gossip.Config{
		Self: p.Self, Adoption: r.adoption, Suspicion: health, Dialer: p.Dialer,
		Seeds: p.Seeds, Clock: p.Clock, Logger: p.Logger,
	})
	r.follower = follower.New(follower.Parts{
		Publication: r.publication, Registry: r.registry, Adoption: r.adoption,
		Confirm: r.gossip.Confirm, Clock: p.Clock, Logger: p.Logger,
	})
	return r
}

// Serve registers the replica's service for the other processes.
func (r *Replica) Serve(mux drpc.Mux) error {
	return errors.Wrap(gossippb.DRPCRegisterGossip(mux, r.gossip), "register gossip")
}

// Run follows until ctx ends. It may be called once.
func (r *Replica) Run(ctx context.Context) {
	defer close(r.done)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.follower.Run(ctx) })
	wg.Go(func() { r.gossip.Run(ctx) })
	wg.Go(func() { r.membership.Run(ctx) })
}

// Done is closed when Run has returned.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Adoption returns what is in force.
func (r *Replica) Adoption() *adoption.Adoption { return r.adoption }

// Publication returns the configuration in the platform's service.
func (r *Replica) Publication() *publication.Publication { return r.publication }

// Registry returns the member list in the platform's service.
func (r *Replica) Registry() *registry.Registry { return r.registry }

// Membership returns the process's place among the others.
func (r *Replica) Membership() *membership.Membership { return r.membership }

// Gossip returns the exchange with the other processes.
func (r *Replica) Gossip() *gossip.Gossip { return r.gossip }
