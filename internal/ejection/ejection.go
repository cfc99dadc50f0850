// Package ejection implements outlier ejection: it excludes targets that fail
// repeatedly, and probes each with single requests until one succeeds.
package ejection

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// failuresToEject is the number of consecutive failures that ejects a target.
	failuresToEject = 3
	firstEjection   = time.Second
	maxEjection     = 30 * time.Second
	maxDoublings    = 5
	// resetAfter is the time since the last failure after which the record of a
	// target is reset at its next failure.
	resetAfter = 10 * time.Minute
)

// Ejection tracks the consecutive failures of targets. It is safe for concurrent
// use.
type Ejection struct {
	clock clockwork.Clock

	mu      sync.Mutex
	targets map[string]*record
}

type record struct {
	failures    int
	ejections   int
	until       time.Time
	probing     bool
	lastFailure time.Time
}

// New returns an Ejection with no failures recorded.
func New(clock clockwork.Clock) *Ejection {
	return &Ejection{clock: clock, targets: map[string]*record{}}
}

// Ejected reports whether a target must not receive a request now. After its
// ejection time, a target may receive one request as a probe, which must be
// announced with Begin; until that request ends, the target is ejected again.
func (e *Ejection) Ejected(target string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.targets[target]
	return ok && r.ejections > 0 && (r.probing || e.clock.Now().Before(r.until))
}

// All returns the ejected targets in no particular order.
func (e *Ejection) All() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	var all []string
	for target, r := range e.targets {
		if r.ejections > 0 && (r.probing || now.Before(r.until)) {
			all = append(all, target)
		}
	}
	return all
}

// Begin announces a request to a target. The first request after an ejection is
// the probe.
func (e *Ejection) Begin(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.targets[target]; ok && r.ejections > 0 {
		r.probing = true
	}
}

// Succeeded ends a request that the target answered, and resets the target.
func (e *Ejection) Succeeded(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.targets, target)
}

// Abandoned ends a request whose result says nothing about the target.
func (e *Ejection) Abandoned(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.targets[target]; ok {
		r.probing = false
	}
}

// Failed ends a request that failed at the target. It reports whether the target
// is now ejected.
func (e *Ejection) Failed(target string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	r, ok := e.targets[target]
	if !ok || now.Sub(r.lastFailure) > resetAfter {
		r = &record{}
		e.targets[target] = r
	}
	r.lastFailure = now
	r.failures++
	r.probing = false
	if r.failures < failuresToEject {
		return false
	}
	d := min(firstEjection<<min(r.ejections, maxDoublings), maxEjection)
	r.ejections++
	r.until = now.Add(d/2 + rand.N(d/2))
	return true
}
