package peer

import (
	"net"
	"sync/atomic"
)

// traffic counts what connections carry.
type traffic struct {
	bytes, writes atomic.Int64
}

// countedConn counts into a traffic.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read counts the received bytes.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// Write counts the sent bytes.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// countedListener counts on every connection that it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept wraps the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.traffic}, nil
}

// Traffic returns the bytes sent and received on the server's connections,
// and the number of writes.
func (s *Server) Traffic() (bytes, writes int64) {
	return s.traffic.bytes.Load(), s.traffic.writes.Load()
}

// Traffic returns the bytes sent and received on the dialer's connections,
// and the number of writes.
func (d *Dialer) Traffic() (bytes, writes int64) {
	return d.traffic.bytes.Load(), d.traffic.writes.Load()
}
