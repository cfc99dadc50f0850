// Package membership keeps a process in the member list and tells which other
// processes it may count on.
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
	// retryLimit bounds the wait after a registration that failed.
	retryLimit = 8 * time.Second
	// departTimeout bounds the last write of a process that stops.
	departTimeout = 2 * time.Second
)

// Membership is a process's place among the others. Its methods may be
// called at the same time.
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

// New returns a membership of self, which is not yet registered.
func New(self member.Member, r *registry.Registry, a *adoption.Adoption, s *suspicion.Suspicion, clock clockwork.Clock, logger hclog.Logger) *Membership {
	return &Membership{
		registry: r, adoption: a, suspicion: s, clock: clock, logger: logger,
		done: make(chan struct{}), self: self,
	}
}

// Run keeps the process in the list until ctx ends, and then takes it out:
// end ctx only when the process admits nothing more. It may be called once.
func (m *Membership) Run(ctx context.Context) {
	defer close(m.done)
	wait := checkInterval
	for {
		err := m.step(ctx)
		switch {
		case err == nil:
			wait = checkInterval
		case ctx.Err() == nil:
			m.logger.Warn("not registered", "error", err)
			wait = min(2*wait, retryLimit)
		}
		timer := m.clock.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			m.depart()
			return
		}
	}
}

// Done is closed when Run has returned.
func (m *Membership) Done() <-chan struct{} { return m.done }

func (m *Membership) step(ctx context.Context) error {
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

// Register enters the process's present state in the list now. A predecessor on
// the same peer address has ended, since this process listens there, and is
// taken out.
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

// Leave marks the member as leaving and tells so in the list.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.self.State = member.Leaving
	m.mu.Unlock()
	return m.Register(ctx)
}

// depart takes the process out of the list.
func (m *Membership) depart() {
	ctx, cancel := context.WithTimeout(context.Background(), departTimeout)
	defer cancel()
	self := m.Self()
	err := m.registry.Change(ctx, m.adoption.Members(), func(list *memberlist.List) *memberlist.Change {
		if _, ok := list.Find(self.Incarnation); !ok {
			return nil
		}
		return &memberlist.Change{Drop: []string{self.Incarnation}}
	})
	if err != nil {
		m.logger.Warn("not taken out of the member list", "error", err)
	}
}

// Self returns this process's member.
func (m *Membership) Self() member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Live returns the members of a role that are neither leaving nor silent, by
// name. This process is among them once a list has been read.
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

// Unreachable reports whether a listed member is silent: neither this process nor
// others could reach it, and it has not denied that.
func (m *Membership) Unreachable(incarnation string) bool {
	return m.suspicion.Unreachable(incarnation, m.clock.Now())
}
