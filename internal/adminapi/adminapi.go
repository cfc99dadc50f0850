// Package adminapi serves the metrics, health checks, profiles and state dump of a
// process. Its listener is separate from that for callers.
package adminapi

import (
	"net/http"
	"net/http/pprof"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"fireflypier.example/fireflypier/internal/document"
)

// API is the admin API of a process.
type API struct {
	registry *prometheus.Registry
	ready    func() error
	dump     func() any
	handlers map[string]http.Handler
}

// Option sets an optional property of an API.
type Option func(*API)

// WithHandler has h answer GET requests to a path. It must not change the state of the
// process.
func WithHandler(path string, h http.Handler) Option {
	return func(a *API) { a.handlers[path] = h }
}

// New returns the admin API. ready returns nil if the process can serve; dump returns
// its state, which must not contain keys. New registers the metrics of the Go runtime
// and of the process in registry.
func New(registry *prometheus.Registry, ready func() error, dump func() any, options ...Option) *API {
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	a := &API{registry: registry, ready: ready, dump: dump, handlers: make(map[string]http.Handler)}
	for _, o := range options {
		o(a)
	}
	return a
}

// Handler returns the handler for all routes of the API.
func (a *API) Handler() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(a.registry, promhttp.HandlerOpts{}))
	router.HandlerFunc(http.MethodGet, "/healthz", a.serveHealth)
	router.HandlerFunc(http.MethodGet, "/readyz", a.serveReady)
	router.HandlerFunc(http.MethodGet, "/dump", a.serveDump)
	router.HandlerFunc(http.MethodGet, "/debug/pprof/profile", pprof.Profile)
	router.Handler(http.MethodGet, "/debug/pprof/heap", pprof.Handler("heap"))
	router.Handler(http.MethodGet, "/debug/pprof/goroutine", pprof.Handler("goroutine"))
	for path, h := range a.handlers {
		router.Handler(http.MethodGet, path, h)
	}
	return router
}

func (a *API) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (a *API) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (a *API) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, a.dump(),
		json.Deterministic(true),
		jsontext.WithIndent("  "),
		document.Durations())
}
