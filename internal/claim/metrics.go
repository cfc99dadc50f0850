package claim

import (
	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/failure"
)

// The results of asking for a claim, besides the codes of errors.
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

// WithMetrics registers the metrics of the claims.
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

// State is what a dump shows of the claims.
type State struct {
	// Held counts the claims of requests that run now.
	Held int `json:"held"`
	// Unrecorded counts the outcomes that the store has not taken yet.
	Unrecorded int `json:"unrecorded"`
}

// State returns what a dump shows.
func (c *Claims) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Held: len(c.flights), Unrecorded: c.background}
}
