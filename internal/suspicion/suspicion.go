// Package suspicion decides, without input or output, which members are
// silent. A member that neither a process nor others on its behalf can reach
// is suspected; it may deny that, and is silent only after a grace period.
// Suspicion rests on failed calls alone, so neither a slow store nor a pause
// of the observer makes it.
package suspicion

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

// grace is the time in which a suspected member may deny.
const grace = 2 * time.Second

// tellingFactor times the logarithm of the fleet's size is how often a rumor
// is passed on.
const tellingFactor = 3

// Rumor tells about the health of one incarnation.
type Rumor struct {
	// Incarnation names the member.
	Incarnation string `json:"incarnation"`
	// Sequence grows when the member itself denies.
	Sequence int64 `json:"sequence"`
	// Suspected is false in a denial.
	Suspected bool `json:"suspected"`
}

type entry struct {
	rumor Rumor
	since time.Time
	told  int
}

// Suspicion is one process's view of the others' health. Its methods may be
// called at the same time.
type Suspicion struct {
	mu      sync.Mutex
	self    string
	entries map[string]*entry
}

// New returns the view of the process whose incarnation is self.
func New(self string) *Suspicion {
	return &Suspicion{self: self, entries: map[string]*entry{}}
}

// ReportFailure records that a member could not be reached. A process does not
// suspect itself.
func (s *Suspicion) ReportFailure(incarnation string, now time.Time) {
	if incarnation == s.self {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(incarnation)
	if e.rumor.Suspected {
		return
	}
	e.rumor.Suspected = true
	e.since = now
	e.told = 0
}

func (s *Suspicion) entry(incarnation string) *entry {
	e, ok := s.entries[incarnation]
	if !ok {
		e = &entry{rumor: Rumor{Incarnation: incarnation}}
		s.entries[incarnation] = e
	}
	return e
}

// Receive takes in a rumor. A suspicion of this process itself is denied.
func (s *Suspicion) Receive(r Rumor, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(r.Incarnation)
	if r.Incarnation == s.self {
		if r.Suspected && r.Sequence >= e.rumor.Sequence {
			e.rumor.Sequence = r.Sequence + 1
			e.told = 0
		}
		return
	}
	newer := r.Sequence > e.rumor.Sequence
	accuses := r.Sequence == e.rumor.Sequence && r.Suspected && !e.rumor.Suspected
	if newer || accuses {
		e.rumor = r
		e.since = now
		e.told = 0
	}
}

// Rumors returns what to tell to a member in a fleet of the given size: the
// rumors not yet told often enough, at most limit, and any about the member.
func (s *Suspicion) Rumors(to string, fleet, limit int) []Rumor {
	s.mu.Lock()
	defer s.mu.Unlock()
	enough := tellingFactor * bits.Len(uint(fleet))
	var rumors []Rumor
	for incarnation, e := range s.entries {
		about := incarnation == to && e.rumor.Suspected
		if !about && (e.told >= enough || len(rumors) >= limit) {
			continue
		}
		e.told++
		rumors = append(rumors, e.rumor)
	}
	return rumors
}

// Unreachable reports whether a member has been suspected for longer than the
// grace period.
func (s *Suspicion) Unreachable(incarnation string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[incarnation]
	return ok && e.rumor.Suspected && now.Sub(e.since) >= grace
}

// Retain forgets every member that is not listed.
func (s *Suspicion) Retain(listed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for incarnation := range s.entries {
		if incarnation != s.self && !slices.Contains(listed, incarnation) {
			delete(s.entries, incarnation)
		}
	}
}
