package socket

import "time"

// verdict is what a check concludes about the peer of a connection.
type verdict interface{ isVerdict() }

type (
	// delivered: the peer has acknowledged everything.
	delivered struct{}
	// inFlight: the peer owes an acknowledgement, which the user time-out bounds.
	inFlight struct{}
	// paused: the peer does not read, and may be alive. The user time-out would end the
	// connection all the same.
	paused struct{}
	// gone: the peer does not read, and answers no probe.
	gone struct{}
	// unread: the peer is alive, and has read nothing for too long.
	unread struct{}
)

func (delivered) isVerdict() {}
func (inFlight) isVerdict()  {}
func (paused) isVerdict()    {}
func (gone) isVerdict()      {}
func (unread) isVerdict()    {}

const (
	// goneProbes is the number of probes without an answer after which a peer may be gone:
	// one may be lost, and peers answer at most two a second.
	goneProbes = 2
	// ackTolerance is the difference up to which two times of an acknowledgement are the same.
	// The kernel counts them in units of up to 10 ms.
	ackTolerance = 20 * time.Millisecond
)

// history is what is remembered of a connection between two checks, while data waits for its peer.
type history struct {
	// acked is the number of bytes acknowledged at progressAt, when that last grew.
	acked      uint64
	progressAt time.Time
	// heardAt is when the last acknowledgement came, retransmitted the number of
	// retransmissions at the check that found it.
	heardAt       time.Time
	retransmitted uint32
	// silent is set if the last check found probes without an answer. An answer may be under
	// way at one check, not from there to the next.
	silent bool
}

// judge returns the verdict on a connection in state s, and what to remember of it. The zero history
// begins with the first check.
func (h history) judge(s sendState, now time.Time, userTimeout, unreadTimeout time.Duration) (history, verdict) {
	if s.delivered() {
		return history{}, delivered{}
	}
	if h.progressAt.IsZero() || s.acked != h.acked {
		h.acked, h.progressAt = s.acked, now
	}
	if heardAt := now.Add(-s.sinceAck); h.heardAt.IsZero() || heardAt.Sub(h.heardAt) > ackTolerance {
		h.heardAt, h.retransmitted, h.silent = heardAt, s.retransmitted, false
	}
	if !s.windowClosed() {
		h.silent = false
		return h, inFlight{}
	}
	wasSilent := h.silent
	h.silent = int64(s.probes)+int64(s.retransmitted-h.retransmitted) >= goneProbes && s.sinceAck >= userTimeout
	switch {
	case h.silent && wasSilent:
		return h, gone{}
	case now.Sub(h.progressAt) >= unreadTimeout:
		return h, unread{}
	default:
		return h, paused{}
	}
}
