// Package lingering closes connections in such a way that the end of the peer's side can
// be awaited.
package lingering

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLinger bounds the time for which a closed connection waits for its peer.
	maxLinger = 5 * time.Second
	// maxDiscardedBytes bounds what is read from a peer that sends on. Beyond it, the
	// connection is reset.
	maxDiscardedBytes = 256 << 10
)

// Conn is a connection that may linger: Close then ends only the side that sends, and
// discards what the peer still sends until the peer ends its side too. It is safe for
// concurrent use.
type Conn struct {
	net.Conn
	done chan struct{}

	// reading is held by Read, and while the connection lingers.
	reading sync.Mutex

	mu      sync.Mutex
	lingers bool
	closing bool
	ended   bool
}

// New returns a connection that does not linger until SetLinger.
func New(c net.Conn) *Conn { return &Conn{Conn: c, done: make(chan struct{})} }

// SetLinger sets whether Close lingers. If it does so already, SetLinger(false) ends that.
func (c *Conn) SetLinger(lingers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = lingers
	if !lingers && c.closing {
		_ = c.Conn.Close() // an error means that it was closed before
	}
}

// Done is closed once the connection is closed on both sides, or no longer waits for its
// peer.
func (c *Conn) Done() <-chan struct{} { return c.done }

// PeerEnded reports whether the peer has ended its side or reset the connection.
func (c *Conn) PeerEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// Read implements net.Conn. It returns net.ErrClosed after Close, also while the
// connection lingers.
func (c *Conn) Read(data []byte) (int, error) {
	if c.isClosing() { // also while linger reads
		return 0, net.ErrClosed
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosing() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(data)
	c.observe(err)
	if c.isClosing() {
		return 0, net.ErrClosed // what arrives after the close is no part of an answer
	}
	return n, err
}

// Close implements net.Conn. It returns at once, and net.ErrClosed after the first call.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return net.ErrClosed
	}
	c.closing = true
	if c.lingers && !c.ended && c.closeWrite() {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // ends a Read that waits
		go c.linger()
		return nil
	}
	close(c.done)
	return c.Conn.Close()
}

// closeWrite ends the side that sends. It returns false if nothing is left to wait for.
func (c *Conn) closeWrite() bool {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return false
	}
	err := half.CloseWrite()
	// A connection that was reset is not connected any more.
	c.ended = isReset(err) || errors.Is(err, syscall.ENOTCONN)
	return err == nil
}

// linger discards what the peer sends until it ends its side, and closes the connection.
func (c *Conn) linger() {
	defer close(c.done)
	defer func() { _ = c.Conn.Close() }() // an error means that SetLinger has closed it
	c.reading.Lock()
	defer c.reading.Unlock()
	if err := c.SetReadDeadline(time.Now().Add(maxLinger)); err != nil {
		return
	}
	_, err := io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
	c.observe(err)
}

func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// observe records an error of a Read.
func (c *Conn) observe(err error) {
	if err != io.EOF && !isReset(err) { //nolint:errorlint // CopyN and Read return io.EOF itself
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
