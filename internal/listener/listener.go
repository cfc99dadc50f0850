// Package listener runs an HTTP server as a part of a process: it stops
// gracefully when told to, and closes its done channel when it has stopped.
package listener

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Listener is an HTTP server on one address.
type Listener struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}
}

const (
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultMaxHeaderBytes = 32 << 10
)

// Option changes a Listener under construction.
type Option func(*Listener)

// WithHeaderLimits bounds the size and the time of a request's header.
func WithHeaderLimits(maxBytes int, timeout time.Duration) Option {
	return func(l *Listener) {
		l.server.MaxHeaderBytes = maxBytes
		l.server.ReadHeaderTimeout = timeout
	}
}

// WithMaxConnections bounds the connections; more are answered with the given
// status and JSON body, and closed.
func WithMaxConnections(n int, status int, body []byte) Option {
	return func(l *Listener) {
		l.listener = &limitListener{Listener: l.listener, limit: int64(n), refusal: rawAnswer(status, body)}
	}
}

// WithSlowHeaderAnswer answers connections whose request header does not
// arrive in time with the given status and JSON body.
func WithSlowHeaderAnswer(status int, body []byte) Option {
	return func(l *Listener) {
		l.listener = &slowListener{Listener: l.listener, answer: rawAnswer(status, body)}
		l.server.ConnContext = keepConn
		l.server.Handler = markServing(l.server.Handler)
	}
}

// Listen returns a listener on addr that serves h once Run is called.
func Listen(addr netip.AddrPort, h http.Handler, opts ...Option) (*Listener, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &Listener{
		listener: listener,
		done:     make(chan struct{}),
		server: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: defaultHeaderTimeout,
			IdleTimeout:       defaultIdleTimeout,
			MaxHeaderBytes:    defaultMaxHeaderBytes,
		},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l, nil
}

// Addr returns the address listened on.
func (l *Listener) Addr() netip.AddrPort {
	addr, ok := l.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// Run serves until Shutdown or Close. It may be called once.
func (l *Listener) Run() error {
	defer close(l.done)
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Shutdown stops accepting, waits for running requests until ctx ends, and
// then closes the connections that are left.
func (l *Listener) Shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		_ = l.server.Close()
		return errors.Wrap(err, "shut down listener")
	}
	return nil
}

// Done is closed when Run has returned.
func (l *Listener) Done() <-chan struct{} { return l.done }
