package peer

import (
	"net"
	"sync/atomic"
)

// traffic counts the bytes and writes of connections.
type traffic struct {
	bytes, writes atomic.Int64
}

// countedConn adds the bytes and writes of a connection to traffic.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read adds the received bytes to the count.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// Write adds the sent bytes and one write to the counts.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// countedListener counts the traffic of all connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept returns the next connection as a countedConn.
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
