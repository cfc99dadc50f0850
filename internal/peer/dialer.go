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
	dialTimeout           = time.Second
	idleExpiration        = 5 * time.Second
	maxConnectionsPerPeer = 4
	maxConnections        = 512
)

// Dialer pools connections to other processes. Close it when it is no longer
// needed.
type Dialer struct {
	pool    *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	dialer  net.Dialer
	traffic traffic
}

// Option configures a Dialer.
type Option func(*Dialer)

// WithSourceAddr makes the dialer connect from addr, the address of this VM
// that other processes use. An unspecified address has no effect.
func WithSourceAddr(addr netip.Addr) Option {
	return func(d *Dialer) {
		if addr.IsValid() && !addr.IsUnspecified() {
			d.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(addr, 0))
		}
	}
}

// NewDialer returns a dialer without open connections.
func NewDialer(opts ...Option) *Dialer {
	d := &Dialer{
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			Capacity:    maxConnections,
			KeyCapacity: maxConnectionsPerPeer,
		}),
		dialer: net.Dialer{Timeout: dialTimeout},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Conn returns a connection to addr. It connects when the first call is made
// and returns the connection to the pool after each call.
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
