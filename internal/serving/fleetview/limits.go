package fleetview

import (
	"time"

	"fireflypier.example/fireflypier/internal/serving/target"
)

// ownLimitTTL is how long what a target has told this VM of its limit goes before what
// other VMs pass on, whose age is less certain.
const ownLimitTTL = time.Second

// limitMark is what the answers of a target say of its limit.
type limitMark struct {
	current target.Limit
	// at is the time of the latest answer, to this VM or another, ownAt that of the
	// latest one to this VM.
	at, ownAt time.Time
	// nextCall is the earliest time at which the lender may allow a call, as far as this
	// VM knows.
	nextCall time.Time
}

// SetLimit records what an answer of an incarnation of a target says of its limit; sent is
// when the call was sent. An answer without a limit ends one only if its call was sent
// after the limit was learned: the answer may be older. It reports whether the limit has
// changed.
func (v *View) SetLimit(id string, born int64, l target.Limit, sent, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.marks[id]; !l.Named && (known == nil || known.limit.at.IsZero()) {
		return false
	}
	m := v.markOf(id, born, now)
	if m == nil || (!l.Named && !sent.After(m.limit.at)) {
		return false
	}
	m.limit.ownAt = now
	return v.updateLimit(m, l, now)
}

// updateLimit sets a limit and reports whether it has changed. The caller holds v.mu.
func (v *View) updateLimit(m *mark, l target.Limit, at time.Time) bool {
	m.limit.at = at
	if m.limit.current == l {
		return false
	}
	m.limit.current = l
	v.changeMark(m)
	return true
}

// Limit returns the limit of an incarnation of a target; the zero Limit if none is known.
func (v *View) Limit(id string, born int64) target.Limit {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.knownMark(id, born); m != nil {
		return m.limit.current
	}
	return target.Limit{}
}

// SetNextCall records the earliest time at which the lender of a limited target may allow
// a call.
func (v *View) SetNextCall(id string, born int64, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.knownMark(id, born)
	if s := v.targets[id]; m == nil && s != nil && s.target.Born == born {
		m = v.markOf(id, born, at) // a target that is only expected to be cold
	}
	if m != nil {
		m.limit.nextCall = at
	}
}

// callWait returns the limit of the target and the time until a call to it may be allowed.
func (m *mark) callWait(now time.Time) (target.Limit, time.Duration) {
	if m == nil || !m.limit.current.Named {
		return target.Limit{}, 0
	}
	return m.limit.current, max(0, m.limit.nextCall.Sub(now))
}
