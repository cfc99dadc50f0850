package listener

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// slowListener sends an answer on connections whose request header does not arrive in
// time. net/http closes such connections without an answer.
type slowListener struct {
	net.Listener
	answer []byte
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, answer: l.answer}, nil
}

// slowConn is a connection that records whether a part of a request header has
// arrived and whether a handler is running.
type slowConn struct {
	net.Conn
	answer  []byte
	partial atomic.Bool
	serving atomic.Bool
}

// Read implements net.Conn. If the read deadline expires after a part of a header has
// arrived and no handler is running, it sends the answer and closes the connection.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.partial.Store(true)
	}
	late := errors.Is(err, os.ErrDeadlineExceeded) && c.partial.Load() && !c.serving.Load()
	if late && c.partial.Swap(false) {
		answerAndClose(c.Conn, c.answer)
	}
	return n, err
}

// CloseWrite closes the writing half of the connection. net/http calls it before it
// closes a connection whose request it has rejected.
func (c *slowConn) CloseWrite() error { return closeWrite(c.Conn) }

type slowConnKey struct{}

// withConn stores the connection in the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, slowConnKey{}, conn)
}

// markServing marks the connection of a request as serving while h runs, so that read
// deadlines during the request are not taken for a slow header.
func markServing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(slowConnKey{}).(*slowConn); ok {
			c.serving.Store(true)
			defer func() {
				c.partial.Store(false)
				c.serving.Store(false)
			}()
		}
		h.ServeHTTP(w, r)
	})
}
