package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts requests and sends and measures durations.
// docs/OPERATIONS.md lists the metrics.
type Metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	sends    *prometheus.CounterVec
}

// latencyBuckets are in seconds; their range covers the latency objectives of
// the configured routes.
var latencyBuckets = []float64{0.01, 0.05, 0.15, 0.4, 0.8, 1.5, 3, 6, 15}

// NewMetrics registers the metrics. It panics if the registry already has them.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_serving_requests_total",
			Help: "Requests ended, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "fireflypier_serving_request_seconds",
			Help:    "Time from a request's header to the end of its answer.",
			Buckets: latencyBuckets,
		}, []string{"kind"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_serving_sends_total",
			Help: "Sends to targets, by outcome.",
		}, []string{"outcome"}),
	}
	registry.MustRegister(m.requests, m.duration, m.sends)
	return m
}

func (m *Metrics) observeRequest(kind, outcome string, took time.Duration) {
	m.requests.WithLabelValues(kind, outcome).Inc()
	m.duration.WithLabelValues(kind).Observe(took.Seconds())
}

func (m *Metrics) countSend(outcome string) { m.sends.WithLabelValues(outcome).Inc() }
