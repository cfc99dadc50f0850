package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// twinDifference is the number of crashes that two suspects do not share from which on the
// one with more of them is likelier to blame.
const twinDifference = 2

// maxCoinciding bounds the crashes within crashSpacing of each other that are kept.
const maxCoinciding = minCrashes

// suspect is a request, or a part of prompts, that was being processed when engines crashed.
type suspect struct {
	key
	// crashes is keyed by the incarnation of the engine.
	crashes map[uint64]crash
	// answered is the time of the last answer to a request with the suspect at any VM, also
	// before the crashes; zero if none is known. answeredNews is the one that peers know.
	answered, answeredNews time.Time
	// refused is the time of the last refusal of such a request at any VM, refusedNews the one
	// that peers know.
	refused, refusedNews time.Time
	// begun is set once an engine had begun to answer a request with the suspect when it
	// crashed.
	begun bool
	// failedProbes is the number of probes on which engines crashed, at any VM.
	failedProbes int32
	// probed is the time of the last probe of this VM, probing is set until it has ended.
	probed  time.Time
	probing bool
	// cleared is the time at which crashes were last cleared.
	cleared time.Time
	// changed is the time of the last change that peers are told of, version its number.
	changed time.Time
	version int64
	// quarantined is set if the quarantine of the suspect has been logged.
	quarantined bool
}

// crash is the crash of an engine. request is the fingerprint of a request with the suspect
// that the engine ran; zero for a suspect that is a request itself.
type crash struct {
	at      time.Time
	cleared bool
	request uint64
}

// coinciding returns the number of other crashes in the same state within crashSpacing of c.
func (s *suspect) coinciding(c crash) (n int) {
	for _, other := range s.crashes {
		if other.cleared == c.cleared && other.at.Sub(c.at).Abs() < crashSpacing {
			n++
		}
	}
	return n
}

func (s *suspect) forgetOldest() {
	var oldest uint64
	var at time.Time
	for engine, c := range s.crashes {
		if at.IsZero() || c.at.Before(at) {
			oldest, at = engine, c.at
		}
	}
	delete(s.crashes, oldest)
}

// count returns the number of crashes that no answer has cleared and that none of the
// others shares, and the time of the last one. Crashes within crashSpacing count once,
// unless engines never begin to answer requests with the suspect and settleTime has passed.
func (s *suspect) count(now time.Time, others []*suspect) (n int, last time.Time) {
	crashes := s.uncleared(others)
	neverBegun := s.answered.IsZero() && !s.begun
	n = countSeparate(crashes, func(at time.Time) bool { return neverBegun && now.Sub(at) >= settleTime })
	if len(crashes) > 0 {
		last = crashes[len(crashes)-1].at
	}
	return n, last
}

// separate returns the number of crashes that no answer has cleared, where those within
// crashSpacing count once.
func (s *suspect) separate() int {
	return countSeparate(s.uncleared(nil), func(time.Time) bool { return false })
}

// countSeparate returns the number of crashes, where those within crashSpacing count once,
// except those that count alone.
func countSeparate(crashes []crash, alone func(at time.Time) bool) (n int) {
	var counted time.Time
	for _, c := range crashes {
		if counted.IsZero() || c.at.Sub(counted) >= crashSpacing || alone(c.at) {
			n++
			counted = c.at
		}
	}
	return n
}

// uncleared returns the crashes that no answer has cleared and that none of the others
// shares, the oldest first.
func (s *suspect) uncleared(others []*suspect) []crash {
	crashes := make([]crash, 0, len(s.crashes))
	for engine, c := range s.crashes {
		if !c.cleared && !slices.ContainsFunc(others, func(o *suspect) bool { return o.shares(engine, c) }) {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	return crashes
}

// compareSeriousness orders suspects by what would be lost with them.
func (s *suspect) compareSeriousness(other *suspect) int {
	if s.quarantined != other.quarantined {
		return cmp.Compare(rank(s.quarantined), rank(other.quarantined))
	}
	return cmp.Or(cmp.Compare(s.open(), other.open()), s.changed.Compare(other.changed))
}

func rank(quarantined bool) int {
	if quarantined {
		return 1
	}
	return 0
}

// isProbedOut reports whether no more probes are sent.
func (s *suspect) isProbedOut() bool {
	return s.failedProbes >= maxFailedProbes || (s.request && s.open() >= minCrashes+maxFailedProbes)
}

// open returns the number of crashes that no answer has cleared.
func (s *suspect) open() (n int) {
	for _, c := range s.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// shares reports whether the crash of an engine is also one of this suspect, or coincides
// with one.
func (s *suspect) shares(engine uint64, c crash) bool {
	if own, ok := s.crashes[engine]; ok && !own.cleared {
		return true
	}
	return s.coinciding(c) > 0
}

// without returns the number of crashes that no answer has cleared and that the other
// suspect does not share.
func (s *suspect) without(other *suspect, now time.Time) int {
	n, _ := s.count(now, []*suspect{other})
	return n
}

// isSerious reports whether the suspect had enough crashes for a quarantine.
func (s *suspect) isSerious(now time.Time) bool {
	if len(s.crashes) < minCrashes {
		return false
	}
	n, _ := s.count(now, nil)
	return n >= minCrashes
}

// isLikelier reports whether crashes that both suspects share are rather due to s: its last
// answer is older, or the two are alike in that, the other one is a part, and s has all
// crashes of that and further ones. Two requests that crash engines at the same time do not
// excuse each other.
func (s *suspect) isLikelier(other *suspect, now time.Time) bool {
	switch {
	case !s.isSerious(now), s.answered.Sub(other.answered) > answerOverlap:
		return false
	case other.answered.Sub(s.answered) > answerOverlap:
		return true
	}
	return !other.request && other.without(s, now) == 0 && s.without(other, now) >= twinDifference
}
