package listener

import "net/http"

// DisableKeepAlivesWhile returns a handler that calls h and, while leaving returns
// true, sets "Connection: close" in the answers, so that callers reconnect elsewhere.
func DisableKeepAlivesWhile(leaving func() bool, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
