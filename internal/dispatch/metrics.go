package dispatch

import "github.com/prometheus/client_golang/prometheus"

// counters holds the metrics of a Dispatcher. docs/OPERATIONS.md describes them.
type counters struct {
	attempts *prometheus.CounterVec
	dropped  *prometheus.CounterVec
	resumed  prometheus.Counter
	stalled  prometheus.Counter
}

// Values of the label result.
const (
	resultFinished = "finished"
	resultNotRun   = "not_run"
	resultBroken   = "broken"
	resultCanceled = "canceled"
)

// Values of the label reason.
const (
	droppedOtherAttempt = "other_attempt"
	droppedDuplicate    = "already_delivered"
)

func newCounters() *counters {
	return &counters{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_attempts_total",
			Help: "Attempts at engines, by result.",
		}, []string{"result"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_frames_dropped_total",
			Help: "Frames of engines that were not delivered, by reason.",
		}, []string{"reason"}),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflypier_streams_resumed_total",
			Help: "Broken streams that went on at their offset.",
		}),
		stalled: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fireflypier_streams_stalled_total",
			Help: "Streams ended because no frame came in time.",
		}),
	}
}

func (c *counters) register(r prometheus.Registerer) {
	r.MustRegister(c.attempts, c.dropped, c.resumed, c.stalled)
}
