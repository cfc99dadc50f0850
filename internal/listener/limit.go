package listener

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// refusalTimeout limits the time spent on answering a refused connection.
	refusalTimeout = time.Second
	// maxRefusals limits the connections that are refused concurrently with an
	// answer; further connections are closed without one.
	maxRefusals = 256
)

// limitListener limits the number of open connections. Connections above the limit
// receive the refusal and are closed, unless makeRoom, if it is set, has closed one of the others.
type limitListener struct {
	net.Listener
	limit    int64
	refusal  []byte
	makeRoom func() bool

	open     atomic.Int64
	refusing atomic.Int64
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.open.Add(1)
		for open > l.limit && l.makeRoom != nil && l.makeRoom() {
			open = l.open.Load()
		}
		if open <= l.limit {
			return &limitedConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		if l.refusing.Add(1) > maxRefusals {
			l.refusing.Add(-1)
			_ = conn.Close()
			continue
		}
		go l.refuse(conn)
	}
}

func (l *limitListener) refuse(conn net.Conn) {
	defer l.refusing.Add(-1)
	answerAndClose(conn, l.refusal)
}

// answerAndClose writes an answer, closes the writing half and discards what the peer
// still sends. Closing a connection with unread data would reset it, and the peer
// could lose the answer.
func answerAndClose(conn net.Conn, answer []byte) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := conn.Write(answer); err != nil {
		return
	}
	_ = closeWrite(conn)
	discard(conn)
}

func discard(conn net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// limitedConn decrements the number of open connections when it is first closed.
type limitedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// CloseWrite closes the writing half of a TCP connection.
func (c *limitedConn) CloseWrite() error { return closeWrite(c.Conn) }

// closeWrite closes the writing half of a connection that has one.
func closeWrite(conn net.Conn) error {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// rawAnswer returns a complete HTTP/1.1 answer with a JSON body.
func rawAnswer(status int, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), len(body))
	return append([]byte(head), body...)
}
