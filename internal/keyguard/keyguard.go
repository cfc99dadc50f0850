// Package keyguard keeps a caller's key from travelling on: it is taken out
// of headers, refused in addresses, and stopped in bodies.
package keyguard

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
)

const readBytes = 16 << 10

// Guard knows the key of one request. Its zero value knows none and lets
// everything pass.
type Guard struct {
	key []byte
}

// New returns the guard of the key in an Authorization header.
func New(authorization string) Guard {
	_, key, _ := strings.Cut(authorization, " ")
	return Guard{key: []byte(strings.TrimSpace(key))}
}

// Protect prepares r for handlers: headers that hold the key, other than
// Authorization, are deleted, and the body fails with BadRequest before the
// last byte of the key is read from it. It returns a failure of kind
// BadRequest, which does not repeat the address, when the address holds the
// key.
func (g Guard) Protect(r *http.Request) error {
	if len(g.key) == 0 {
		return nil
	}
	if g.inURL(r.URL) {
		return failure.New(failure.BadRequest, "the address contains the API key; give it in the Authorization header only")
	}
	for name, values := range r.Header {
		if name != "Authorization" && g.inAny(values) {
			delete(r.Header, name)
		}
	}
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &body{guard: g, source: r.Body}
	}
	return nil
}

func (g Guard) inURL(u *url.URL) bool {
	query, err := url.QueryUnescape(u.RawQuery)
	if err != nil {
		query = u.RawQuery
	}
	return g.inAny([]string{u.Path, u.RawPath, u.RawQuery, query})
}

func (g Guard) inAny(values []string) bool {
	for _, v := range values {
		if strings.Contains(v, string(g.key)) {
			return true
		}
	}
	return false
}

// body holds back as many bytes as could begin the key.
type body struct {
	guard  Guard
	source io.ReadCloser
	held   []byte
	err    error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	for b.safe() == 0 && b.err == nil {
		b.fill()
	}
	n := copy(p, b.held[:b.safe()])
	b.held = b.held[n:]
	if n > 0 || len(p) == 0 {
		return n, nil
	}
	return 0, b.err
}

// safe returns the number of held bytes that may go on.
func (b *body) safe() int {
	if errors.Is(b.err, io.EOF) {
		return len(b.held)
	}
	return max(0, len(b.held)-len(b.guard.key)+1)
}

func (b *body) fill() {
	buffer := make([]byte, readBytes)
	n, err := b.source.Read(buffer)
	b.held = append(b.held, buffer[:n]...)
	b.err = err
	if bytes.Contains(b.held, b.guard.key) {
		b.held = nil
		b.err = failure.New(failure.BadRequest, "the body contains the API key")
	}
}

// Close implements io.Closer.
func (b *body) Close() error { return b.source.Close() }
