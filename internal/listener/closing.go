package listener

import "net/http"

// DisableKeepAlivesWhile asks callers of h to close their connections after each answer
// while leaving reports true.
func DisableKeepAlivesWhile(leaving func() bool, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
