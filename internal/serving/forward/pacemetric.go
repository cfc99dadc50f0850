package forward

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/serving/fleetview"
)

// paceMetric collects the paces of a view.
type paceMetric struct {
	view        *fleetview.View
	description *prometheus.Desc
}

func newPaceMetric(view *fleetview.View) *paceMetric {
	return &paceMetric{view, prometheus.NewDesc("fireflypier_serving_pace",
		"How many times slower models are than assumed, by pool and size of their weights.", []string{"pool", "weights_mb"}, nil)}
}

// Describe implements prometheus.Collector.
func (m *paceMetric) Describe(ch chan<- *prometheus.Desc) { ch <- m.description }

// Collect implements prometheus.Collector.
func (m *paceMetric) Collect(ch chan<- prometheus.Metric) {
	for _, p := range m.view.Paces() {
		ch <- prometheus.MustNewConstMetric(m.description, prometheus.GaugeValue, p.Factor, p.Pool, strconv.FormatFloat(p.WeightsMB, 'g', -1, 64))
	}
}
