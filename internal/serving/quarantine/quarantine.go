// Package quarantine finds the requests, and the parts of prompts, on which engines crash, and
// keeps them away from the engines.
//
// A request and the parts of its prompt are suspected when the request is in progress at an
// engine that crashes. Most suspects are innocent: they share the engine, or the prompt, with
// the one that is to blame. Innocent ones are soon part of a request that is answered, which
// clears them; one on which engines crash never is. An innocent suspect that is seldom asked
// for is not blamed for crashes for which a likelier one is to blame: one whose requests were
// answered longer ago, or never. VMs exchange suspects, since each of them sees only some of
// the crashes.
//
// The package does no I/O.
package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/target"
)

const (
	// minCrashes is the number of crashes without an answer in between from which on a suspect
	// is quarantined.
	minCrashes = 3
	// crashSpacing is the time within which crashes count once: engines that are lost
	// together say little about the requests that they ran. After settleTime each counts by
	// itself if no engine has ever begun to answer a request with the suspect: had the
	// engines been lost for another reason, one would have by then.
	crashSpacing = 250 * time.Millisecond
	settleTime   = 2 * time.Second
	// answerOverlap is how long before a crash an answer still clears the suspect.
	answerOverlap = time.Second
	// probeInterval is the time after the last crash, or the last probe, after which one
	// request with a quarantined suspect may be sent. twinProbeInterval is that for a part
	// that shares its crashes with a suspect that the request does not have,
	// earlyProbeInterval that for a part whose separate crashes alone are too few.
	probeInterval      = time.Minute
	twinProbeInterval  = time.Second
	earlyProbeInterval = settleTime
	// maxFailedProbes is the number of probes on which engines crashed, or for a request of
	// crashes beyond minCrashes, after which there are no more probes for as long as requests
	// with the suspect come.
	maxFailedProbes = 2
	// crashRetention is how long a crash is remembered after it, and after the last refusal of
	// a request with the suspect; clearedRetention how long one that is cleared.
	crashRetention   = 10 * time.Minute
	clearedRetention = 30 * time.Second
	// maxSuspects, maxCrashes and maxAnswered bound the memory.
	maxSuspects = 2048
	maxCrashes  = 16
	maxAnswered = 2048
)

// Quarantine holds the suspects. Its methods are safe for concurrent use.
type Quarantine struct {
	mayProbe func() bool
	logger   hclog.Logger

	mu       sync.Mutex
	suspects map[key]*suspect
	// version is the number of changes of suspects so far.
	version int64
	// parts and requests hold the last answers that this VM saw.
	parts, requests *answers
	// expired is the time at which old crashes were last looked for.
	expired time.Time
}

// New returns a quarantine without suspects. mayProbe reports whether this VM may send a
// request with a quarantined suspect once in a while, to find out whether engines still crash
// on it; it should be true at one VM only, and only while that hears of the others: they may
// know of further crashes.
func New(mayProbe func() bool, logger hclog.Logger) *Quarantine {
	return &Quarantine{
		mayProbe: mayProbe,
		logger:   logger,
		suspects: make(map[key]*suspect),
		parts:    newAnswers(maxAnswered),
		requests: newAnswers(maxAnswered),
	}
}

// key identifies a suspect: a part of prompts by the hash of its ID, a request by its
// fingerprint.
type key struct {
	request bool
	hash    uint64
}

// subject is what engines may crash on, with its name for logs.
type subject struct {
	key
	name string
}

// subjects returns what engines may crash on in a request: the request as a whole, and the
// parts of its prompt that other requests may have as well, which are all but the last.
func subjects(r *exchange.Request) []subject {
	all := make([]subject, 0, 1+len(r.Prefix))
	if r.Fingerprint != 0 {
		all = append(all, subject{key{request: true, hash: uint64(r.Fingerprint)}, r.Fingerprint.String()})
	}
	for _, p := range r.Prefix[:max(0, len(r.Prefix)-1)] {
		all = append(all, subject{key{hash: xxhash.Sum64String(p.ID)}, p.ID})
	}
	return all
}

func engineHash(t *target.Target) uint64 {
	return xxhash.Sum64String(t.ID + "/" + strconv.FormatInt(t.Born, 10))
}

// RecordCrash records that an engine crashed before it had begun to answer a request.
func (q *Quarantine) RecordCrash(r *exchange.Request, t *target.Target, now time.Time) {
	q.recordCrash(r, t, false, now)
}

// RecordLateCrash records that an engine crashed after it had begun to answer a request.
func (q *Quarantine) RecordLateCrash(r *exchange.Request, t *target.Target, now time.Time) {
	q.recordCrash(r, t, true, now)
}

func (q *Quarantine) recordCrash(r *exchange.Request, t *target.Target, begun bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	engine := engineHash(t)
	for _, sub := range subjects(r) {
		c := crash{at: now}
		if !sub.request {
			c.request = uint64(r.Fingerprint)
		}
		q.add(sub.key, engine, c, now)
		s := q.suspects[sub.key]
		if begun && !s.begun {
			s.begun = true
			q.touch(s, now)
		}
		if s.probing {
			s.probing = false
			s.failedProbes++
			q.touch(s, now)
		}
		q.logQuarantine(sub.key, sub.name, now)
	}
}

// RecordAnswer records that a request was answered completely and with success.
func (q *Quarantine) RecordAnswer(r *exchange.Request, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, sub := range subjects(r) {
		q.recordAnswer(sub, now)
	}
}

// RecordFailure records that an engine has run a request and answered with a failure of the
// caller's. That clears the request, but not its prompt, which may not have been read.
func (q *Quarantine) RecordFailure(r *exchange.Request, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, sub := range subjects(r) {
		if sub.request {
			q.recordAnswer(sub, now)
		}
	}
}

// recordAnswer clears a suspect. The caller holds q.mu.
func (q *Quarantine) recordAnswer(sub subject, now time.Time) {
	q.answers(sub.key).add(sub.hash, now)
	s := q.suspects[sub.key]
	if s == nil {
		return
	}
	s.probing = false
	q.setAnswered(s, now, now)
	q.clearCrashes(s, now)
	q.logQuarantine(sub.key, sub.name, now)
}

// clearCrashes clears the crashes of a suspect. The caller holds q.mu.
func (q *Quarantine) clearCrashes(s *suspect, now time.Time) {
	if s.open() == 0 {
		return
	}
	for engine, c := range s.crashes {
		c.cleared = true
		s.crashes[engine] = c
	}
	s.cleared = now
	q.touch(s, now)
}

// answers returns the answers to requests with suspects of a kind.
func (q *Quarantine) answers(k key) *answers {
	if k.request {
		return q.requests
	}
	return q.parts
}

// setAnswered sets the time of the last answer. Peers are told of it when it has moved by
// more than matters to them. The caller holds q.mu.
func (q *Quarantine) setAnswered(s *suspect, at, now time.Time) {
	if !at.After(s.answered) {
		return
	}
	s.answered = at
	if at.Sub(s.answeredNews) > answerOverlap {
		s.answeredNews = at
		q.touch(s, now)
	}
}

// touch records a change of a suspect for the peers. The caller holds q.mu.
func (q *Quarantine) touch(s *suspect, now time.Time) {
	q.version++
	s.version, s.changed = q.version, now
}

// add adds a crash to a suspect. The caller holds q.mu.
func (q *Quarantine) add(k key, engine uint64, c crash, now time.Time) {
	s := q.suspects[k]
	if s == nil {
		if len(q.suspects) >= maxSuspects {
			q.evict()
		}
		s = &suspect{key: k, crashes: make(map[uint64]crash), answered: q.answers(k).last(k.hash)}
		q.suspects[k] = s
	}
	if at := q.answers(k).last(k.hash); at.After(c.at.Add(-answerOverlap)) {
		c.cleared = true
	}
	old, known := s.crashes[engine]
	switch {
	case known:
		c.at, c.request, c.cleared = old.at, old.request, old.cleared || c.cleared
		if c == old {
			return
		}
	case s.coinciding(c) >= maxCoinciding:
		return // enough of them are known
	case len(s.crashes) >= maxCrashes:
		s.forgetOldest()
	}
	s.crashes[engine] = c
	if c.cleared {
		s.cleared = now
	}
	q.touch(s, now)
}

// evict removes an eighth of the suspects: those with the fewest crashes, of these the ones
// that changed least recently, and quarantined ones last. Whoever sends ever new requests must
// not push out those on which engines crash again and again. The caller holds q.mu.
func (q *Quarantine) evict() {
	all := slices.SortedFunc(maps.Values(q.suspects), (*suspect).compareSeriousness)
	for _, s := range all[:len(all)/8] {
		delete(q.suspects, s.key)
	}
}

// logQuarantine logs the start and the end of a suspect's quarantine. The caller holds q.mu.
func (q *Quarantine) logQuarantine(k key, name string, now time.Time) {
	s := q.suspects[k]
	if s == nil {
		return
	}
	n, _ := q.blame(s, now)
	if quarantined := n >= minCrashes; quarantined != s.quarantined {
		s.quarantined = quarantined
		uncleared, _ := s.count(now, nil)
		what := "prompt part"
		if k.request {
			what = "request"
		}
		q.logger.Warn("suspect", "kind", what, "name", name, "hash", strconv.FormatUint(k.hash, 16), "quarantined", quarantined, "crashes", len(s.crashes),
			"uncleared", uncleared, "to_blame", n, "answered", !s.answered.IsZero(), "begun", s.begun, "failed_probes", s.failedProbes)
	}
}

// blame returns the number of crashes for which a suspect is to blame, and the time of the
// last one. The caller holds q.mu.
func (q *Quarantine) blame(s *suspect, now time.Time) (n int, last time.Time) {
	n, last = s.count(now, nil)
	if n < minCrashes {
		return n, last
	}
	var likelier []*suspect
	common := !s.request && q.isCommon(s, now)
	for _, other := range q.suspects {
		if other == s || (common && other.request) {
			continue
		}
		if other.isLikelier(s, now) {
			likelier = append(likelier, other)
		}
	}
	if len(likelier) == 0 {
		return n, last
	}
	return s.count(now, likelier)
}

// isCommon reports whether a part is in so many requests on which engines crash again and again
// that it explains them better than they explain its crashes. The caller holds q.mu.
func (q *Quarantine) isCommon(s *suspect, now time.Time) bool {
	serious := make(map[uint64]bool)
	for _, c := range s.crashes {
		if r := q.suspects[key{request: true, hash: c.request}]; !c.cleared && r != nil && r.isSerious(now) {
			serious[c.request] = true
		}
	}
	return len(serious) >= minCrashes
}

// hasTwin reports whether a request lacks something that shares the crashes of the suspect and
// is as likely to blame, so that an answer to it tells which of the two is innocent. own is
// what the request has. The caller holds q.mu.
func (q *Quarantine) hasTwin(s *suspect, own []subject, now time.Time) bool {
	has := make(map[key]bool, len(own))
	for _, sub := range own {
		has[sub.key] = true
	}
	for k, other := range q.suspects {
		if !has[k] && other.isSerious(now) && !s.isLikelier(other, now) && s.without(other, now) < twinDifference {
			return true
		}
	}
	return false
}

// Blocked reports whether a request must not be sent to an engine. name is then the ID of the
// part to blame, or the fingerprint of the request, and after the time until it may be tried
// again.
func (q *Quarantine) Blocked(r *exchange.Request, now time.Time) (name string, after time.Duration, blocked bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.suspects) == 0 {
		return "", 0, false
	}
	q.expire(now)
	own := subjects(r)
	var probed []*suspect
	for _, sub := range own {
		s := q.suspects[sub.key]
		if s == nil {
			continue
		}
		n, last := q.blame(s, now)
		if n < minCrashes {
			continue
		}
		if !s.quarantined { // crashes that came together begin to count without a call
			q.logQuarantine(sub.key, sub.name, now)
		}
		interval := q.probeInterval(s, own, now)
		if s.probed.After(last) {
			last = s.probed
		}
		after := last.Add(interval).Sub(now)
		if !s.isProbedOut() && after <= 0 && q.mayProbe() {
			probed = append(probed, s)
			continue
		}
		q.refused(s, now)
		return sub.name, max(after, interval/2), true
	}
	for _, s := range probed {
		s.probed, s.probing = now, true
		q.logger.Info("quarantined request is sent as a probe", "fingerprint", r.Fingerprint.String(), "hash", strconv.FormatUint(s.hash, 16), "failed_probes", s.failedProbes)
	}
	return "", 0, false
}

// probeInterval returns the time between two probes with a suspect. The caller holds q.mu.
func (q *Quarantine) probeInterval(s *suspect, own []subject, now time.Time) time.Duration {
	switch {
	case s.isProbedOut():
		return crashRetention
	case s.request:
		return probeInterval
	case q.hasTwin(s, own, now):
		return twinProbeInterval
	case s.separate() < minCrashes:
		return earlyProbeInterval
	}
	return probeInterval
}

// refused records that a request with a suspect still comes. The caller holds q.mu.
func (q *Quarantine) refused(s *suspect, now time.Time) {
	s.refused = now
	if now.Sub(s.refusedNews) > refusedNewsInterval {
		s.refusedNews = now
		q.touch(s, now)
	}
}
