package listener

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// slowListener answers connections whose request header does not arrive in
// time; net/http closes them without an answer.
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

// slowConn knows whether a part of a header has arrived.
type slowConn struct {
	net.Conn
	answer  []byte
	partial atomic.Bool
	serving atomic.Bool
}

// Read implements net.Conn.
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

// CloseWrite closes the writing half of the connection, as net/http does
// before it closes a connection that it has refused.
func (c *slowConn) CloseWrite() error { return closeWrite(c.Conn) }

type slowConnKey struct{}

// keepConn lets handlers find the connection that a request came on.
func keepConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, slowConnKey{}, conn)
}

// markServing tells the connection while a handler runs.
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
