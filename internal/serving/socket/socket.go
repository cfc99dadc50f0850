// Package socket sets up TCP connections so that a peer which has fallen
// silent, or is cut off, is noticed within seconds.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Dialer opens connections and listeners with time-outs for silent peers.
type Dialer struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// UserTimeout bounds the time that sent data stays unacknowledged.
	UserTimeout time.Duration
	// KeepAliveIdle is the idle time before the first keep-alive probe,
	// KeepAliveInterval the time between probes.
	KeepAliveIdle, KeepAliveInterval time.Duration
}

const (
	defaultDialTimeout       = 500 * time.Millisecond // several round trips, under the callers' one second for a connection
	defaultUserTimeout       = 2 * time.Second        // a lost packet is sent again several times within it
	defaultKeepAliveIdle     = 2 * time.Second        // keeps probes of idle connections rare
	defaultKeepAliveInterval = time.Second            // TCP_KEEPINTVL has whole seconds
	keepAliveProbes          = 2                      // one lost probe is no silence
)

// Default returns a dialer for connections within a region.
func Default() Dialer {
	return Dialer{
		DialTimeout:       defaultDialTimeout,
		UserTimeout:       defaultUserTimeout,
		KeepAliveIdle:     defaultKeepAliveIdle,
		KeepAliveInterval: defaultKeepAliveInterval,
	}
}

// Dial opens a connection.
func (d Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         d.DialTimeout,
		KeepAliveConfig: d.keepAlive(),
		Control:         d.control,
	}
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, errors.Wrap(err, "connect")
}

// Listen opens a listener whose connections have the same time-outs.
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
		return errors.Wrap(err, "reach socket")
	}
	return errors.Wrap(optErr, "set TCP_USER_TIMEOUT")
}
