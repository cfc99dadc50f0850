// Package suspicion implements the failure detection of members; it does no
// input or output. A member that neither a process nor others on its behalf can
// reach is suspected. The member may refute the suspicion; it counts as
// unreachable only after a grace period. Suspicions arise from failed calls
// alone, so neither a slow store nor a pause of the observer causes one.
package suspicion

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

// gracePeriod is the time in which a suspected member may refute the suspicion.
const gracePeriod = 2 * time.Second

// retransmitFactor, multiplied by the logarithm of the fleet size, is the
// number of times that a process sends a rumor. Rumors uses the bit length of
// the size as its logarithm.
const retransmitFactor = 3

// Rumor is a suspicion that an incarnation is unreachable, or its refutation.
type Rumor struct {
	// Incarnation identifies the member.
	Incarnation string `json:"incarnation"`
	// Sequence grows each time the member itself refutes a suspicion.
	Sequence int64 `json:"sequence"`
	// Suspected is false in a refutation.
	Suspected bool `json:"suspected"`
}

type entry struct {
	rumor Rumor
	since time.Time
	sent  int
}

// Suspicion records which other members one process suspects, from its own
// failed calls and from received rumors. Its methods are safe for concurrent use.
type Suspicion struct {
	mu      sync.Mutex
	self    string
	entries map[string]*entry
}

// New returns the Suspicion of the process whose incarnation is self.
func New(self string) *Suspicion {
	return &Suspicion{self: self, entries: map[string]*entry{}}
}

// ReportFailure records that a member could not be reached, and suspects it. A
// process does not suspect itself.
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
	e.sent = 0
}

func (s *Suspicion) entry(incarnation string) *entry {
	e, ok := s.entries[incarnation]
	if !ok {
		e = &entry{rumor: Rumor{Incarnation: incarnation}}
		s.entries[incarnation] = e
	}
	return e
}

// Receive processes a rumor from another member. A suspicion of this process
// itself is refuted with a higher sequence. A rumor about another member
// replaces the recorded one if its sequence is higher, or if it is a
// suspicion with the same sequence and the recorded one is not.
func (s *Suspicion) Receive(r Rumor, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(r.Incarnation)
	if r.Incarnation == s.self {
		if r.Suspected && r.Sequence >= e.rumor.Sequence {
			e.rumor.Sequence = r.Sequence + 1
			e.sent = 0
		}
		return
	}
	newer := r.Sequence > e.rumor.Sequence
	suspects := r.Sequence == e.rumor.Sequence && r.Suspected && !e.rumor.Suspected
	if newer || suspects {
		e.rumor = r
		e.since = now
		e.sent = 0
	}
}

// Rumors returns the rumors to send to the receiver in a fleet of the given
// size: at most limit of those that have not been sent often enough, and any
// suspicion of the receiver itself.
func (s *Suspicion) Rumors(receiver string, fleetSize, limit int) []Rumor {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxSends := retransmitFactor * bits.Len(uint(fleetSize))
	var rumors []Rumor
	for incarnation, e := range s.entries {
		concernsReceiver := incarnation == receiver && e.rumor.Suspected
		if !concernsReceiver && (e.sent >= maxSends || len(rumors) >= limit) {
			continue
		}
		e.sent++
		rumors = append(rumors, e.rumor)
	}
	return rumors
}

// Unreachable reports whether a member has been suspected for at least the
// grace period.
func (s *Suspicion) Unreachable(incarnation string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[incarnation]
	return ok && e.rumor.Suspected && now.Sub(e.since) >= gracePeriod
}

// Retain discards what is recorded about members that are not listed, except
// this process.
func (s *Suspicion) Retain(listed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for incarnation := range s.entries {
		if incarnation != s.self && !slices.Contains(listed, incarnation) {
			delete(s.entries, incarnation)
		}
	}
}
