// Package adoption holds the configuration that a process has in force. A
// process adopts only higher revisions, and answers for how long its
// configuration has been vouched for.
package adoption

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/revision"
)

// Adoption is the configuration in force. Its methods may be called at the
// same time.
type Adoption struct {
	clock   clockwork.Clock
	bound   time.Duration
	current atomic.Pointer[catalog.Catalog]
	// vouched is when the current revision was last known to be the highest,
	// in nanoseconds since the process's start mark.
	vouched atomic.Int64
	start   time.Time

	mu       sync.Mutex
	watchers []func(*catalog.Catalog)
}

// never is a vouched time before any bound.
const never = int64(-1 << 62)

// New returns an adoption of the empty revision zero, which nobody vouches
// for. Requests are refused once the last vouch is older than bound.
func New(clock clockwork.Clock, bound time.Duration) *Adoption {
	a := &Adoption{clock: clock, bound: bound, start: clock.Now()}
	a.current.Store(catalog.New(revision.Empty()))
	a.vouched.Store(never)
	return a
}

// Current returns the configuration in force.
func (a *Adoption) Current() *catalog.Catalog { return a.current.Load() }

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
	c := catalog.New(s)
	a.current.Store(c)
	for _, f := range a.watchers {
		f(c)
	}
	return true
}

// Vouch records that rev was known to be the highest revision at the time
// at. It has no effect when another revision is in force.
func (a *Adoption) Vouch(rev int64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Current().Revision() != rev {
		return
	}
	mark := int64(at.Sub(a.start))
	a.vouched.Store(max(a.vouched.Load(), mark))
}

// Age returns the time since the last vouch; ok is false before the first.
func (a *Adoption) Age() (age time.Duration, ok bool) {
	mark := a.vouched.Load()
	if mark == never {
		return 0, false
	}
	return a.clock.Now().Sub(a.start) - time.Duration(mark), true
}

// Fresh returns nil while the configuration is vouched for, and a failure of
// kind StaleConfiguration otherwise.
func (a *Adoption) Fresh() error {
	age, ok := a.Age()
	if !ok {
		return failure.New(failure.StaleConfiguration, "no configuration has been read yet")
	}
	if age > a.bound {
		return failure.New(failure.StaleConfiguration, "the configuration was last confirmed %s ago", age.Round(time.Millisecond))
	}
	return nil
}
