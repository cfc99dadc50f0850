// Package peer provides a client and a server for DRPC calls over TCP between
// the system's own processes.
package peer

import (
	"context"
	"net"
	"net/netip"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"fireflypier.example/fireflypier/internal/listener"
)

// Server serves calls of other processes. Register all services with Mux before
// Run.
type Server struct {
	mux      *drpcmux.Mux
	listener net.Listener
	logger   hclog.Logger
	guard    *listener.Guard
	done     chan struct{}
	traffic  traffic
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithGuard has g account for the connections.
func WithGuard(g *listener.Guard) ServerOption { return func(s *Server) { s.guard = g } }

// Listen returns a server that listens on addr; port zero selects a free port.
func Listen(addr netip.AddrPort, logger hclog.Logger, opts ...ServerOption) (*Server, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	s := &Server{
		mux:      drpcmux.New(),
		listener: l,
		logger:   logger,
		done:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.guard != nil {
		s.listener = s.guard.Messages(s.listener)
	}
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	addr, ok := s.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// Mux returns the mux with which services are registered.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Run serves calls until ctx is done. It must be called at most once.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.done)
	server := drpcserver.NewWithOptions(guardedHandler{s.mux}, drpcserver.Options{
		Log: func(err error) { s.logger.Debug("peer connection ended", "error", err) },
	})
	return errors.Wrap(server.Serve(ctx, countedListener{s.listener, &s.traffic}), "serve peers")
}

// Done returns a channel that is closed when Run returns.
func (s *Server) Done() <-chan struct{} { return s.done }
