package listener

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/connbudget"
)

const (
	// headByteCost and headLineCost are the memory that a byte and a line of a request header
	// take while it is parsed, in bytes. A line of five bytes takes about a hundred in the
	// parsed form.
	headByteCost = 4
	headLineCost = 192
	// messageByteCost is the same for a byte of a message between processes, which is buffered
	// once and decoded.
	messageByteCost = 3
	// socketBytes is the size of the kernel's buffers of a connection, each way: what arrives
	// unread or is not read by the caller counts towards the memory of the VM. A body of 4 MB
	// over a round trip of 3 ms takes 0.2 s with it.
	socketBytes = 64 << 10
	// roomTimeout is the longest time for which a connection waits until connections that were
	// given up for it have ended. They do at once; after an early answer, net/http keeps one for
	// half a second.
	roomTimeout = time.Second
	// reportInterval is the minimum time between two log lines about closed connections.
	reportInterval = time.Second
)

// Guard accounts for the connections of a group of listeners from their accept on. If their
// memory or number reaches its limit, it closes the connection that has been sending longest
// without a whole request, and else the one that has been idle longest. Nothing of a request
// on such a connection is passed on. If all connections serve requests, new ones are closed.
type Guard struct {
	name     string
	budget   *connbudget.Budget
	clock    clockwork.Clock
	logger   hclog.Logger
	reported atomic.Int64
}

// GuardOption configures a Guard.
type GuardOption func(*Guard)

// WithGuardLogger sets the logger; the default discards all messages.
func WithGuardLogger(l hclog.Logger) GuardOption { return func(g *Guard) { g.logger = l } }

// WithGuardClock sets the clock; the default is the real clock.
func WithGuardClock(c clockwork.Clock) GuardOption { return func(g *Guard) { g.clock = c } }

// NewGuard returns a guard for connections whose memory and number are limited. Metrics and
// log lines have its name.
func NewGuard(name string, memory int64, connections int, opts ...GuardOption) *Guard {
	g := &Guard{
		name: name, budget: connbudget.New(memory, connections),
		clock: clockwork.NewRealClock(), logger: hclog.NewNullLogger(),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// HTTP returns a listener for s that accounts for the connections of l. It must be called before s
// serves, with the outermost listener.
func (g *Guard) HTTP(s *http.Server, l net.Listener) net.Listener {
	connContext, connState, handler := s.ConnContext, s.ConnState, s.Handler
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		c, ok := conn.(*guardedConn)
		if !ok {
			return ctx
		}
		if connContext != nil {
			ctx = connContext(ctx, c.Conn)
		}
		return context.WithValue(ctx, guardKey{}, c)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*guardedConn); ok && state == http.StateIdle {
			c.rest()
		}
		if connState != nil {
			connState(conn, state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(guardKey{}).(*guardedConn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		guarded, cancel := c.awaitBody(r)
		defer cancel()
		handler.ServeHTTP(w, guarded)
		if c.member.Answered() {
			// net/http keeps the request while it waits for the caller to read the answer.
			r.Header, r.Trailer = nil, nil
		}
		if c.givenUp.Load() {
			// After an early answer, net/http keeps a connection and its request for half a
			// second, so that the caller can read the answer. This one is closed.
			panic(http.ErrAbortHandler)
		}
	})
	return &guardedListener{Listener: l, guard: g, wrap: func(c *guardedConn) net.Conn { return c }}
}

// Messages returns a listener that accounts for the connections of l, on which calls between
// processes come one after the other. Call Whole of a connection when the message of a call has
// arrived, and Rest when it has ended; an answer ends it too.
func (g *Guard) Messages(l net.Listener) net.Listener {
	return &guardedListener{Listener: l, guard: g, wrap: func(c *guardedConn) net.Conn { return messageConn{c} }}
}

// giveUpIncomplete closes the connection that has been sending longest without a whole request.
// It returns false if there is none.
func (g *Guard) giveUpIncomplete() bool { return g.budget.GiveUpIncomplete(g.clock.Now()) }

// Collectors returns the metrics of the guard.
func (g *Guard) Collectors() []prometheus.Collector {
	gauge := func(name, help string, value func(connbudget.Usage) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: name, Help: help, ConstLabels: prometheus.Labels{"listeners": g.name},
		}, func() float64 { return value(g.budget.Usage()) })
	}
	counter := func(name, help string, value func(connbudget.Usage) float64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: name, Help: help, ConstLabels: prometheus.Labels{"listeners": g.name},
		}, func() float64 { return value(g.budget.Usage()) })
	}
	return []prometheus.Collector{
		gauge("fireflypier_connections", "Open connections.", func(u connbudget.Usage) float64 { return float64(u.Open) }),
		gauge("fireflypier_connections_sending", "Connections that have not sent a whole request.", func(u connbudget.Usage) float64 { return float64(u.Sending) }),
		gauge("fireflypier_connections_limit", "Maximum number of open connections.", func(u connbudget.Usage) float64 { return float64(u.Limit) }),
		gauge("fireflypier_connection_memory_bytes", "Memory reserved for connections and request headers.", func(u connbudget.Usage) float64 { return float64(u.Memory) }),
		gauge("fireflypier_connection_memory_limit_bytes", "Maximum memory of connections and request headers.", func(u connbudget.Usage) float64 { return float64(u.MemoryLimit) }),
		counter("fireflypier_connections_evicted_total", "Connections without a whole request that were closed for others.", func(u connbudget.Usage) float64 { return float64(u.Evicted) }),
		counter("fireflypier_connections_refused_total", "Connections closed at once since all others serve requests.", func(u connbudget.Usage) float64 { return float64(u.Refused) }),
	}
}

// report logs that connections have been closed, at most once in reportInterval.
func (g *Guard) report(message string, remote net.Addr, age time.Duration) {
	now, last := g.clock.Now().UnixNano(), g.reported.Load()
	if now-last < int64(reportInterval) || !g.reported.CompareAndSwap(last, now) {
		return
	}
	u := g.budget.Usage()
	g.logger.Warn(message, "listeners", g.name, "remote", remote.String(), "age_ms", age.Milliseconds(), "evicted", u.Evicted, "refused", u.Refused,
		"open", u.Open, "limit", u.Limit, "sending", u.Sending, "memory", u.Memory, "memory_limit", u.MemoryLimit)
}

// await calls account until there is room. It returns false if none was made in time.
func (g *Guard) await(account func() (wait <-chan struct{})) bool {
	wait := account()
	if wait == nil {
		return true
	}
	timeout := g.clock.NewTimer(roomTimeout)
	defer timeout.Stop()
	for ; wait != nil; wait = account() {
		select {
		case <-wait:
		case <-timeout.Chan():
			return false
		}
	}
	return true
}

// open accounts for a new connection; nil if there is no room.
func (g *Guard) open(c *guardedConn) (member *connbudget.Connection) {
	inTime := g.await(func() (wait <-chan struct{}) {
		member, wait = g.budget.Open(g.clock.Now(), c.evict)
		return wait
	})
	if !inTime {
		g.budget.Refuse()
		return nil
	}
	return member
}

// keep accounts for a part of a request, or a whole one. It returns false if the connection
// has been given up.
func (c *guardedConn) keep(account func(now time.Time) (kept bool, wait <-chan struct{})) (kept bool) {
	g := c.guard
	inTime := g.await(func() (wait <-chan struct{}) {
		kept, wait = account(g.clock.Now())
		return wait
	})
	if !inTime {
		c.member.GiveUp(g.clock.Now())
		return false
	}
	return kept
}

// received accounts for a part of a request.
func (c *guardedConn) received(cost int) bool {
	return c.keep(func(now time.Time) (bool, <-chan struct{}) { return c.member.Received(int64(cost), now) })
}

type guardedListener struct {
	net.Listener
	guard *Guard
	wrap  func(*guardedConn) net.Conn
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limitSocket(conn)
		c := &guardedConn{Conn: conn, guard: l.guard}
		c.inHead.Store(true)
		if c.member = l.guard.open(c); c.member != nil {
			return l.wrap(c), nil
		}
		l.guard.report("connection refused, all others serve requests", conn.RemoteAddr(), 0)
		_ = conn.Close()
	}
}

// limitSocket sets the size of the kernel's buffers of a TCP connection. A connection that has
// already ended cannot be configured; that shows at the next read.
func limitSocket(conn net.Conn) {
	for {
		switch c := conn.(type) {
		case *slowConn:
			conn = c.Conn
			continue
		case *limitedConn:
			conn = c.Conn
			continue
		}
		break
	}
	if tcp, ok := conn.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	}); ok {
		_ = tcp.SetReadBuffer(socketBytes)
		_ = tcp.SetWriteBuffer(socketBytes)
	}
}

// guardedConn is a connection on which HTTP requests arrive.
type guardedConn struct {
	net.Conn
	guard  *Guard
	member *connbudget.Connection
	// inHead is set while what arrives is a part of a request header.
	inHead atomic.Bool
	// givenUp is set once the connection has been closed for others.
	givenUp atomic.Bool
	// cancel ends the request whose body arrives; nil if none does.
	cancel atomic.Pointer[context.CancelFunc]
}

// errEvicted is the error of a connection that has been given up. net/http answers nothing on
// an error of this type.
var errEvicted = &net.OpError{Op: "read", Err: errors.Wrap(net.ErrClosed, "given up for other connections")}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.inHead.Load() {
		cost := headByteCost*n + headLineCost*bytes.Count(p[:n], []byte{'\n'})
		if !c.received(cost) {
			return 0, errEvicted
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.member.Close()
	return c.Conn.Close()
}

// CloseWrite closes the writing half of the connection. net/http calls it before it closes a
// connection whose request it has rejected.
func (c *guardedConn) CloseWrite() error { return closeWrite(c.Conn) }

func (c *guardedConn) evict(age time.Duration) {
	c.guard.report("connection without a whole request closed for others", c.RemoteAddr(), age)
	c.givenUp.Store(true)
	_ = c.Conn.Close()
	if cancel := c.cancel.Swap(nil); cancel != nil {
		(*cancel)()
	}
}

// whole tells that the request has arrived. It returns false if it must not be passed on.
func (c *guardedConn) whole() bool { return c.keep(c.member.Whole) }

// rest tells that the request has ended.
func (c *guardedConn) rest() {
	c.inHead.Store(true)
	c.member.Rest(c.guard.clock.Now())
}

type guardKey struct{}

// awaitBody accounts for the end of the header and, with the body of r, for that of the
// request. It returns the request to serve, and ends it if its connection has been given up. Call
// cancel when it has been served. The body of r stays as it is: its type tells net/http whether to
// read it before an answer.
func (c *guardedConn) awaitBody(r *http.Request) (_ *http.Request, cancel context.CancelFunc) {
	c.inHead.Store(false)
	if r.Body != nil && r.Body != http.NoBody {
		ctx, cancel := context.WithCancel(r.Context())
		c.cancel.Store(&cancel)
		if c.givenUp.Load() {
			cancel()
		}
		body := &guardedBody{ReadCloser: r.Body, conn: c}
		r = r.WithContext(ctx)
		r.Body = body
		return r, cancel
	}
	if !c.whole() {
		panic(http.ErrAbortHandler)
	}
	return r, func() {}
}

// guardedBody is the body of a request; its end makes the request whole.
type guardedBody struct {
	io.ReadCloser
	conn *guardedConn
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.whole() {
		return 0, errEvicted
	}
	return n, err
}

// messageConn is a connection on which calls between processes arrive.
type messageConn struct{ *guardedConn }

// Read implements net.Conn.
func (c messageConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(messageByteCost*n) {
		return 0, errEvicted
	}
	return n, err
}

// Whole tells that the message of a call has arrived; the connection is not given up until the
// answer. It returns false if it has been given up already: the call must not run.
func (c messageConn) Whole() bool { return c.whole() }

// Rest tells that the call has ended, also if it has no answer.
func (c messageConn) Rest() { c.member.Rest(c.guard.clock.Now()) }

// Write implements net.Conn.
func (c messageConn) Write(p []byte) (int, error) {
	c.Rest()
	return c.Conn.Write(p)
}
