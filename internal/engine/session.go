package engine

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
)

// Session is a single connection to one boot of an engine. Since it never
// reconnects, its orders cannot reach the engine after a restart. It must be
// closed, and is not safe for concurrent use.
type Session struct {
	client *Client
	addr   netip.AddrPort
}

var errReconnect = errors.New("connection to the engine was closed; a session does not reconnect")

// Open connects to the engine at addr and checks that its boot ID is bootID. The
// error is Conflict if it has another one, and TargetFailed or OutcomeUnknown if
// it cannot be reached.
func (c *Client) Open(ctx context.Context, addr netip.AddrPort, bootID string) (*Session, error) {
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	var connected atomic.Bool
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if connected.Swap(true) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errReconnect}
		}
		return dialer.DialContext(ctx, network, address)
	}
	s := &Session{addr: addr, client: &Client{
		callTimeout: c.callTimeout,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     1,
			MaxIdleConnsPerHost: 1,
			DisableCompression:  true,
		}},
	}}
	report, err := s.client.Report(ctx, addr, afterAllEvents)
	if err != nil {
		s.Close()
		return nil, err
	}
	if report.BootID != bootID {
		s.Close()
		return nil, failure.New(failure.Conflict, "the engine at %s has restarted", addr)
	}
	return s, nil
}

// afterAllEvents is a sequence number above that of any cache event; a report
// requested with it has no events.
const afterAllEvents = int64(1) << 62

// Order sends o, with the errors of Client.Order. The order reaches the boot that
// Open connected to, or none.
func (s *Session) Order(ctx context.Context, o *Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode order")
	}
	return s.client.call(ctx, http.MethodPost, s.addr, "/v1/orders", nil, body, nil)
}

// Close closes the connection.
func (s *Session) Close() { s.client.http.CloseIdleConnections() }
