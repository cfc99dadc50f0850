package limiter

import "github.com/prometheus/client_golang/prometheus"

// metrics contains the Prometheus counters of a limiter.
type metrics struct {
	admitted, refused, pulled, lent prometheus.Counter
	pulls, pullErrors, reads, swaps prometheus.Counter
	collectors                      []prometheus.Collector
}

func newMetrics() *metrics {
	c := &metrics{}
	counter := func(name, help string) prometheus.Counter {
		m := prometheus.NewCounter(prometheus.CounterOpts{Name: "fireflypier_rate_" + name, Help: help})
		c.collectors = append(c.collectors, m)
		return m
	}
	c.admitted = counter("admitted_tokens_total", "Tokens charged at admission, refunds not deducted.")
	c.refused = counter("refused_tokens_total", "Tokens of requests refused because the rate was used up.")
	c.pulled = counter("pulled_tokens_total", "Tokens that other gateways gave.")
	c.lent = counter("given_tokens_total", "Tokens given to other gateways.")
	c.pulls = counter("pulls_total", "Questions to other gateways for tokens.")
	c.pullErrors = counter("pull_errors_total", "Questions to other gateways that failed.")
	c.reads = counter("row_reads_total", "Reads of share rows.")
	c.swaps = counter("row_swaps_total", "Attempts to swap a share row.")
	return c
}

// Collectors returns the limiter's metrics, to be registered once.
func (l *Limiter) Collectors() []prometheus.Collector { return l.metrics.collectors }
