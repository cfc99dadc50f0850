// Package socket configures TCP connections so that a peer that stops answering
// or becomes unreachable is detected within seconds, while one that only stops reading
// for a while loses nothing.
//
// TCP_USER_TIMEOUT alone does not tell the two apart: the kernel also ends a connection whose
// peer acknowledges each probe of its closed window. It therefore applies only while data is in
// flight, as periodic checks find it.
package socket

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	defaultDialTimeout       = 500 * time.Millisecond // several round trips, and below the one second that callers allow for a connection
	defaultUserTimeout       = 2 * time.Second        // allows several retransmissions of a lost packet
	defaultUnreadTimeout     = 20 * time.Second       // longer than callers wait for an answer, 15 s at most
	defaultKeepAliveIdle     = 2 * time.Second        // limits the probe traffic of idle connections
	defaultKeepAliveInterval = time.Second            // TCP_KEEPINTVL is in whole seconds
	keepAliveProbes          = 2                      // one lost probe does not close the connection
)

// Dialer opens connections and listeners with time-outs that detect peers that do
// not answer. Connections that time out are logged and counted, with what the kernel
// knows of their peer.
type Dialer struct {
	peers string
	// userTimeout is the maximum time that data in flight may stay unacknowledged, and a peer
	// that does not read may leave probes unanswered.
	userTimeout time.Duration
	// unreadTimeout is the maximum time for which a peer may read nothing of what waits for it.
	unreadTimeout time.Duration
	clock         clockwork.Clock
	logger        hclog.Logger
	// timedOut counts connections that have timed out, by state; reported is when that was
	// last logged, in nanoseconds.
	timedOut *prometheus.CounterVec
	reported atomic.Int64

	mu sync.Mutex
	// watched has the connections to check. A check is due while it is not empty, and in progress
	// while checking is set.
	watched  []*conn
	checking bool
}

// Option configures a Dialer.
type Option func(*Dialer)

// WithLogger sets the logger; the default discards all messages.
func WithLogger(l hclog.Logger) Option { return func(d *Dialer) { d.logger = l } }

// WithClock sets the clock; the default is the real clock.
func WithClock(c clockwork.Clock) Option { return func(d *Dialer) { d.clock = c } }

// WithUserTimeout sets the maximum time, in whole milliseconds, that data in flight may
// stay unacknowledged; the default is two seconds.
func WithUserTimeout(t time.Duration) Option { return func(d *Dialer) { d.userTimeout = t } }

// WithUnreadTimeout sets the maximum time for which a peer may read nothing of what waits
// for it; the default is 20 seconds.
func WithUnreadTimeout(t time.Duration) Option { return func(d *Dialer) { d.unreadTimeout = t } }

// New returns a dialer with time-outs for connections within a region. peers names in
// metrics and log lines who is at the other end of its connections.
func New(peers string, opts ...Option) *Dialer {
	d := &Dialer{
		peers:         peers,
		userTimeout:   defaultUserTimeout,
		unreadTimeout: defaultUnreadTimeout,
		clock:         clockwork.NewRealClock(),
		logger:        hclog.NewNullLogger(),
		timedOut: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_connections_timed_out_total", Help: "Connections ended by a time-out of TCP, by what the kernel knew of the peer.",
			ConstLabels: prometheus.Labels{"peers": peers},
		}, []string{"state"}),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Collector returns the metrics of the connections.
func (d *Dialer) Collector() prometheus.Collector { return d.timedOut }

// Dial opens a connection; the time-out is the earlier of half a second and the
// deadline of ctx.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: defaultDialTimeout, KeepAliveConfig: keepAlive()}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return d.wrap(c), nil
}

// Listen opens a TCP listener whose connections have the same time-outs.
func (d *Dialer) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive()}
	config.SetMultipathTCP(false) // its sockets have no TCP_USER_TIMEOUT
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &listener{Listener: l, dialer: d}, nil
}

// wrap returns c as a conn if it is a TCP connection.
func (d *Dialer) wrap(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return &conn{Conn: c, tcp: tcp, dialer: d}
	}
	return c
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: defaultKeepAliveIdle, Interval: defaultKeepAliveInterval, Count: keepAliveProbes}
}

// listener returns connections as conns.
type listener struct {
	net.Listener
	dialer *Dialer
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.dialer.wrap(c), nil
}
