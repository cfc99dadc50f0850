// Package adoption holds the configuration and the member list that are in force
// in a process. A process adopts only higher revisions and versions, and records
// when its state was last confirmed to be current.
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

// Adoption is the configuration and the member list in force in a process. It is
// safe for concurrent use.
type Adoption struct {
	clock     clockwork.Clock
	maxAge    time.Duration
	current   atomic.Pointer[catalog.Catalog]
	members   atomic.Pointer[memberlist.List]
	confirmed atomic.Pointer[time.Time]

	mu       sync.Mutex
	records  recent[revision.Record]
	changes  recent[memberlist.Change]
	watchers []func(*catalog.Catalog)
}

// New returns an adoption of the empty revision zero, which is not confirmed.
// The state is stale once its last confirmation is older than maxAge.
func New(clock clockwork.Clock, maxAge time.Duration) *Adoption {
	a := &Adoption{clock: clock, maxAge: maxAge}
	a.current.Store(catalog.New(revision.Empty()))
	a.members.Store(memberlist.Empty())
	return a
}

// Current returns the configuration in force.
func (a *Adoption) Current() *catalog.Catalog { return a.current.Load() }

// Members returns the member list in force.
func (a *Adoption) Members() *memberlist.List { return a.members.Load() }

// State returns the revision of the configuration and the version of the member
// list in force.
func (a *Adoption) State() freshness.State {
	// The member list is read first: a list is only in force together with its
	// floor revision or a later one.
	members := a.Members().Version
	return freshness.State{Revision: a.Current().Revision(), Members: members}
}

// OnChange calls f with the configuration in force, and then with each adopted
// configuration in order. f must not call methods of a, which is locked.
func (a *Adoption) OnChange(f func(*catalog.Catalog)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers = append(a.watchers, f)
	f(a.Current())
}

// Adopt puts s in force if its revision is higher than that in force, and
// reports whether it did.
func (a *Adoption) Adopt(s *revision.Snapshot) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Revision <= a.Current().Revision() {
		return false
	}
	a.records.clear()
	a.setCurrent(s)
	return true
}

// Replay applies the records that directly follow the revision in force and
// ignores the others. It fails with Internal at a record whose result does not
// match its digest; the records before it are applied.
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
		a.setCurrent(s)
	}
	return err
}

func (a *Adoption) setCurrent(s *revision.Snapshot) {
	c := catalog.New(s)
	a.current.Store(c)
	for _, f := range a.watchers {
		f(c)
	}
}

// AdoptMembers puts list in force if its version is higher than that in force.
func (a *Adoption) AdoptMembers(list *memberlist.List) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if list.Version > a.Members().Version {
		a.changes.clear()
		a.members.Store(list)
	}
}

// ChangeMembers applies the changes that directly follow the list in force and
// ignores the others.
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

// Records returns the edits between revision after and the revision in force; ok
// is false when some of them are no longer held.
func (a *Adoption) Records(after int64) (records []revision.Record, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.records.last(a.Current().Revision() - after)
}

// Changes returns the changes between version after of the member list and the
// version in force; ok is false when some of them are no longer held.
func (a *Adoption) Changes(after int64) (changes []memberlist.Change, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changes.last(a.Members().Version - after)
}

// MarkConfirmed records that no state above s was accepted before at. It has no
// effect when s is above the state in force.
func (a *Adoption) MarkConfirmed(s freshness.State, at time.Time) {
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

// Age returns the time since the last confirmation; ok is false before the first
// one. It uses the wall clock where that advanced further than the monotonic
// clock, as it does while a VM is suspended.
func (a *Adoption) Age() (age time.Duration, ok bool) {
	at := a.confirmed.Load()
	if at == nil {
		return 0, false
	}
	now := a.clock.Now()
	return max(now.Sub(*at), now.Round(0).Sub(at.Round(0))), true
}

// Fresh returns nil while the last confirmation is not older than the maximum age
// given to New, and an error of kind StaleConfiguration otherwise.
func (a *Adoption) Fresh() error {
	age, ok := a.Age()
	if !ok {
		return failure.New(failure.StaleConfiguration, "no configuration has been confirmed yet")
	}
	if age > a.maxAge {
		return failure.New(failure.StaleConfiguration, "the configuration was last confirmed %s ago", age.Round(time.Millisecond))
	}
	return nil
}
