package socket

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// conn is a TCP connection that its dialer checks while sent data waits for the peer. It
// does not have the ReadFrom and WriteTo of net.TCPConn, which would pass Write and Read by.
type conn struct {
	net.Conn
	tcp    *net.TCPConn
	dialer *Dialer

	// watched is set while the connection is among those to check, writing is the number of
	// Writes in progress.
	watched atomic.Bool
	writing atomic.Int32
	// ended is set once the end by a time-out has been counted, aborted if a check has ended
	// the connection.
	ended, aborted atomic.Bool

	// For checks, which come one after the other:
	history history
	// userTimeout is set while the kernel applies the user time-out.
	userTimeout bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, c.observe("read", err)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	c.dialer.watch(c)
	n, err := c.Conn.Write(p)
	c.writing.Add(-1)
	return n, c.observe("write", err)
}

// Close implements net.Conn. The kernel goes on delivering what waits for the peer, unless that reads
// nothing for too long.
func (c *conn) Close() error {
	c.setUserTimeout(c.dialer.unreadTimeout)
	return c.Conn.Close()
}

// CloseWrite closes the writing half of the connection.
func (c *conn) CloseWrite() error { return c.tcp.CloseWrite() }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// SetReadBuffer sets the size of the kernel's receive buffer in bytes.
func (c *conn) SetReadBuffer(bytes int) error { return c.tcp.SetReadBuffer(bytes) }

// SetWriteBuffer sets the size of the kernel's send buffer in bytes.
func (c *conn) SetWriteBuffer(bytes int) error { return c.tcp.SetWriteBuffer(bytes) }

// observe returns the error of a Read or Write. It counts the end of the connection if the kernel has
// ended it by a time-out; if a check has, the error is the same as the kernel's.
func (c *conn) observe(op string, err error) error {
	if err == nil {
		return nil
	}
	if c.aborted.Load() && errors.Is(err, net.ErrClosed) {
		return &net.OpError{
			Op: op, Net: c.RemoteAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError(op, syscall.ETIMEDOUT),
		}
	}
	if errors.Is(err, syscall.ETIMEDOUT) && !c.ended.Swap(true) {
		s, infoErr := readSendState(c.tcp)
		cause := "unknown"
		if infoErr == nil {
			cause = s.timeoutCause()
		}
		c.dialer.reportEnd(c, cause, s, infoErr)
	}
	return err
}

// check looks whether data waits for the peer, and bounds the wait. It returns false if there is
// nothing to check for until the next Write.
func (c *conn) check(now time.Time) bool {
	// A Write that begins after this has the connection watched again. One that has begun is
	// counted, or its data are in the state.
	c.watched.Store(false)
	writing := c.writing.Load() > 0
	s, err := readSendState(c.tcp)
	if err != nil {
		c.handleCheckError(err)
		return false
	}
	var v verdict
	c.history, v = c.history.judge(s, now, c.dialer.userTimeout, c.dialer.unreadTimeout)
	switch v.(type) {
	case delivered:
		c.applyUserTimeout(false)
		return writing && !c.watched.Swap(true)
	case inFlight:
		c.applyUserTimeout(true)
	case paused:
		c.applyUserTimeout(false)
	case gone:
		c.abort("unreachable", s)
		return false
	case unread:
		c.abort("unread", s)
		return false
	}
	return !c.watched.Swap(true)
}

// applyUserTimeout sets whether the kernel applies the user time-out.
func (c *conn) applyUserTimeout(on bool) {
	if c.userTimeout == on {
		return
	}
	var timeout time.Duration
	if on {
		timeout = c.dialer.userTimeout
	}
	if err := setUserTimeout(c.tcp, timeout); err != nil {
		c.handleCheckError(err)
		return
	}
	c.userTimeout = on
}

// handleCheckError has the kernel bound the wait for the peer if that can't be checked.
func (c *conn) handleCheckError(err error) {
	if errors.Is(err, net.ErrClosed) {
		return
	}
	c.dialer.logger.Debug("connection not checked", "peers", c.dialer.peers, "remote", c.RemoteAddr().String(), "error", err)
	c.setUserTimeout(c.dialer.userTimeout)
}

// setUserTimeout has the kernel apply the given user time-out, if the connection is open.
func (c *conn) setUserTimeout(d time.Duration) {
	if err := setUserTimeout(c.tcp, d); err != nil && !errors.Is(err, net.ErrClosed) {
		c.dialer.logger.Debug("connection has no user time-out", "peers", c.dialer.peers, "remote", c.RemoteAddr().String(), "error", err)
	}
}

// abort resets the connection.
func (c *conn) abort(cause string, s sendState) {
	c.ended.Store(true)
	c.aborted.Store(true)
	c.dialer.reportEnd(c, cause, s, nil)
	// Errors mean that the connection was closed before.
	_ = c.tcp.SetLinger(0)
	_ = c.tcp.Close()
}
