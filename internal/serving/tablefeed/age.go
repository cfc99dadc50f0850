package tablefeed

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// recordAge records that the rows hold an answer of the store of the time asOf, as a peer
// tells, or as this VM got it if the peer is invalid. The caller holds f.mu.
func (f *Feed) recordAge(asOf time.Time, peer netip.AddrPort) {
	now := f.clock.Now()
	if !asOf.After(f.asOf) || asOf.After(now) {
		return
	}
	f.asOf, f.source, f.heardAt = asOf, peer, now
	f.lateAge = f.maxAge + rand.N(f.maxAge/spreadsPerAge)
}

// recordAnswer records that the rows hold an answer that the store gave this VM. An answer of an
// older state than that of the rows tells nothing of changes since.
func (f *Feed) recordAnswer(version int64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version >= f.version {
		f.recordAge(at, netip.AddrPort{})
	}
}

// checkAge logs that the copy has become late, or no longer is.
func (f *Feed) checkAge() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	late := f.read && now.Sub(f.asOf) > f.lateAge
	if late == f.late {
		return
	}
	f.late = late
	message, source := "news of the table again", ""
	if late {
		message = "no news of the table"
	}
	if f.source.IsValid() {
		source = f.source.String()
	}
	f.logger.Info(message, "table", f.name, "age_ms", now.Sub(f.asOf).Milliseconds(), "changed_at", f.changedAt,
		"source", source, "heard_ms", now.Sub(f.heardAt).Milliseconds(), "store_failing", !f.failingSince.IsZero())
}

// Confirm tells that a peer knows of no change after the version changedAt, as of an answer of
// the store of the given age. It has no effect if this copy is older.
func (f *Feed) Confirm(peer netip.AddrPort, changedAt int64, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.read && changedAt > 0 && changedAt <= f.changedAt {
		f.recordAge(f.clock.Now().Add(-age), peer)
	}
}

// News returns the version of the newest change in the copy, and the time since the last answer of
// the store, to any VM, that the copy holds; zero if the table was not read.
func (f *Feed) News() (changedAt int64, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changedAt, f.age()
}

func (f *Feed) age() time.Duration {
	if !f.read {
		return 0
	}
	return f.clock.Since(f.asOf)
}
