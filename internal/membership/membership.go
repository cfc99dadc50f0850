// Package membership registers a process in the table and keeps its view of
// the other processes.
package membership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/table"
)

const (
	scanInterval      = 2 * time.Second
	heartbeatInterval = 10 * time.Second
	// expiry is the age of a heartbeat after which a member is left out.
	expiry = 30 * time.Second
)

// Membership is a process's place among the others. Its methods may be
// called at the same time.
type Membership struct {
	table  table.Table
	clock  clockwork.Clock
	logger hclog.Logger
	done   chan struct{}

	mu      sync.Mutex
	self    member.Member
	members []member.Member
	written time.Time
}

// New returns a membership of self, which is not yet registered.
func New(self member.Member, t table.Table, clock clockwork.Clock, logger hclog.Logger) *Membership {
	return &Membership{
		table:  t,
		clock:  clock,
		logger: logger,
		done:   make(chan struct{}),
		self:   self,
	}
}

// Run registers and follows the members until ctx ends. It may be called
// once.
func (m *Membership) Run(ctx context.Context) {
	defer close(m.done)
	ticker := m.clock.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		m.step(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed when Run has returned.
func (m *Membership) Done() <-chan struct{} { return m.done }

func (m *Membership) step(ctx context.Context) {
	if err := m.heartbeat(ctx); err != nil {
		m.logger.Warn("heartbeat not written", "error", err)
	}
	if err := m.scan(ctx); err != nil {
		m.logger.Warn("members not read", "error", err)
	}
}

func (m *Membership) heartbeat(ctx context.Context) error {
	m.mu.Lock()
	due := m.clock.Since(m.written) >= heartbeatInterval
	m.mu.Unlock()
	if !due {
		return nil
	}
	return m.Write(ctx)
}

// Write writes the member's row now.
func (m *Membership) Write(ctx context.Context) error {
	m.mu.Lock()
	m.self.Heartbeat = m.clock.Now()
	self := m.self
	m.mu.Unlock()
	row, err := m.table.Get(ctx, self.RowKey())
	if err != nil {
		return err
	}
	value, err := self.Encode()
	if err != nil {
		return err
	}
	_, err = table.Commit(ctx, m.table, table.NewTx(table.Write{Key: self.RowKey(), Expect: row.Version, Value: value}))
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.written = self.Heartbeat
	return nil
}

// Leave marks the member as leaving and writes its row.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.self.State = member.Leaving
	m.mu.Unlock()
	return m.Write(ctx)
}

func (m *Membership) scan(ctx context.Context) error {
	rows, err := m.table.Scan(ctx, member.RowPrefix)
	if err != nil {
		return err
	}
	now := m.clock.Now()
	var members []member.Member
	for _, row := range rows {
		decoded, err := member.Decode(row)
		if err != nil {
			return err
		}
		if now.Sub(decoded.Heartbeat) < expiry {
			members = append(members, decoded)
		}
	}
	slices.SortFunc(members, func(a, b member.Member) int {
		return cmp.Compare(a.RowKey(), b.RowKey())
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = members
	return nil
}

// Self returns this process's member.
func (m *Membership) Self() member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Live returns the known members of a role that are not leaving, by name.
func (m *Membership) Live(role member.Role) []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []member.Member
	for _, other := range m.members {
		if other.Role == role && other.State == member.Live {
			live = append(live, other)
		}
	}
	return live
}

// All returns every known member, for dumps.
func (m *Membership) All() []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.members)
}
