// Package ejection keeps work away from targets that fail, and probes them
// with single requests until they answer again.
package ejection

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// failuresToEject in a row eject a target.
	failuresToEject = 3
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	maxDoublings    = 5
	// forgetAfter drops what is known of a target without requests.
	forgetAfter = 10 * time.Minute
)

// Ejection follows the failures of targets. Its methods may be called at the
// same time.
type Ejection struct {
	clock clockwork.Clock

	mu      sync.Mutex
	targets map[string]*record
}

type record struct {
	failures  int
	ejections int
	until     time.Time
	probing   bool
	seen      time.Time
}

// New returns an ejection without targets.
func New(clock clockwork.Clock) *Ejection {
	return &Ejection{clock: clock, targets: map[string]*record{}}
}

// Ejected reports whether a target takes no work now. After its time a target
// is no longer ejected, but the next request to it must be announced by
// Begin, and others find it ejected until that one has ended.
func (e *Ejection) Ejected(target string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.targets[target]
	return ok && r.ejections > 0 && (r.probing || e.clock.Now().Before(r.until))
}

// All returns the ejected targets.
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

// Begin announces a request to a target; the first after an ejection is its
// probe.
func (e *Ejection) Begin(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.targets[target]; ok && r.ejections > 0 {
		r.probing = true
	}
}

// Succeeded ends a request that the target answered.
func (e *Ejection) Succeeded(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.targets, target)
}

// Abandoned ends a request that tells nothing about the target.
func (e *Ejection) Abandoned(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r, ok := e.targets[target]; ok {
		r.probing = false
	}
}

// Failed ends a request that the target failed. It reports whether the target
// is ejected by it.
func (e *Ejection) Failed(target string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	r, ok := e.targets[target]
	if !ok || now.Sub(r.seen) > forgetAfter {
		r = &record{}
		e.targets[target] = r
	}
	r.seen = now
	r.failures++
	r.probing = false
	if r.failures < failuresToEject {
		return false
	}
	d := min(firstEjection<<min(r.ejections, maxDoublings), longestEjection)
	r.ejections++
	r.until = now.Add(d/2 + rand.N(d/2))
	return true
}
