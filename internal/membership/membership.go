// Package membership keeps the entry of this process in the member list up to
// date and reports which other members are available.
package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/memberlist"
	"fireflypier.example/fireflypier/internal/registry"
	"fireflypier.example/fireflypier/internal/suspicion"
)

const (
	checkInterval = time.Second
	// maxRetryWait limits the wait after a failed registration, before jitter.
	maxRetryWait = 8 * time.Second
	// deregisterTimeout limits the removal of the entry when the process stops.
	deregisterTimeout = 2 * time.Second
)

// Membership maintains the member-list entry of this process and reports on the
// other members. Its methods are safe for concurrent use.
type Membership struct {
	registry  *registry.Registry
	adoption  *adoption.Adoption
	suspicion *suspicion.Suspicion
	clock     clockwork.Clock
	logger    hclog.Logger
	done      chan struct{}

	mu   sync.Mutex
	self member.Member
}

// New returns a Membership of self, which is not registered yet.
func New(self member.Member, r *registry.Registry, a *adoption.Adoption, s *suspicion.Suspicion, clock clockwork.Clock, logger hclog.Logger) *Membership {
	return &Membership{
		registry: r, adoption: a, suspicion: s, clock: clock, logger: logger,
		done: make(chan struct{}), self: self,
	}
}

// Run keeps this process in the list until ctx is done, and then removes it.
// Cancel ctx only when the process no longer admits requests. Run must be called
// at most once.
func (m *Membership) Run(ctx context.Context) {
	defer close(m.done)
	wait := checkInterval
	for {
		err := m.refresh(ctx)
		switch {
		case err == nil:
			wait = checkInterval
		case ctx.Err() == nil:
			m.logger.Warn("failed to register in the member list", "error", err)
			wait = min(2*wait, maxRetryWait)
		}
		timer := m.clock.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			m.deregister()
			return
		}
	}
}

// Done returns a channel that is closed when Run returns.
func (m *Membership) Done() <-chan struct{} { return m.done }

func (m *Membership) refresh(ctx context.Context) error {
	list := m.adoption.Members()
	var listed []string
	for _, other := range list.Members {
		listed = append(listed, other.Incarnation)
	}
	m.suspicion.Retain(listed)
	self := m.Self()
	entry, ok := list.Find(self.Incarnation)
	if ok && entry.State == self.State {
		return nil
	}
	return m.Register(ctx)
}

// Register writes the current state of this process to the list. It also
// removes earlier incarnations with the same peer address, which must have
// ended because this process listens there.
func (m *Membership) Register(ctx context.Context) error {
	self := m.Self()
	return m.registry.Change(ctx, m.adoption.Members(), func(list *memberlist.List) *memberlist.Change {
		entry, ok := list.Find(self.Incarnation)
		if ok && entry.State == self.State {
			return nil
		}
		c := &memberlist.Change{Put: []member.Member{self}}
		for _, other := range list.Members {
			if other.PeerAddress == self.PeerAddress && other.Incarnation != self.Incarnation {
				c.Drop = append(c.Drop, other.Incarnation)
			}
		}
		return c
	})
}

// Leave marks this process as leaving and updates its entry in the list.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.self.State = member.Leaving
	m.mu.Unlock()
	return m.Register(ctx)
}

// deregister removes this process from the list.
func (m *Membership) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	self := m.Self()
	err := m.registry.Change(ctx, m.adoption.Members(), func(list *memberlist.List) *memberlist.Change {
		if _, ok := list.Find(self.Incarnation); !ok {
			return nil
		}
		return &memberlist.Change{Drop: []string{self.Incarnation}}
	})
	if err != nil {
		m.logger.Warn("failed to remove this process from the member list", "error", err)
	}
}

// Self returns the member that describes this process.
func (m *Membership) Self() member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Live returns the members of a role that are neither leaving nor unreachable,
// sorted by name. Once a list has been read, this process counts as a member
// even before it is registered.
func (m *Membership) Live(role member.Role) []member.Member {
	now := m.clock.Now()
	self := m.Self()
	list := m.adoption.Members()
	if _, ok := list.Find(self.Incarnation); !ok && list.Version > 0 {
		list = list.WithMember(self)
	}
	var live []member.Member
	for _, other := range list.Members {
		if other.Incarnation == self.Incarnation {
			other = self
		}
		if other.Role == role && other.State == member.Live && !m.suspicion.Unreachable(other.Incarnation, now) {
			live = append(live, other)
		}
	}
	return live
}

// All returns every listed member, for dumps.
func (m *Membership) All() []member.Member { return m.adoption.Members().Members }

// Unreachable reports whether a member is unreachable: neither this process nor
// others could reach it, and it has not refuted the suspicion.
func (m *Membership) Unreachable(incarnation string) bool {
	return m.suspicion.Unreachable(incarnation, m.clock.Now())
}
