package quarantine

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
)

const (
	// newsTime is how long a changed suspect is sent to peers that do not have it. It covers
	// peers that are frozen or cut off for a while. Quarantined ones are always sent.
	newsTime = 30 * time.Second
	// refusedNewsInterval is the time between two changes by refusals that peers are told of.
	refusedNewsInterval = time.Minute
	// expireInterval is the time between two searches for old crashes.
	expireInterval = time.Second
	// maxNews bounds the suspects in one digest; the next one has further ones.
	maxNews = 128
)

// NewsAfter returns the suspects that have changed after a version, and the version up to
// which peers know them then. It leaves out those that are neither quarantined nor have
// changed lately.
func (q *Quarantine) NewsAfter(seen int64, now time.Time) (news []*meshpb.Suspect, upto int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	if q.version <= seen {
		return nil, q.version
	}
	var changed []*suspect
	for _, s := range q.suspects {
		if s.version > seen && (now.Sub(s.changed) < newsTime || s.isSerious(now)) {
			changed = append(changed, s)
		}
	}
	slices.SortFunc(changed, func(a, b *suspect) int { return cmp.Compare(a.version, b.version) })
	upto = q.version
	if len(changed) > maxNews {
		changed = changed[:maxNews]
		upto = changed[maxNews-1].version
	}
	for _, s := range changed {
		news = append(news, s.encode(now))
	}
	return news, upto
}

func (s *suspect) encode(now time.Time) *meshpb.Suspect {
	w := &meshpb.Suspect{Hash: s.hash, Request: s.request, Begun: s.begun, FailedProbes: s.failedProbes}
	if !s.answered.IsZero() {
		w.AnsweredAgeMs = proto.Int64(now.Sub(s.answered).Milliseconds())
	}
	if !s.refused.IsZero() {
		w.RefusedAgeMs = proto.Int64(now.Sub(s.refused).Milliseconds())
	}
	for engine, c := range s.crashes {
		w.Crashes = append(w.Crashes, &meshpb.Crash{Engine: engine, AgeMs: now.Sub(c.at).Milliseconds(), Cleared: c.cleared, Request: c.request})
	}
	return w
}

// expire forgets old crashes. The caller holds q.mu.
func (q *Quarantine) expire(now time.Time) {
	if now.Sub(q.expired) < expireInterval {
		return
	}
	q.expired = now
	for k, s := range q.suspects {
		for engine, c := range s.crashes {
			if age := now.Sub(later(c.at, s.cleared)); c.cleared && age > clearedRetention || !c.cleared && isOld(c.at, s.refused, now) {
				delete(s.crashes, engine)
			}
		}
		if len(s.crashes) == 0 {
			delete(q.suspects, k)
		}
	}
}

// isOld reports whether a crash is too long ago to matter. refused is the time of the last
// refusal for it.
func isOld(at, refused, now time.Time) bool { return now.Sub(later(at, refused)) > crashRetention }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Merge adds the suspects of a peer.
func (q *Quarantine) Merge(news []*meshpb.Suspect, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(max(0, ms)) * time.Millisecond) }
	for _, w := range news[:min(len(news), maxNews)] {
		k := key{request: w.GetRequest(), hash: w.GetHash()}
		refused := time.Time{}
		if w.RefusedAgeMs != nil {
			refused = ago(w.GetRefusedAgeMs())
		}
		for _, c := range w.GetCrashes() {
			own := crash{at: ago(c.GetAgeMs()), cleared: c.GetCleared(), request: c.GetRequest()}
			if !isOld(own.at, refused, now) {
				q.add(k, c.GetEngine(), own, now)
			}
		}
		s := q.suspects[k]
		if s == nil {
			continue
		}
		if refused.After(s.refused) {
			s.refused = refused
			if refused.Sub(s.refusedNews) > refusedNewsInterval {
				s.refusedNews = refused
				q.touch(s, now)
			}
		}
		if (w.GetBegun() && !s.begun) || w.GetFailedProbes() > s.failedProbes {
			s.begun, s.failedProbes = s.begun || w.GetBegun(), max(s.failedProbes, w.GetFailedProbes())
			q.touch(s, now)
		}
		if w.AnsweredAgeMs != nil {
			q.setAnswered(s, ago(w.GetAnsweredAgeMs()), now)
		}
		q.logQuarantine(k, "", now)
	}
}
