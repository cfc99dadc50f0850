// Package targetlimit spaces the calls of all VMs to targets that limit them.
//
// It answers a target whose limit is a few calls a second, or less than one for each VM:
// such a limit cannot be divided among the VMs. One VM, the lender of the target, reserves
// the time of each call. The package performs no I/O.
package targetlimit

import (
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/serving/target"
)

const (
	// burstTime is the time whose calls may be made at once after a pause; minBurst is
	// the lower bound of their number.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
	// minPerSecond is the rate of calls to a target that takes none: without any call,
	// nobody learns that it takes calls again.
	minPerSecond = 0.1
	// retention is how long a schedule is kept after its last reserved call.
	retention = time.Minute
)

// Call is a call to one incarnation of a target.
type Call struct {
	// Target is the ID of the target, Born its incarnation.
	Target string
	Born   int64
	// Limit is the target's limit, Share the part of it that the lender may reserve.
	Limit target.Limit
	Share float64
	// MaxWait is the longest time until the call.
	MaxWait time.Duration
}

// Limiter has the reserved calls of the targets that this VM is the lender of. It is safe
// for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	schedules map[incarnation]*schedule
}

type incarnation struct {
	target string
	born   int64
}

// schedule has the time from which the next call may be made.
type schedule struct{ next time.Time }

// New returns a limiter without reserved calls.
func New() *Limiter { return &Limiter{schedules: make(map[incarnation]*schedule)} }

// Interval returns the mean time between two calls to a target.
func Interval(l target.Limit) time.Duration {
	return time.Duration(float64(time.Second) / max(l.PerSecond, minPerSecond))
}

// Reserve reserves a call and returns the time until it may be made. If that is longer
// than the call may wait, reserved is false and nothing is reserved. The first call to a
// target waits for one interval: another lender may have reserved calls before.
func (l *Limiter) Reserve(c *Call, now time.Time) (wait time.Duration, reserved bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := time.Duration(float64(Interval(c.Limit)) / c.Share)
	key := incarnation{c.Target, c.Born}
	s := l.schedules[key]
	if s == nil {
		l.expire(now)
		s = &schedule{next: now.Add(interval)}
		l.schedules[key] = s
	}
	burst := max(burstTime, minBurst*interval)
	if c.Limit.Steady {
		burst = interval
	}
	if earliest := now.Add(interval - burst); s.next.Before(earliest) {
		s.next = earliest
	}
	wait = max(0, s.next.Sub(now))
	if wait > c.MaxWait {
		return wait, false
	}
	s.next = s.next.Add(interval)
	return wait, true
}

// expire forgets schedules whose last call is long past. The caller holds l.mu.
func (l *Limiter) expire(now time.Time) {
	for key, s := range l.schedules {
		if now.Sub(s.next) > retention {
			delete(l.schedules, key)
		}
	}
}
