package transport

import (
	"syscall"

	"github.com/pkg/errors"
)

// arrived reports whether bytes have arrived that no one has read yet, or the peer has ended
// or reset the connection. The reader of an idle connection may be late to notice.
func (c *conn) arrived() bool {
	s, ok := c.Conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	// Control does not wait for the reader, as Read would.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return err == nil && arrived
}
