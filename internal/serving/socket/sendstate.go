package socket

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// sendState is what the kernel knows of the sending side of a TCP connection (tcp(7), TCP_INFO).
type sendState struct {
	// inFlight is the number of segments sent and not acknowledged.
	inFlight uint32
	// unsent is the number of bytes that were never sent.
	unsent uint32
	// window is the number of bytes that the peer takes; kernels before Linux 5.4 report zero.
	window uint32
	// retransmits is the number of retransmissions of the oldest segment, probes that of
	// probes without an answer.
	retransmits, probes uint8
	// sinceAck is the time since the last acknowledgement arrived.
	sinceAck time.Duration
}

// readSendState returns the state of an open connection, also after the kernel has ended it. It
// then holds no data in flight.
func readSendState(c *net.TCPConn) (sendState, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return sendState{}, errors.Wrap(err, "access socket")
	}
	var info *unix.TCPInfo
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return sendState{}, errors.Wrap(err, "access socket")
	}
	if optErr != nil {
		return sendState{}, errors.Wrap(optErr, "get TCP_INFO")
	}
	return sendState{
		inFlight:    info.Unacked,
		unsent:      info.Notsent_bytes,
		window:      info.Snd_wnd,
		retransmits: info.Retransmits,
		probes:      info.Probes,
		sinceAck:    time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}

// timeoutCause returns what a connection that has timed out was waiting for.
func (s sendState) timeoutCause() string {
	switch {
	case s.unsent > 0 && s.window == 0:
		return "window_closed"
	case s.retransmits > 0:
		return "unacknowledged"
	default:
		return "idle"
	}
}
