// Package transport sends requests to targets and knows for certain whether
// any byte of a failed request can have left the process.
package transport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	defaultDialTimeout = time.Second
	idleConnsPerTarget = 64
	idleConnTimeout    = 90 * time.Second
	bufferBytes        = 4 << 10
)

// NotSentError marks an error after which no byte can have reached the target.
type NotSentError struct{ cause error }

// NewNotSentError returns cause marked as an error before the first byte.
func NewNotSentError(cause error) *NotSentError { return &NotSentError{cause: cause} }

// Error returns the text of the cause.
func (e *NotSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// Transport is an http.RoundTripper whose errors wrap NotSentError exactly
// when no byte of the request was given to a connection. It sends a request
// twice by itself only when WithRepeatable allows it. It may be used by many goroutines.
type Transport struct {
	pooled *http.Transport
	single *http.Transport
}

// Option changes a Transport under construction.
type Option func(*options)

type options struct {
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	idleTimeout time.Duration
}

// WithDial replaces how connections are opened.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithIdleTimeout sets how long a connection is kept without a request; it
// should be shorter than the targets' own time.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *options) { o.idleTimeout = d }
}

// New returns a transport without connections.
func New(opts ...Option) *Transport {
	o := options{
		dial:        (&net.Dialer{Timeout: defaultDialTimeout}).DialContext,
		idleTimeout: idleConnTimeout,
	}
	for _, opt := range opts {
		opt(&o)
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := o.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	pooled := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idleConnsPerTarget,
		IdleConnTimeout:     o.idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}
	single := pooled.Clone()
	single.DisableKeepAlives = true
	return &Transport{pooled: pooled, single: single}
}

type repeatableKey struct{}

// WithRepeatable returns a context whose requests may be sent twice.
func WithRepeatable(ctx context.Context) context.Context {
	return context.WithValue(ctx, repeatableKey{}, true)
}

// RoundTrip sends r once, unless its context allows more. A request without a
// body then takes a connection of its own, since http.Transport repeats such
// a request when a reused connection breaks after the request was written.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.pooled
	empty := r.Body == nil || r.Body == http.NoBody
	if empty && r.Context().Value(repeatableKey{}) == nil {
		base = t.single
	}
	s := &sending{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: s.gotConn})
	answer, err := base.RoundTrip(r.WithContext(ctx))
	if err != nil && !s.began() {
		err = NewNotSentError(err)
	}
	return answer, err
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.pooled.CloseIdleConnections()
	t.single.CloseIdleConnections()
}

// sending follows one request over the connections that it was given.
type sending struct {
	mu    sync.Mutex
	conns []begun
}

// begun is a connection with the bytes it had written before the request.
type begun struct {
	conn   *conn
	before int64
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, begun{conn: c, before: c.count()})
}

// began ends every connection of the request and reports whether a byte of
// it may have left.
func (s *sending) began() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := false
	for _, b := range s.conns {
		if b.conn.seal() != b.before {
			left = true
		}
	}
	return left
}

// conn counts what is written to a connection.
type conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write counts the bytes before they are given to the kernel.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(data))
	c.mu.Unlock()
	return c.Conn.Write(data)
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection for good and returns the bytes written to it.
func (c *conn) seal() int64 {
	c.mu.Lock()
	c.sealed = true
	written := c.written
	c.mu.Unlock()
	_ = c.Close()
	return written
}
