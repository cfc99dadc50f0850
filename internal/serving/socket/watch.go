package socket

import "time"

const (
	// checksPerUserTimeout is how often a connection is checked within the user time-out. With the
	// default, the first check after a packet is lost comes before its third retransmission (1.4 s
	// later on short ways), and the kernel then ends the wait for the fourth at the time-out.
	checksPerUserTimeout = 2
	// reportInterval is the minimum time between two log lines about time-outs.
	reportInterval = time.Second
)

// watch has c checked until nothing waits for its peer.
func (d *Dialer) watch(c *conn) {
	if c.watched.Swap(true) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watched = append(d.watched, c)
	d.schedule()
}

// schedule has the next check called, if connections are watched. The caller holds d.mu.
func (d *Dialer) schedule() {
	if d.checking || len(d.watched) == 0 {
		return
	}
	d.checking = true
	d.clock.AfterFunc(d.userTimeout/checksPerUserTimeout, d.check)
}

// check checks the connections that are watched, and keeps those of them for which data waits.
func (d *Dialer) check() {
	d.mu.Lock()
	due := d.watched
	d.watched = nil
	d.mu.Unlock()
	now := d.clock.Now()
	kept := due[:0]
	for _, c := range due {
		if c.check(now) {
			kept = append(kept, c)
		}
	}
	clear(due[len(kept):])
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watched = append(kept, d.watched...)
	d.checking = false
	d.schedule()
}

// reportEnd counts a connection that a time-out has ended for the given cause, and logs it at most
// once in reportInterval. infoErr is set if the state is not known.
func (d *Dialer) reportEnd(c *conn, cause string, s sendState, infoErr error) {
	d.timedOut.WithLabelValues(cause).Inc()
	now, last := d.clock.Now().UnixNano(), d.reported.Load()
	if now-last < int64(reportInterval) || !d.reported.CompareAndSwap(last, now) {
		return
	}
	d.logger.Warn("connection timed out", "peers", d.peers, "remote", c.RemoteAddr().String(), "state", cause, "info_error", infoErr,
		"window", s.window, "unsent", s.unsent, "in_flight", s.inFlight, "retransmits", s.retransmits, "probes", s.probes,
		"since_ack_ms", s.sinceAck.Milliseconds())
}
