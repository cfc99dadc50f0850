package transport

import (
	"context"
	"net"
	"net/url"
	"slices"
	"sync"
)

// Connection is a connection on which a request was sent.
type Connection struct {
	// Local is the address of this side; empty if there was no connection.
	Local string
	// Reused is set if other requests had used the connection.
	Reused bool
}

// History is what is known of the sends of one request. It keeps the request off the
// connections on which it may have been sent before: a late copy of an earlier answer to it
// can't be told from its next answer. It is safe for concurrent use.
type History struct {
	mu   sync.Mutex
	last Connection
	// addresses are those at which the request had a connection.
	addresses []string
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

// begin begins a send, and reports whether the request may use a connection to the address
// that was used before.
func (h *History) begin(address string) (mayReuse bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = Connection{}
	return !slices.Contains(h.addresses, address)
}

// add records the connection on which the request is about to be sent.
func (h *History) add(address string, c Connection) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = c
	h.addresses = append(h.addresses, address)
}

// poolAddress returns the host and the port by which http.Transport pools connections.
func poolAddress(u *url.URL) string {
	port := u.Port()
	if port == "" {
		port = map[string]string{"http": "80", "https": "443"}[u.Scheme]
	}
	return net.JoinHostPort(u.Hostname(), port)
}
