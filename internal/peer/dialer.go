package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	dialTimeout        = time.Second
	idleExpiration     = 5 * time.Second
	connectionsPerPeer = 4
	connectionsInAll   = 512
)

// Dialer keeps connections to other processes. Close it when it is no longer
// needed.
type Dialer struct {
	pool    *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	dialer  net.Dialer
	traffic traffic
}

// Option changes a Dialer under construction.
type Option func(*Dialer)

// WithSourceAddr makes the dialer connect from an address of this VM, the one
// that others know it by. An unspecified address changes nothing.
func WithSourceAddr(addr netip.Addr) Option {
	return func(d *Dialer) {
		if addr.IsValid() && !addr.IsUnspecified() {
			d.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(addr, 0))
		}
	}
}

// NewDialer returns a dialer without connections.
func NewDialer(opts ...Option) *Dialer {
	d := &Dialer{
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			Capacity:    connectionsInAll,
			KeyCapacity: connectionsPerPeer,
		}),
		dialer: net.Dialer{Timeout: dialTimeout},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Conn returns a connection to addr. It connects at the first call and gives
// the connection back to the dialer after each call.
func (d *Dialer) Conn(ctx context.Context, addr netip.AddrPort) drpc.Conn {
	return d.pool.Get(ctx, addr, d.dial)
}

func (d *Dialer) dial(ctx context.Context, addr netip.AddrPort) (drpcpool.Conn, error) {
	conn, err := d.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	return drpcconn.New(countedConn{conn, &d.traffic}), nil
}

// Close closes the idle connections.
func (d *Dialer) Close() error {
	return errors.Wrap(d.pool.Close(), "close peer connections")
}
