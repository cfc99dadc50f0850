// Package adoption holds the configuration and the member list that a process
// has in force. A process adopts only higher revisions and versions, and
// answers for how long its state has been vouched for.
package adoption

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/freshness"
	"fireflypier.example/fireflypier/internal/memberlist"
	"fireflypier.example/fireflypier/internal/revision"
)

// Adoption is what a process has in force. Its methods may be called at the
// same time.
type Adoption struct {
	clock     clockwork.Clock
	bound     time.Duration
	current   atomic.Pointer[catalog.Catalog]
	members   atomic.Pointer[memberlist.List]
	confirmed atomic.Pointer[time.Time]

	mu       sync.Mutex
	records  recent[revision.Record]
	changes  recent[memberlist.Change]
	watchers []func(*catalog.Catalog)
}

// New returns an adoption of the empty revision zero, which nobody vouches
// for. Requests are refused once the last vouch is older than bound.
func New(clock clockwork.Clock, bound time.Duration) *Adoption {
	a := &Adoption{clock: clock, bound: bound}
	a.current.Store(catalog.New(revision.Empty()))
	a.members.Store(memberlist.Empty())
	return a
}

// Current returns the configuration in force.
func (a *Adoption) Current() *catalog.Catalog { return a.current.Load() }

// Members returns the member list in force.
func (a *Adoption) Members() *memberlist.List { return a.members.Load() }

// State returns the numbers of what is in force.
func (a *Adoption) State() freshness.State {
	// The list is read first: a list in use never lacks its floor revision.
	members := a.Members().Version
	return freshness.State{Revision: a.Current().Revision(), Members: members}
}

// OnChange calls f with each adopted configuration, in order, and once with
// the present one. f must not call back into a.
func (a *Adoption) OnChange(f func(*catalog.Catalog)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers = append(a.watchers, f)
	f(a.Current())
}

// Adopt puts s in force and reports whether it did; a revision that is not
// higher changes nothing.
func (a *Adoption) Adopt(s *revision.Snapshot) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Revision <= a.Current().Revision() {
		return false
	}
	a.records.clear()
	a.put(s)
	return true
}

// Replay puts in force what the records lead to, as far as they follow on
// what is in force; the others change nothing. A record that does not lead
// to its digest gives a failure of kind Internal.
func (a *Adoption) Replay(records []revision.Record) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.Current().Snapshot()
	before := s.Revision
	var err error
	for i := range records {
		if records[i].Revision != s.Revision+1 {
			continue
		}
		var next *revision.Snapshot
		if next, err = s.Replay(&records[i]); err != nil {
			break
		}
		s = next
		a.records.add(records[i])
	}
	if s.Revision > before {
		a.put(s)
	}
	return err
}

func (a *Adoption) put(s *revision.Snapshot) {
	c := catalog.New(s)
	a.current.Store(c)
	for _, f := range a.watchers {
		f(c)
	}
}

// AdoptMembers puts a member list in force; a version that is not higher
// changes nothing.
func (a *Adoption) AdoptMembers(list *memberlist.List) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if list.Version > a.Members().Version {
		a.changes.clear()
		a.members.Store(list)
	}
}

// ChangeMembers applies the changes that follow on the list in force.
func (a *Adoption) ChangeMembers(changes []memberlist.Change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.Members()
	for i := range changes {
		if changes[i].Version == list.Version+1 {
			list = list.Apply(&changes[i])
			a.changes.add(changes[i])
		}
	}
	a.members.Store(list)
}

// Records returns the edits that lead from a revision to the one in force; ok
// is false when they are no longer held.
func (a *Adoption) Records(after int64) (records []revision.Record, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.records.last(a.Current().Revision() - after)
}

// Changes returns the changes that lead from a version of the member list to
// the one in force; ok is false when they are no longer held.
func (a *Adoption) Changes(after int64) (changes []memberlist.Change, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changes.last(a.Members().Version - after)
}

// Confirm records that no state above s was accepted before the time at. It
// has no effect when s is above what is in force.
func (a *Adoption) Confirm(s freshness.State, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.State().Covers(s) {
		return
	}
	last := a.confirmed.Load()
	if last == nil || at.After(*last) {
		a.confirmed.Store(&at)
	}
}

// Age returns the time since the last vouch; ok is false before the first.
// Where the wall clock went further than the monotonic one, as it does when a
// VM is suspended, the wall clock counts.
func (a *Adoption) Age() (age time.Duration, ok bool) {
	at := a.confirmed.Load()
	if at == nil {
		return 0, false
	}
	now := a.clock.Now()
	return max(now.Sub(*at), now.Round(0).Sub(at.Round(0))), true
}

// Fresh returns nil while the configuration is vouched for, and a failure of
// kind StaleConfiguration otherwise.
func (a *Adoption) Fresh() error {
	age, ok := a.Age()
	if !ok {
		return failure.New(failure.StaleConfiguration, "no configuration has been confirmed yet")
	}
	if age > a.bound {
		return failure.New(failure.StaleConfiguration, "the configuration was last confirmed %s ago", age.Round(time.Millisecond))
	}
	return nil
}
