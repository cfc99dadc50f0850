// Package evacuation holds which data centres are evacuated: nothing more is sent to their
// targets. It answers an operator who takes a whole data centre out of service within
// seconds, and gives it back. The package performs no I/O.
package evacuation

import (
	"sort"
	"sync"
	"time"
)

// maxEnded bounds the data centres whose evacuation has ended and that are remembered.
const maxEnded = 64

// Evacuation is that of one data centre.
type Evacuation struct {
	// DataCentre names the data centre, Since is when this process learned of it.
	DataCentre string
	Since      time.Time
}

// Register holds the evacuations in force. While it is disabled it still records them, and
// reports none. It is safe for concurrent use.
type Register struct {
	mu      sync.Mutex
	enabled bool
	active  map[string]*entry
	// ended has the times at which evacuations ended, by data centre.
	ended map[string]time.Time
}

type entry struct {
	since time.Time
	// judged is set once it is known whether any target runs in the data centre.
	judged bool
}

// New returns a register without evacuations. It is enabled if the operators' bounds
// have a time for evacuations.
func New(enabled bool) *Register {
	return &Register{enabled: enabled, active: make(map[string]*entry), ended: make(map[string]time.Time)}
}

// Enable sets whether the operators' bounds have a time for evacuations.
func (r *Register) Enable(enabled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enabled = enabled
}

// Begin records the evacuation of a data centre. It reports whether that is new.
func (r *Register) Begin(dataCentre string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[dataCentre] != nil {
		return false
	}
	r.active[dataCentre] = &entry{since: now}
	delete(r.ended, dataCentre)
	return true
}

// End records that the evacuation of a data centre was canceled. It returns how long that
// was in force; ok is false if it was not.
func (r *Register) End(dataCentre string, now time.Time) (lasted time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.active[dataCentre]
	if e == nil {
		return 0, false
	}
	delete(r.active, dataCentre)
	for len(r.ended) >= maxEnded {
		oldest := ""
		for name, at := range r.ended {
			if oldest == "" || at.Before(r.ended[oldest]) {
				oldest = name
			}
		}
		delete(r.ended, oldest)
	}
	r.ended[dataCentre] = now
	return now.Sub(e.since), true
}

// Active reports whether a data centre is evacuated.
func (r *Register) Active(dataCentre string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.enabled && r.active[dataCentre] != nil
}

// EndedAt returns when the last evacuation of a data centre ended; ok is false if none did,
// or another one is in force.
func (r *Register) EndedAt(dataCentre string) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok = r.ended[dataCentre]
	return at, ok && r.enabled
}

// All returns the evacuations in force, ordered by data centre.
func (r *Register) All() []Evacuation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.enabled {
		return nil
	}
	all := make([]Evacuation, 0, len(r.active))
	for name, e := range r.active {
		all = append(all, Evacuation{DataCentre: name, Since: e.since})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].DataCentre < all[j].DataCentre })
	return all
}

// TakeUnjudged returns the evacuations in force that it has not returned before. It is
// called once the targets are known, to tell operators of a data centre that has none.
func (r *Register) TakeUnjudged() []Evacuation {
	all := r.All()
	r.mu.Lock()
	defer r.mu.Unlock()
	unjudged := all[:0]
	for _, e := range all {
		if a := r.active[e.DataCentre]; a != nil && !a.judged {
			a.judged = true
			unjudged = append(unjudged, e)
		}
	}
	return unjudged
}
