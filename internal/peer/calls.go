package peer

import (
	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// errGivenUp is the error of a call whose connection the guard has closed.
var errGivenUp = errors.New("the connection was given up for others")

// guardedHandler tells the guard of the connections when the message of a call has arrived.
type guardedHandler struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h guardedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	conn, ok := guardedOf(stream)
	if !ok {
		return h.Handler.HandleRPC(stream, rpc)
	}
	defer conn.Rest() // a call that its caller has ended has no answer
	return h.Handler.HandleRPC(guardedStream{stream, conn}, rpc)
}

// guardedConn is a connection of listener.Guard.
type guardedConn interface {
	Whole() bool
	Rest()
}

// guardedOf returns the connection of a stream if it has a guard.
func guardedOf(stream drpc.Stream) (guardedConn, bool) {
	transport, _ := drpcctx.Transport(stream.Context())
	counted, ok := transport.(countedConn)
	if !ok {
		return nil, false
	}
	conn, ok := counted.Conn.(guardedConn)
	return conn, ok
}

type guardedStream struct {
	drpc.Stream
	conn guardedConn
}

// MsgRecv implements drpc.Stream.
func (s guardedStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	if err := s.Stream.MsgRecv(msg, enc); err != nil {
		return err
	}
	if !s.conn.Whole() {
		return errGivenUp
	}
	return nil
}
