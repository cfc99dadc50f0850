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

// Session is one connection to one life of an engine. What is sent through it
// reaches that life or none, since it never connects a second time. It belongs
// to one goroutine; Close it at the end.
type Session struct {
	client *Client
	addr   netip.AddrPort
}

var errSecondConnection = errors.New("the connection to this life of the engine has ended")

// Open connects to the engine at addr and checks that it lives the life
// called bootID. The error is Conflict when it lives another, and
// TargetFailed or OutcomeUnknown when it cannot be reached.
func (c *Client) Open(ctx context.Context, addr netip.AddrPort, bootID string) (*Session, error) {
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	var connected atomic.Bool
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if connected.Swap(true) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errSecondConnection}
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
	report, err := s.client.Report(ctx, addr, lastEvent)
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

// lastEvent asks for a report without cache events.
const lastEvent = int64(1) << 62

// Order sends o; see Client.Order. The order reaches the life that Open
// found, or none.
func (s *Session) Order(ctx context.Context, o *Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode order")
	}
	return s.client.call(ctx, http.MethodPost, s.addr, "/v1/orders", nil, body, nil)
}

// Close ends the connection.
func (s *Session) Close() { s.client.http.CloseIdleConnections() }
