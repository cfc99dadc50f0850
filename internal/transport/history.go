package transport

import (
	"context"
	"sync"
)

// Connection is a connection on which a request was sent.
type Connection struct {
	// Local is the address of this side; empty if there was no connection.
	Local string
	// Reused is set if other requests had used the connection.
	Reused bool
}

// History is what is known of the sends of one request. It is safe for concurrent use.
type History struct {
	mu   sync.Mutex
	last Connection
}

type historyKey struct{}

// WithHistory returns a context for all sends of one request, and their History.
func WithHistory(ctx context.Context) (context.Context, *History) {
	h := &History{}
	return context.WithValue(ctx, historyKey{}, h), h
}

// Last returns the connection of the last send.
func (h *History) Last() Connection {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last
}

// setLast records the connection of the last send.
func (h *History) setLast(c Connection) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = c
}
