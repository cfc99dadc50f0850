// Package metrics defines the metrics of a gateway. docs/OPERATIONS.md lists them.
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
)

// Gateway holds the metrics of a gateway.
type Gateway struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

// latencyBuckets are the upper bounds of the histogram's buckets, in seconds.
var latencyBuckets = []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.89, 2, 5, 15, 60}

// NewGateway returns the metrics of a gateway, registered in registry. It panics if
// they are registered already.
func NewGateway(registry *prometheus.Registry) *Gateway {
	g := &Gateway{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_requests_total",
			Help: "Requests answered, by method and HTTP status.",
		}, []string{"method", "status"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "fireflypier_request_seconds",
			Help:    "Time from a request's header to the end of its answer.",
			Buckets: latencyBuckets,
		}, []string{"method"}),
	}
	registry.MustRegister(g.requests, g.duration)
	return g
}

// RecordRequest records an answered request and its duration d.
func (g *Gateway) RecordRequest(method string, status int, d time.Duration) {
	g.requests.WithLabelValues(method, strconv.Itoa(status)).Inc()
	g.duration.WithLabelValues(method).Observe(d.Seconds())
}

// Wrap returns a handler that calls h and records its requests.
func (g *Gateway) Wrap(h http.Handler, clock clockwork.Clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := clock.Now()
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		defer func() { g.RecordRequest(r.Method, recorder.status, clock.Since(start)) }()
		h.ServeHTTP(recorder, r)
	})
}

// statusRecorder records the status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status and passes it on.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
