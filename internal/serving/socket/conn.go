package socket

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// reportInterval is the minimum time between two log lines about time-outs.
const reportInterval = time.Second

// conn is a TCP connection whose time-out is logged and counted. It does not have the
// ReadFrom and WriteTo of net.TCPConn, which would pass Write and Read by.
type conn struct {
	net.Conn
	tcp    *net.TCPConn
	dialer *Dialer
	// timedOut is set once the time-out has been counted.
	timedOut atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.observe(err)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.observe(err)
	return n, err
}

// CloseWrite closes the writing half of the connection.
func (c *conn) CloseWrite() error { return c.tcp.CloseWrite() }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// SetReadBuffer sets the size of the kernel's receive buffer in bytes.
func (c *conn) SetReadBuffer(bytes int) error { return c.tcp.SetReadBuffer(bytes) }

// SetWriteBuffer sets the size of the kernel's send buffer in bytes.
func (c *conn) SetWriteBuffer(bytes int) error { return c.tcp.SetWriteBuffer(bytes) }

// observe counts and logs the error of a Read or Write if the kernel has ended the
// connection by a time-out.
func (c *conn) observe(err error) {
	if err == nil || !errors.Is(err, syscall.ETIMEDOUT) || c.timedOut.Swap(true) {
		return
	}
	s, infoErr := readSendState(c.tcp)
	c.dialer.reportTimeout(c.RemoteAddr(), s, infoErr)
}

// reportTimeout counts a connection that has timed out in the given state, and logs it at
// most once in reportInterval. infoErr is set if the state is not known.
func (d *Dialer) reportTimeout(remote net.Addr, s sendState, infoErr error) {
	state := "unknown"
	if infoErr == nil {
		state = s.timeoutCause()
	}
	d.timedOut.WithLabelValues(state).Inc()
	now, last := d.clock.Now().UnixNano(), d.reported.Load()
	if now-last < int64(reportInterval) || !d.reported.CompareAndSwap(last, now) {
		return
	}
	d.logger.Warn("connection timed out", "peers", d.peers, "remote", remote.String(), "state", state, "info_error", infoErr,
		"window", s.window, "unsent", s.unsent, "in_flight", s.inFlight, "retransmits", s.retransmits, "probes", s.probes,
		"since_ack_ms", s.sinceAck.Milliseconds())
}
