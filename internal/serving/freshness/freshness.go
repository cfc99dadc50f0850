// Package freshness tells whether this VM may have missed a change that must take effect on
// every VM by a deadline, because its process stood still. It answers a process that is
// frozen for seconds and finds requests waiting when it goes on. The package performs no I/O.
package freshness

import (
	"sync"
	"time"
)

const (
	// settleTime is the time after a pause in which messages may still arrive that were
	// sent during it.
	settleTime = 200 * time.Millisecond
	// maxHold is the longest time after a pause for which the view may count as stale. News
	// come several times a second; a VM that hears none is cut off, and serves on with what
	// it knows.
	maxHold = 900 * time.Millisecond
)

// Watch finds the pauses of a process. It is safe for concurrent use.
type Watch struct {
	mu sync.Mutex
	// limit is the pause after which a change may have been missed; zero disables the watch.
	limit time.Duration
	// tickedAt is the last sign of life, resumedAt the end of the last pause, heardAt when
	// this VM was last known to have the changes that another VM has.
	tickedAt, resumedAt, heardAt time.Time
}

// New returns a watch for pauses longer than limit; zero for none.
func New(limit time.Duration, now time.Time) *Watch { return &Watch{limit: limit, tickedAt: now} }

// SetLimit changes the length of the pauses that count; zero for none.
func (w *Watch) SetLimit(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
}

// Tick records a sign of life. It must be called several times within the limit.
func (w *Watch) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick(now)
}

func (w *Watch) tick(now time.Time) {
	if w.limit > 0 && now.Sub(w.tickedAt) > w.limit {
		w.resumedAt = now
	}
	w.tickedAt = now
}

// Heard records that this VM has all changes of another one, or of the store.
func (w *Watch) Heard(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick(now)
	w.heardAt = now
}

// Stale reports whether a change may have been missed in a pause.
func (w *Watch) Stale(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit <= 0 {
		return false
	}
	w.tick(now)
	if w.resumedAt.IsZero() || now.Sub(w.resumedAt) > maxHold {
		return false
	}
	return !w.heardAt.After(w.resumedAt.Add(settleTime))
}
