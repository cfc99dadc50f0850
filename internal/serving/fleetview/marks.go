package fleetview

import (
	"time"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/target"
)

const (
	// maxDistance is the longest time for which a target may keep this VM's requests away.
	maxDistance = 5 * time.Minute
	// markRetention is how long a mark outlives its target's row, so that an older row
	// that arrives late does not bring the target back.
	markRetention = 10 * time.Minute
	// returnTime is the time after a distance in which this VM comes back to the target
	// gradually, returnCost the cost of choosing the target at its beginning.
	returnTime = 2 * time.Second
	returnCost = 900 * time.Millisecond
)

// mark is what a target has said in its answers about further requests. It holds for one
// incarnation of the target, also while its row is missing. A nil mark is that of a target
// that has said nothing.
type mark struct {
	born    int64
	leaving bool
	// distantUntil is the end of the time for which the target wants no request.
	distantUntil time.Time
	limit        limitMark
	cold         coldMark
	at           time.Time
	// version is the number of the last change that peers are told of.
	version int64
}

// SetLeaving records that an incarnation of a target has said that it leaves. It gets no
// more requests, whatever its row says. It reports whether that is new.
func (v *View) SetLeaving(id string, born int64, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.markOf(id, born, now)
	if m == nil || m.leaving {
		return false
	}
	v.setLeaving(m)
	return true
}

// setLeaving marks an incarnation as leaving. The caller holds v.mu.
func (v *View) setLeaving(m *mark) {
	m.leaving = true
	v.changeMark(m)
	v.notify()
}

// changeMark records a change of a mark for the peers. The caller holds v.mu.
func (v *View) changeMark(m *mark) {
	v.markVersion++
	m.version = v.markVersion
}

// MarksAfter returns the marks that have changed after a version, and the newest version.
// The time for which a target wants no calls from this VM is not for others.
func (v *View) MarksAfter(seen int64, now time.Time) (marks []*meshpb.Mark, upto int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.markVersion <= seen {
		return nil, v.markVersion
	}
	for id, m := range v.marks {
		if m.version <= seen {
			continue
		}
		w := &meshpb.Mark{Target: id, Born: m.born, Leaving: m.leaving, AgeMs: -1}
		if !m.limit.at.IsZero() {
			w.Named, w.PerSecond, w.AgeMs = m.limit.current.Named, m.limit.current.PerSecond, max(0, now.Sub(m.limit.at).Milliseconds())
		}
		m.fillCold(w, now)
		marks = append(marks, w)
	}
	return marks, v.markVersion
}

// MergeMarks records the marks that a peer has passed on. It returns those of targets of
// which this VM did not know that they leave.
func (v *View) MergeMarks(marks []*meshpb.Mark, now time.Time) (leaving []*meshpb.Mark) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, w := range marks {
		m := v.markOf(w.GetTarget(), w.GetBorn(), now)
		if m == nil {
			continue
		}
		if w.GetLeaving() && !m.leaving {
			v.setLeaving(m)
			leaving = append(leaving, w)
		}
		if w.GetAgeMs() < 0 {
			continue
		}
		at := now.Add(-time.Duration(w.GetAgeMs()) * time.Millisecond)
		if at.After(m.limit.at) && now.Sub(m.limit.ownAt) > ownLimitTTL {
			v.updateLimit(m, target.Limit{Named: w.GetNamed(), PerSecond: w.GetPerSecond()}, at)
		}
	}
	return leaving
}

// SetDistance records that an incarnation of a target wants no request from this VM for d.
// It returns the end of that time; a shorter time does not replace a longer one.
func (v *View) SetDistance(id string, born int64, d time.Duration, now time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.markOf(id, born, now)
	if m == nil {
		return now
	}
	if until := now.Add(min(d, maxDistance)); until.After(m.distantUntil) {
		m.distantUntil = until
	}
	return m.distantUntil
}

// Marked returns the numbers of targets that have said that they leave, that want no calls
// from this VM, and that have a limit.
func (v *View) Marked(now time.Time) (leaving, distant, limited int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.targets {
		m := v.stateMark(s)
		if m == nil {
			continue
		}
		if m.leaving {
			leaving++
		}
		if m.distance(now) > 0 {
			distant++
		}
		if m.limit.current.Named {
			limited++
		}
	}
	return leaving, distant, limited
}

// markOf returns the mark of an incarnation, which it creates if there is none, and nil if
// a later incarnation is known. The caller holds v.mu.
func (v *View) markOf(id string, born int64, now time.Time) *mark {
	for other, m := range v.marks {
		if now.Sub(m.at) > markRetention && v.targets[other] == nil {
			delete(v.marks, other)
		}
	}
	if s := v.targets[id]; s != nil && s.target.Born > born {
		return nil
	}
	m := v.marks[id]
	switch {
	case m != nil && m.born > born:
		return nil
	case m == nil || m.born < born:
		m = &mark{born: born}
		v.marks[id] = m
	}
	m.at = now
	return m
}

// Accepts reports whether an incarnation of a target takes requests, apart from its limit.
func (v *View) Accepts(id string, born int64, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.targets[id]
	if s == nil || s.target.Born != born || s.target.Draining || v.evacuated(s.target) {
		return false
	}
	m := v.knownMark(id, born)
	return !m.leaves() && m.distance(now) == 0
}

// Distance returns the time for which an incarnation of a target wants no call from this
// VM; zero if it takes calls.
func (v *View) Distance(id string, born int64, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.knownMark(id, born).distance(now)
}

// knownMark returns the mark of an incarnation, or nil if it has said nothing. The caller
// holds v.mu.
func (v *View) knownMark(id string, born int64) *mark {
	if m := v.marks[id]; m != nil && m.born == born {
		return m
	}
	return nil
}

// stateMark returns the mark of the incarnation that s is the state of, like knownMark.
func (v *View) stateMark(s *state) *mark { return v.knownMark(s.target.ID, s.target.Born) }

// leaves reports whether the target has said that it leaves.
func (m *mark) leaves() bool { return m != nil && m.leaving }

// distance returns the time for which the target wants no request.
func (m *mark) distance(now time.Time) time.Duration {
	if m == nil {
		return 0
	}
	return max(0, m.distantUntil.Sub(now))
}

// returnPenalty returns the cost of choosing a target that has wanted no requests until a
// short time ago. It keeps all that the VMs hold back from coming at once.
func (m *mark) returnPenalty(now time.Time) time.Duration {
	if m == nil {
		return 0
	}
	left := returnTime - now.Sub(m.distantUntil)
	return time.Duration(float64(returnCost) * float64(max(0, left)) / float64(returnTime))
}
