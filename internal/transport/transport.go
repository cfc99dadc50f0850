// Package transport sends HTTP requests to targets and reports reliably whether any
// byte of a failed request can have left the process.
package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/lingering"
)

const (
	defaultDialTimeout = time.Second
	idleConnsPerTarget = 64
	idleConnTimeout    = 90 * time.Second
	bufferBytes        = 4 << 10
	// maxHeaderBytes bounds the header of an answer, informational ones included. A
	// target in trouble may send bytes without end.
	maxHeaderBytes = 32 << 10
)

// NotSentError marks an error after which no byte can have reached the target.
type NotSentError struct{ cause error }

// NewNotSentError returns cause marked as an error that occurred before the first
// byte was sent.
func NewNotSentError(cause error) *NotSentError { return &NotSentError{cause: cause} }

// Error returns the text of the cause after "not sent: ".
func (e *NotSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// Transport is an http.RoundTripper whose errors wrap NotSentError if and only if no
// byte of the request was written to a connection. It never sends a request twice. A
// request without a body or with GetBody is tried again on another connection if its first
// one was closed before a byte was written. A request WithHistory uses no connection on
// which it may have been sent before. It is safe for concurrent use.
type Transport struct {
	pooled *http.Transport
	single *http.Transport
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// Option configures a Transport.
type Option func(*options)

type options struct {
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	idleTimeout time.Duration
}

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithIdleTimeout sets how long an idle connection is kept open. It should be shorter
// than the idle timeout of the targets.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *options) { o.idleTimeout = d }
}

// New returns a transport without open connections.
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
		return newConn(c), nil
	}
	pooled := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idleConnsPerTarget,
		IdleConnTimeout:     o.idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	single := pooled.Clone()
	single.DisableKeepAlives = true
	return &Transport{pooled: pooled, single: single, dial: o.dial}
}

type ownConnectionKey struct{}

// WithOwnConnection returns a context whose requests use no connection that was used before.
func WithOwnConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, ownConnectionKey{}, true)
}

type checkKey struct{}

// WithCheck returns a context whose requests fail with the error that check returns for the
// header of the answer. The connection is then closed: an answer that belongs to another
// request may be followed by more of them.
func WithCheck(ctx context.Context, check func(*http.Response) error) context.Context {
	return context.WithValue(ctx, checkKey{}, check)
}

// maxClosedConns bounds the closed connections on which one request is tried.
const maxClosedConns = 3

// RoundTrip sends r once. It replaces connections that turn out to be closed before a byte
// of r is written to them, up to maxClosedConns in all.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	getBody := r.GetBody
	r = r.WithContext(r.Context())
	r.GetBody = nil // http.Transport would use it for requests that were written
	for tried := 1; ; tried++ {
		answer, reused, err := t.send(r)
		var unsent *NotSentError
		// A connection that this side or the target closes can still be in the pool.
		canRepeat := getBody != nil || r.Body == nil || r.Body == http.NoBody
		if err == nil || !canRepeat || tried == maxClosedConns || !errors.As(err, &unsent) || !reused || r.Context().Err() != nil || !Allowed(r.Context()) {
			return answer, err
		}
		if getBody == nil {
			continue
		}
		if r.Body, err = getBody(); err != nil {
			return nil, NewNotSentError(err)
		}
	}
}

// send sends r on one connection. reused is set if other requests had used that.
func (t *Transport) send(r *http.Request) (_ *http.Response, reused bool, _ error) {
	base := t.pooled
	own := r.Context().Value(ownConnectionKey{}) != nil
	history, _ := r.Context().Value(historyKey{}).(*History)
	address := poolAddress(r.URL)
	if history != nil && !history.begin(address) {
		own = true
	}
	if own {
		base = t.single
	}
	ending, _ := r.Context().Value(endingKey{}).(*Ending)
	ctx, cancel := context.WithCancelCause(r.Context())
	trace := &requestTrace{ending: ending, history: history, address: address, guard: guardOf(r.Context()), cancel: cancel}
	if ending != nil {
		ending.mu.Lock()
		ending.dial = t.dial
		ending.mu.Unlock()
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GetConn: trace.getConn, GotConn: trace.gotConn, GotFirstResponseByte: trace.answerBegins, WroteRequest: trace.requestWritten})
	answer, err := base.RoundTrip(r.WithContext(ctx))
	if err == nil && trace.early() {
		_ = answer.Body.Close()
		err = errEarly
	}
	if err == nil {
		if err = checkStatus(answer); err != nil {
			_ = answer.Body.Close()
		}
	}
	if err != nil && !trace.mayHaveSent() {
		err = NewNotSentError(err)
	}
	if err != nil {
		cancel(nil)
		return nil, trace.wasReused(), err
	}
	if check, ok := r.Context().Value(checkKey{}).(func(*http.Response) error); ok {
		if err := check(answer); err != nil {
			if !trace.mayHaveSent() {
				err = NewNotSentError(err)
			}
			_ = answer.Body.Close() // the connection is closed
			cancel(nil)
			return nil, trace.wasReused(), err
		}
	}
	trace.accept()
	unframed := isUnframed(answer)
	answer.Body = &answerBody{answer.Body, cancel}
	if unframed {
		answer.Body = &unframedBody{ReadCloser: answer.Body, trace: trace}
	}
	if ending != nil {
		answer.Body = ending.observe(answer.Body)
	}
	return answer, trace.wasReused(), nil
}

// answerBody is the body of an answer. Close releases the context of the request.
type answerBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() {
	t.pooled.CloseIdleConnections()
	t.single.CloseIdleConnections()
}

// requestTrace records the connections on which one request was sent.
type requestTrace struct {
	ending  *Ending
	history *History
	address string
	guard   func() bool
	// cancel ends the request.
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	conns []connUse
	// write receives the result of the write of the request to the last connection.
	write chan error
	// reused is set if other requests had used the last connection, sent if a byte may have
	// been sent.
	reused, sent bool
}

// ErrInvalidStatus means that an answer has a status with which no HTTP answer may end. The
// target lives, and the request may have run.
var ErrInvalidStatus = errors.New("the status of the answer is not valid")

// minFinalStatus and maxFinalStatus bound the statuses of final answers. 101 is not one: no
// request asks for another protocol.
const minFinalStatus, maxFinalStatus = 200, 599

// checkStatus returns an error that wraps ErrInvalidStatus unless the status is that of a final
// answer. net/http reads other ones, but a server that writes them panics.
func checkStatus(answer *http.Response) error {
	if answer.StatusCode < minFinalStatus || answer.StatusCode > maxFinalStatus {
		return errors.WithMessagef(ErrInvalidStatus, "status %03d", answer.StatusCode)
	}
	return nil
}

// errEarly means that an answer arrived before a byte of the request was written.
var errEarly = errors.New("the answer belongs to an earlier request")

// errBroken means that a reused connection broke after a byte of the request was written.
var errBroken = errors.New("the connection broke before an answer")

// getConn is called when http.Transport looks for a connection: again if it is about to
// repeat the request because a reused connection broke.
func (t *requestTrace) getConn(string) {
	if t.mayHaveSent() {
		t.cancel(errBroken)
	}
}

// connUse is a connection, the number of its requests up to one, and the number of bytes
// written to it before that request.
type connUse struct {
	conn           *conn
	number, before int64
}

func (t *requestTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent {
		c.seal() // getConn came too late to keep http.Transport from it
		return
	}
	use := c.use()
	c.setGuard(t.guard)
	t.conns, t.reused, t.write = append(t.conns, use), info.Reused, make(chan error, 1)
	if t.ending != nil {
		t.ending.add(use)
	}
	if t.history != nil {
		t.history.add(t.address, Connection{Local: c.LocalAddr().String(), Reused: info.Reused})
	}
}

// answerBegins is called before the first byte of the answer is read. That may have arrived
// in one segment with an earlier answer, so that conn has not seen it: a request that is not
// written yet is kept off the connection.
func (t *requestTrace) answerBegins() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) == 1 { // of more, it may be on any
		t.conns[0].sealUnwritten()
	}
}

// early reports whether no byte of the request was written to the connection of the answer.
func (t *requestTrace) early() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.conns)
	return n > 0 && t.conns[n-1].sealUnwritten()
}

func (t *requestTrace) wasReused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// accept lets the next request use the connection of the answer.
func (t *requestTrace) accept() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.conns); n > 0 {
		t.conns[n-1].accept()
	}
}

// mayHaveSent closes every connection of the request and reports whether a byte of
// the request may have been sent.
func (t *requestTrace) mayHaveSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, use := range t.conns {
		if use.conn.seal() != use.before {
			t.sent = true
		}
	}
	return t.sent
}

// conn is a connection that counts its requests and the bytes written to it.
//
// http.Transport puts a connection back into its pool before the answer to its last request
// is checked, if that has no body, and before it looks at bytes that it has read along with
// that answer. The next request is not written until the answer is accepted, and a further
// Read shows that no such bytes are left.
type conn struct {
	*lingering.Conn

	mu sync.Mutex
	// decided is signaled when an answer is accepted, a Read begins, or the connection is sealed.
	decided *sync.Cond
	// requests counts the requests, accepted is the number of the last one whose answer was
	// accepted.
	requests, accepted int64
	// written counts the bytes written, begun those before the last request.
	written, begun int64
	sealed         bool
	// reading is set during a Read.
	reading bool
	// guard is that of the last request until its first byte is written, nil if there is none.
	guard func() bool
	// lingers is set if the connection is to linger when it is closed during the last request.
	lingers bool
	// refused is set once a write has failed.
	refused bool

	// writing has an element while the kernel takes a write.
	writing chan struct{}
}

func newConn(c net.Conn) *conn {
	out := &conn{Conn: lingering.New(c), writing: make(chan struct{}, 1)}
	out.decided = sync.NewCond(&out.mu)
	return out
}

// awaitsFirstByte reports whether the last request is not the first one, and has not been
// written yet: what arrives then is no part of its answer. The caller holds c.mu.
func (c *conn) awaitsFirstByte() bool { return c.requests > 1 && c.written == c.begun }

// Read implements net.Conn. It seals the connection if bytes arrive before the first byte of
// a request is written.
func (c *conn) Read(data []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.decided.Broadcast()
	c.mu.Unlock()
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && c.awaitsFirstByte() {
		c.sealed = true
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. It counts the bytes before it passes them to the kernel, and
// takes back those that the kernel has not taken. It seals the connection if something has
// arrived before the first byte of a request. Before that byte it waits until the reader has
// used up what it had read, or the connection is sealed.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	for !c.sealed && (c.accepted < c.requests-1 || c.awaitsFirstByte() && !c.reading) {
		c.decided.Wait()
	}
	if c.awaitsFirstByte() && c.arrived() {
		c.sealed = true
	}
	if c.written == c.begun && c.guard != nil {
		c.sealed = c.sealed || !c.guard()
		c.guard = nil // an idle connection must not keep the request in memory
	}
	if c.sealed {
		c.refused = true
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(data))
	c.mu.Unlock()
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(data)
	if n < len(data) {
		c.mu.Lock()
		c.refused = true
		c.written -= int64(len(data) - n)
		c.mu.Unlock()
	}
	return n, err
}

// hasRefused waits for a write in progress, and reports whether a write has failed. It returns
// true if the write has not ended when expired has an element.
func (c *conn) hasRefused(expired <-chan time.Time) bool {
	select {
	case c.writing <- struct{}{}:
		<-c.writing
	case <-expired:
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// use begins another request on the connection.
func (c *conn) use() connUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := connUse{conn: c, number: c.requests + 1, before: c.written}
	idle := c.accepted == c.requests
	c.requests, c.begun, c.lingers, c.guard = u.number, c.written, false, nil
	if idle {
		c.SetLinger(false)
	}
	return u
}

// isCurrent reports whether no later request may have been written to the connection. The
// caller holds u.conn.mu.
func (u connUse) isCurrent() bool {
	return u.conn.requests == u.number || u.conn.accepted < u.number
}

// accept lets the next request use the connection.
func (u connUse) accept() {
	c := u.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted = u.number
	if c.requests != u.number {
		c.SetLinger(c.lingers)
	}
	c.decided.Broadcast()
}

// sealUnwritten rejects later writes if no byte of the request has been written, and reports
// whether it does.
func (u connUse) sealUnwritten() bool {
	c := u.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != u.before {
		return false
	}
	c.sealed = true
	c.decided.Broadcast()
	return true
}

// linger sets whether the connection lingers when it is closed, unless a later request
// uses it.
func (u connUse) linger(lingers bool) {
	u.conn.mu.Lock()
	defer u.conn.mu.Unlock()
	if u.conn.requests == u.number {
		u.conn.lingers = lingers
	}
	if u.isCurrent() {
		u.conn.SetLinger(lingers)
	}
}

// end closes the connection, and reports whether a byte of the request was sent. It returns
// false and does nothing if a later request uses the connection.
func (u connUse) end() (sent bool) {
	u.conn.mu.Lock()
	current := u.isCurrent()
	u.conn.mu.Unlock()
	return current && u.conn.seal() != u.before
}

// Close implements net.Conn. It rejects later writes.
func (c *conn) Close() error {
	c.mu.Lock()
	c.sealed = true
	c.decided.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// seal closes the connection and returns the number of bytes written before.
func (c *conn) seal() int64 {
	_ = c.Close() // an error means that it was closed before
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}
