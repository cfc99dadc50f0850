package transport

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// endGrace is how long a target that can be reached usually takes at most to end its side
	// of a connection; until then it is not probed.
	endGrace = 20 * time.Millisecond
	// probeTimeout is the time within which a target that can be reached accepts a
	// connection. It ends well before callers of streams disconnect.
	probeTimeout = 200 * time.Millisecond
	// probeSlack is how much later a probe may end. A process that notices it later has had no
	// processor time, and may have missed that the connection was opened.
	probeSlack = 50 * time.Millisecond
	// probeInterval is the time between two probes.
	probeInterval = 500 * time.Millisecond
)

// End tells whether a target still works on a request whose attempt has ended.
type End int

// The ends of an attempt.
const (
	// Unconfirmed means that the target can be reached, and has not ended its side.
	Unconfirmed End = iota
	// Confirmed means that the target has ended or reset the connection, or has sent its
	// answer completely.
	Confirmed
	// Unreachable means that no new connection to the target can be opened.
	Unreachable
)

// String returns the end for logs.
func (e End) String() string { return [...]string{"unconfirmed", "confirmed", "unreachable"}[e] }

// Ending observes the end of one attempt at its target. It is safe for concurrent use.
type Ending struct {
	mu       sync.Mutex
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	conns    []connUse
	complete bool
}

type endingKey struct{}

// WithEnding returns a context for one request, and its Ending. The connections of the
// request linger when they are closed, but not beyond the end of ctx.
func WithEnding(ctx context.Context) (context.Context, *Ending) {
	e := &Ending{}
	context.AfterFunc(ctx, e.release)
	return context.WithValue(ctx, endingKey{}, e), e
}

// add records a connection on which the request is about to be sent.
func (e *Ending) add(use connUse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns = append(e.conns, use)
	use.linger(true)
}

// release ends the wait for the target.
func (e *Ending) release() {
	for _, use := range e.uses() {
		use.linger(false)
	}
}

func (e *Ending) uses() []connUse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]connUse(nil), e.conns...)
}

// observe returns the body of the answer, whose end is the end of the attempt.
func (e *Ending) observe(body io.ReadCloser) io.ReadCloser { return &endingBody{body, e} }

// Await closes the connections of the request unless its answer is complete, and waits
// until its target has certainly ended, cannot be reached, or ctx ends.
func (e *Ending) Await(ctx context.Context) End {
	e.mu.Lock()
	complete, dial := e.complete, e.dial
	e.mu.Unlock()
	if complete {
		return Confirmed
	}
	for _, use := range e.uses() {
		if !use.end() {
			continue
		}
		if end := awaitPeer(ctx, use.conn, dial); end != Confirmed {
			return end
		}
	}
	return Confirmed
}

// awaitPeer waits until the peer of a closed connection has ended its side. It probes the
// peer meanwhile.
func awaitPeer(ctx context.Context, c *conn, dial func(ctx context.Context, network, address string) (net.Conn, error)) End {
	wait := time.NewTimer(endGrace)
	defer wait.Stop()
	for {
		select {
		case <-c.Done():
			if c.PeerEnded() {
				return Confirmed
			}
			return Unconfirmed
		case <-ctx.Done():
			return Unconfirmed
		case <-wait.C:
		}
		began := time.Now()
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		probe, err := dial(probeCtx, "tcp", c.RemoteAddr().String())
		cancel()
		switch {
		case err == nil:
			_ = probe.Close()
		case c.PeerEnded():
			return Confirmed
		case isOver(ctx):
			return Unconfirmed // the probe had no time
		case time.Since(began) < probeTimeout+probeSlack:
			return Unreachable
		}
		wait.Reset(probeInterval)
	}
}

// isOver reports whether ctx has ended or its deadline has passed. A dialer may notice the
// deadline first.
func isOver(ctx context.Context) bool {
	end, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && !time.Now().Before(end))
}

// endingBody records in an Ending that it was read to its end.
type endingBody struct {
	io.ReadCloser
	ending *Ending
}

func (b *endingBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		b.ending.mu.Lock()
		defer b.ending.mu.Unlock()
		b.ending.complete = true
	}
	return n, err
}
