// Package listener runs an HTTP server on one address, with graceful shutdown and
// limits on connections and headers.
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
	guard    *Guard
	limited  *limitListener
	done     chan struct{}
}

const (
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultMaxHeaderBytes = 32 << 10
)

// Option configures a Listener.
type Option func(*Listener)

// WithHeaderLimits limits the size of a request header and the time until it has
// arrived.
func WithHeaderLimits(maxBytes int, timeout time.Duration) Option {
	return func(l *Listener) {
		l.server.MaxHeaderBytes = maxBytes
		l.server.ReadHeaderTimeout = timeout
	}
}

// WithMaxConnections limits the number of open connections to n. Further connections
// receive the given status and JSON body and are closed. With a guard, connections that have
// not sent a whole request are closed before.
func WithMaxConnections(n int, status int, body []byte) Option {
	return func(l *Listener) {
		l.limited = &limitListener{Listener: l.listener, limit: int64(n), refusal: rawAnswer(status, body)}
		l.listener = l.limited
	}
}

// WithSlowHeaderAnswer sends the given status and JSON body on connections whose
// request header does not arrive in time.
func WithSlowHeaderAnswer(status int, body []byte) Option {
	return func(l *Listener) {
		l.listener = &slowListener{Listener: l.listener, answer: rawAnswer(status, body)}
		l.server.ConnContext = withConn
		l.server.Handler = markServing(l.server.Handler)
	}
}

// WithGuard has g account for the connections.
func WithGuard(g *Guard) Option { return func(l *Listener) { l.guard = g } }

// Listen opens a listener on addr, which serves h once Run is called.
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
	if l.guard != nil {
		if l.limited != nil {
			l.limited.makeRoom = l.guard.giveUpIncomplete
		}
		l.listener = l.guard.HTTP(l.server, l.listener)
	}
	return l, nil
}

// Addr returns the local address of the listener.
func (l *Listener) Addr() netip.AddrPort {
	addr, ok := l.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// Run serves until Shutdown is called. It must be called at most once.
func (l *Listener) Run() error {
	defer close(l.done)
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Shutdown stops accepting connections and waits for running requests. If ctx is done
// first, it closes the remaining connections and returns an error.
func (l *Listener) Shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		_ = l.server.Close()
		return errors.Wrap(err, "shut down listener")
	}
	return nil
}

// Done returns a channel that is closed when Run returns.
func (l *Listener) Done() <-chan struct{} { return l.done }
