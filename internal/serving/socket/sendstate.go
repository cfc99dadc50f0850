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
	// acked is the number of bytes acknowledged so far.
	acked uint64
	// window is the number of bytes that the peer takes; kernels before Linux 5.4 report zero.
	window uint32
	// backoff is how often the time until the next retransmission or probe has doubled.
	backoff uint8
	// retransmits is the number of retransmissions of the oldest segment to an open window,
	// retransmitted that of all retransmissions so far, probes that of probes without an answer.
	retransmits, probes uint8
	retransmitted       uint32
	// sinceAck is the time since the last acknowledgement arrived.
	sinceAck time.Duration
}

// readSendState returns the state of an open connection, also after the kernel has ended it. It
// then holds no data in flight.
func readSendState(c *net.TCPConn) (sendState, error) {
	var info *unix.TCPInfo
	err := control(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return errors.Wrap(err, "get TCP_INFO")
	})
	if err != nil {
		return sendState{}, err
	}
	return sendState{
		inFlight:      info.Unacked,
		unsent:        info.Notsent_bytes,
		acked:         info.Bytes_acked,
		window:        info.Snd_wnd,
		backoff:       info.Backoff,
		retransmits:   info.Retransmits,
		retransmitted: info.Total_retrans,
		probes:        info.Probes,
		sinceAck:      time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT, in whole milliseconds; zero selects the kernel's
// retransmission limits.
func setUserTimeout(c *net.TCPConn, d time.Duration) error {
	return control(c, func(fd int) error {
		return errors.Wrap(unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds())), "set TCP_USER_TIMEOUT")
	})
}

// control calls f with the descriptor of an open connection.
func control(c *net.TCPConn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	var optErr error
	if err := raw.Control(func(fd uintptr) { optErr = f(int(fd)) }); err != nil {
		return errors.Wrap(err, "access socket")
	}
	return optErr
}

// delivered reports whether the peer has acknowledged everything.
func (s sendState) delivered() bool { return s.inFlight == 0 && s.unsent == 0 }

// windowClosed reports whether the peer takes no more for now. With a closed window, the kernel
// sends probes; if the peer has also dropped what was in flight, it retransmits that instead and
// doubles the time between, but does not count these retransmissions.
func (s sendState) windowClosed() bool {
	probing := s.inFlight == 0 && s.unsent > 0
	retransmitting := s.window == 0 && s.backoff > 0 && s.retransmits == 0
	return probing || retransmitting
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
