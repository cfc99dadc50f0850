// Package keyguard prevents a caller's API key from being forwarded to targets. It
// removes headers that contain the key, and rejects requests with the key in the URL
// or the body.
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

const readBufferBytes = 16 << 10

// Guard checks a request for the API key that the caller presented. The zero value
// has no key and accepts every request.
type Guard struct {
	key []byte
}

// New returns a guard for the key in the value of an Authorization header, which is
// the part after the first space.
func New(authorization string) Guard {
	_, key, _ := strings.Cut(authorization, " ")
	return Guard{key: []byte(strings.TrimSpace(key))}
}

// Protect modifies r for the handlers that follow. It deletes the headers that
// contain the key, except Authorization, and wraps the body so that reading fails
// with BadRequest before the last byte of the key is returned. If the URL contains
// the key, Protect returns a failure of kind BadRequest, whose message does not
// include the URL.
func (g Guard) Protect(r *http.Request) error {
	if len(g.key) == 0 {
		return nil
	}
	if g.inURL(r.URL) {
		return failure.New(failure.BadRequest, "the URL contains the API key; send it in the Authorization header only")
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

// body is a request body that withholds as many trailing bytes as could be the start
// of the key.
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

// safe returns the number of held bytes that cannot be part of the key.
func (b *body) safe() int {
	if errors.Is(b.err, io.EOF) {
		return len(b.held)
	}
	return max(0, len(b.held)-len(b.guard.key)+1)
}

func (b *body) fill() {
	buffer := make([]byte, readBufferBytes)
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
