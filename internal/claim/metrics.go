package claim

import (
	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/failure"
)

// The values of the label result, besides error codes.
const (
	resultWon      = "won"
	resultRepeated = "repeated"
)

func newResults() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fireflypier_claims_total",
		Help: "Requests that run at most once, by what became of their claim.",
	}, []string{"result"})
}

// WithMetrics registers the metrics with r.
func WithMetrics(r prometheus.Registerer) Option {
	return func(c *Claims) { r.MustRegister(c.results) }
}

func (c *Claims) count(claim *Claim, err error) {
	result := resultRepeated
	switch {
	case err != nil:
		result = failure.From(err).Kind.String()
	case claim != nil:
		result = resultWon
	}
	c.results.WithLabelValues(result).Inc()
}

// State is the part of a dump that describes the claims.
type State struct {
	// Held is the number of requests that are being claimed or run.
	Held int `json:"held"`
	// Unrecorded is the number of background writes that have not finished.
	Unrecorded int `json:"unrecorded"`
}

// State returns the current counts.
func (c *Claims) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Held: len(c.flights), Unrecorded: c.background}
}
