package transport

import "context"

type guardKey struct{}

// WithGuard returns a context whose requests are not sent if guard returns false. It is called
// before the first byte of a request is written, which may be long after its beginning if a
// connection must be opened. The error of a request that is not sent wraps NotSentError.
func WithGuard(ctx context.Context, guard func() bool) context.Context {
	return context.WithValue(ctx, guardKey{}, guard)
}

// guardOf returns the guard of ctx, nil if it has none.
func guardOf(ctx context.Context) func() bool {
	guard, _ := ctx.Value(guardKey{}).(func() bool)
	return guard
}

// Allowed reports whether the guard of ctx, if any, allows a request now.
func Allowed(ctx context.Context) bool {
	guard := guardOf(ctx)
	return guard == nil || guard()
}

// setGuard sets the guard of the last request, which is not written yet; nil for none.
func (c *conn) setGuard(guard func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = guard
}
