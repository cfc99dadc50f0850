package node

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/serving/machine"
	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
	"fireflypier.example/fireflypier/internal/serving/target"
)

const (
	// evacuationHold is how long an evacuation stays in force whose row is missing after the
	// store was restored from a copy: the operator writes it again.
	evacuationHold = 10 * time.Second
	// minPause is the least pause of the process after which an evacuation may have been
	// missed.
	minPause = time.Second
	// coldInterval is the shortest time between two exchanges that are started at once to
	// tell of cold targets: those of a whole data centre become cold together.
	coldInterval = time.Second
)

// missedAfter returns the pause of the process after which an evacuation may have been in
// force for too long before this VM learns of it; zero if data centres are not evacuated.
func missedAfter(b *machine.Bounds) time.Duration {
	if b.EvacuationLag <= 0 {
		return 0
	}
	return max(minPause, b.EvacuationLag-changeLag(b))
}

// policyLag returns the time within which changes in the policies table must take effect.
func policyLag(b *machine.Bounds) time.Duration {
	if b.EvacuationLag <= 0 {
		return changeLag(b)
	}
	return min(changeLag(b), b.EvacuationLag)
}

// setTargetBounds applies the operators' bounds on evacuations and on cold targets.
func (n *Node) setTargetBounds(b *machine.Bounds) {
	n.evacuation.Enable(b.EvacuationLag > 0)
	n.fresh.SetLimit(missedAfter(b))
	n.view.SetColdBound(b.ColdOverage, b.ColdSlack)
	n.view.EvacuationChanged()
}

// warn logs values of the settings or of the configuration that are not usable.
func (n *Node) warn(source string, warnings []string) {
	const most = 10 // lines for one source
	for _, w := range warnings[:min(most, len(warnings))] {
		n.Logger.Warn("value is not usable and counts as missing", "source", source, "value", w, "of", len(warnings))
	}
}

// evacuationChanged applies the row of an evacuation, and ignores other rows. The key is all
// that matters.
func (n *Node) evacuationChanged(r *rowstore.Row) {
	dataCentre, ok := strings.CutPrefix(r.Key, rowstore.EvacuationPrefix)
	if !ok {
		return
	}
	now := n.clock.Now()
	switch {
	case dataCentre == "":
		n.Logger.Warn("evacuation without a data centre has no effect", "row_version", r.Version)
		return
	case r.Deleted:
		lasted, active := n.evacuation.End(dataCentre, now)
		if !active {
			return
		}
		n.Logger.Info("evacuation ends", "data_centre", dataCentre, "lasted_ms", lasted.Milliseconds(), "targets", n.view.In(dataCentre).Targets)
	case n.evacuation.Begin(dataCentre, now):
		d := n.view.In(dataCentre)
		n.Logger.Info("evacuation begins", "data_centre", dataCentre, "row_version", r.Version, "targets", d.Targets, "requests", d.Requests,
			"enabled", n.bounds.Load().EvacuationLag > 0)
	default:
		return
	}
	n.view.EvacuationChanged()
	n.notifyPeers()
}

// judgeEvacuations logs new evacuations of data centres without targets, once these are known.
func (n *Node) judgeEvacuations() {
	if _, read := n.targets.Version(); !read {
		return
	}
	for _, e := range n.evacuation.TakeUnjudged() {
		if n.view.In(e.DataCentre).Targets == 0 {
			n.Logger.Warn("evacuation of an unknown data centre, no target runs there", "data_centre", e.DataCentre)
		}
	}
}

// setColdRow records what a target's row states of its cold time.
func (n *Node) setColdRow(t *target.Target, rowVersion int64) {
	if t.Cold.Fault != "" {
		n.Logger.Warn("statement of a target is not usable", "target", t.ID, "field", "cold", "error", t.Cold.Fault, "source", "row", "row_version", rowVersion)
	}
	if n.view.SetColdRow(t, n.clock.Now()) {
		n.Logger.Info("target is cold", "target", t.ID, "born", t.Born, "left_ms", t.Cold.Left.Milliseconds(), "source", "row", "row_version", rowVersion)
	}
}

// newsInterval is the shortest time between two exchanges that are started at once because
// this VM may have missed an evacuation.
const newsInterval = 250 * time.Millisecond

// stale reports whether this VM may have missed an evacuation, and then asks its peers.
func (n *Node) stale() bool {
	if !n.fresh.Stale(n.clock.Now()) {
		return false
	}
	n.exchangeAtOnce(newsInterval)
	return true
}

// exchangeAtOnce starts an exchange with peers unless it has done so within an interval.
func (n *Node) exchangeAtOnce(interval time.Duration) {
	now, last := n.clock.Now().UnixNano(), n.exchanged.Load()
	if now-last >= int64(interval) && n.exchanged.CompareAndSwap(last, now) {
		n.mesh.TriggerExchange()
	}
}

// coldLearned has peers told at once of a target that has told this VM that it is cold: they
// see it without load at the same moment.
func (n *Node) coldLearned() { n.exchangeAtOnce(coldInterval) }

// mergeCold records the cold times that a peer has passed on.
func (n *Node) mergeCold(marks []*meshpb.Mark, source string, now time.Time) {
	for _, m := range n.view.MergeCold(marks, now) {
		n.Logger.Info("target is cold", "target", m.GetTarget(), "born", m.GetBorn(), "left_ms", m.GetColdLeftMs(), "source", source)
	}
}

// evacuationCollector has the metrics of evacuations and cold targets.
type evacuationCollector struct {
	n                   *Node
	age, requests, cold *prometheus.Desc
}

func newEvacuationCollector(n *Node) *evacuationCollector {
	return &evacuationCollector{
		n:        n,
		age:      prometheus.NewDesc("fireflypier_serving_evacuated_seconds", "Age of the evacuations in force, by data centre.", []string{"data_centre"}, nil),
		requests: prometheus.NewDesc("fireflypier_serving_evacuated_requests", "Unfinished requests of all VMs in evacuated data centres.", []string{"data_centre"}, nil),
		cold:     prometheus.NewDesc("fireflypier_serving_cold_targets", "Targets that count as cold.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *evacuationCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.age
	out <- c.requests
	out <- c.cold
}

// Collect implements prometheus.Collector.
func (c *evacuationCollector) Collect(out chan<- prometheus.Metric) {
	now := c.n.clock.Now()
	for _, e := range c.n.evacuation.All() {
		name := strings.ToValidUTF8(e.DataCentre, "\ufffd")
		out <- prometheus.MustNewConstMetric(c.age, prometheus.GaugeValue, now.Sub(e.Since).Seconds(), name)
		out <- prometheus.MustNewConstMetric(c.requests, prometheus.GaugeValue, float64(c.n.view.In(e.DataCentre).Requests), name)
	}
	cold := 0
	if p := c.n.policy.Load(); p != nil {
		cold = c.n.view.ColdTargets(p, now)
	}
	out <- prometheus.MustNewConstMetric(c.cold, prometheus.GaugeValue, float64(cold))
}
