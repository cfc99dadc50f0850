package planner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/shardplan"
)

// Metrics are the metrics of a planner. docs/OPERATIONS.md lists them.
type Metrics struct {
	orders   *prometheus.CounterVec
	commits  *prometheus.CounterVec
	decision prometheus.Histogram
	reserved *prometheus.GaugeVec
	replicas *prometheus.GaugeVec
	atRisk   *prometheus.GaugeVec
}

// decisionSecondsBuckets are the histogram buckets of the time to decide, in
// seconds.
var decisionSecondsBuckets = []float64{0.0001, 0.0005, 0.001, 0.005, 0.02, 0.1, 0.5}

// NewMetrics registers the metrics of a planner.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_orders_total",
			Help: "Orders sent to engines, by action, kind and outcome.",
		}, []string{"action", "kind", "outcome"}),
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_ledger_commits_total",
			Help: "Transactions that write ledger rows, by outcome.",
		}, []string{"outcome"}),
		decision: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "fireflypier_plan_seconds",
			Help:    "Time to decide for one shard.",
			Buckets: decisionSecondsBuckets,
		}),
		reserved: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "fireflypier_engine_reserved_bytes",
			Help: "Accelerator memory recorded as taken, by target.",
		}, []string{"target"}),
		replicas: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "fireflypier_model_replicas",
			Help: "Replicas that serve, by pool and model.",
		}, []string{"pool", "model"}),
		atRisk: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "fireflypier_models_at_risk",
			Help: "Models with fewer than two replicas, by pool and number of replicas.",
		}, []string{"pool", "replicas"}),
	}
	registry.MustRegister(m.orders, m.commits, m.decision, m.reserved, m.replicas, m.atRisk)
	return m
}

func (m *Metrics) observeDecision(d time.Duration) { m.decision.Observe(d.Seconds()) }

func (m *Metrics) countCommit(err error) { m.commits.WithLabelValues(outcome(err)).Inc() }

func (m *Metrics) countOrder(o *engine.Order, err error) {
	m.orders.WithLabelValues(string(o.Action), string(o.Kind), outcome(err)).Inc()
}

// outcome returns the outcome label of err: "done", or the kind of failure.
func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return failure.From(err).Kind.String()
}

// setGauges replaces the values of all gauges with those of the given shards.
func (m *Metrics) setGauges(shards []shardplan.Status) {
	m.reserved.Reset()
	m.replicas.Reset()
	m.atRisk.Reset()
	for _, s := range shards {
		m.atRisk.WithLabelValues(s.Pool, "0").Set(0)
		m.atRisk.WithLabelValues(s.Pool, "1").Set(0)
	}
	for _, s := range shards {
		for _, e := range s.Engines {
			m.reserved.WithLabelValues(e.Target).Set(float64(e.ReservedBytes))
		}
		for _, model := range s.Models {
			m.setModelGauges(s.Pool, &model)
		}
	}
}

// setModelGauges counts the reachable replicas of a model. It must be called
// once per model after a reset, since it increments the models at risk.
func (m *Metrics) setModelGauges(pool string, model *shardplan.ModelStatus) {
	n := 0
	for _, r := range model.Replicas {
		if r.State == ledger.Loaded && r.Reachable {
			n++
		}
	}
	m.replicas.WithLabelValues(pool, model.Name).Set(float64(n))
	switch n {
	case 0:
		m.atRisk.WithLabelValues(pool, "0").Inc()
	case 1:
		m.atRisk.WithLabelValues(pool, "1").Inc()
	}
}
