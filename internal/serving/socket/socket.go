// Package socket configures TCP connections so that a peer that stops answering
// or becomes unreachable is detected within seconds.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Dialer opens connections and listeners with time-outs that detect peers that do
// not answer.
type Dialer struct {
	// DialTimeout is the maximum time to open a connection.
	DialTimeout time.Duration
	// UserTimeout is the maximum time that sent data may stay unacknowledged
	// (TCP_USER_TIMEOUT), in whole milliseconds.
	UserTimeout time.Duration
	// KeepAliveIdle is the idle time before the first keep-alive probe,
	// KeepAliveInterval the time between probes.
	KeepAliveIdle, KeepAliveInterval time.Duration
}

const (
	defaultDialTimeout       = 500 * time.Millisecond // several round trips, and below the one second that callers allow for a connection
	defaultUserTimeout       = 2 * time.Second        // allows several retransmissions of a lost packet
	defaultKeepAliveIdle     = 2 * time.Second        // limits the probe traffic of idle connections
	defaultKeepAliveInterval = time.Second            // TCP_KEEPINTVL is in whole seconds
	keepAliveProbes          = 2                      // one lost probe does not close the connection
)

// Default returns a dialer with time-outs for connections within a region.
func Default() Dialer {
	return Dialer{
		DialTimeout:       defaultDialTimeout,
		UserTimeout:       defaultUserTimeout,
		KeepAliveIdle:     defaultKeepAliveIdle,
		KeepAliveInterval: defaultKeepAliveInterval,
	}
}

// Dial opens a connection; the time-out is the earlier of DialTimeout and the
// deadline of ctx.
func (d Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         d.DialTimeout,
		KeepAliveConfig: d.keepAlive(),
		Control:         d.control,
	}
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, errors.Wrap(err, "connect")
}

// Listen opens a TCP listener whose connections have the same user time-out and
// keep-alive settings.
func (d Dialer) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: d.keepAlive(), Control: d.control}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrap(err, "listen")
}

func (d Dialer) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: d.KeepAliveIdle, Interval: d.KeepAliveInterval, Count: keepAliveProbes}
}

func (d Dialer) control(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.UserTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	return errors.Wrap(optErr, "set TCP_USER_TIMEOUT")
}
