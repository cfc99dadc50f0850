package forward

import (
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/serving/fleetview"
)

// Metrics counts requests and sends and measures durations.
// docs/OPERATIONS.md lists the metrics.
type Metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	sends    *prometheus.CounterVec
	ends     *prometheus.CounterVec
	charges  *prometheus.CounterVec
	rejected *prometheus.CounterVec
	marks    *prometheus.CounterVec
	// admissions are by decision and by the rank of route and customer.
	admissions *prometheus.CounterVec
	aboveShare *prometheus.GaugeVec
	reserved   *prometheus.CounterVec
	breaks     *prometheus.CounterVec
	waits      prometheus.Histogram
	withheld   *prometheus.CounterVec
	// leaving and leavingBytes count requests that are sent to other data centres.
	leaving      *prometheus.CounterVec
	leavingBytes *prometheus.CounterVec
}

// latencyBuckets are in seconds; their range covers the latency objectives of
// the configured routes.
var latencyBuckets = []float64{0.01, 0.05, 0.15, 0.4, 0.8, 1.5, 3, 6, 15}

// NewMetrics registers the metrics, those of the marks of targets in view included. It
// panics if the registry already has them.
func NewMetrics(registry prometheus.Registerer, view *fleetview.View, clock clockwork.Clock) *Metrics {
	m := &Metrics{
		aboveShare: newAboveShare(),
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
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_serving_broken_stream_ends_total",
			Help: "Streams that broke off and could go on at another target, by what is known of the first one.",
		}, []string{"end"}),
		charges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_serving_rate_charges_total",
			Help: "Charges to customers' rates, by result.",
		}, []string{"result"}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_serving_rejections_total",
			Help: "Requests rejected because no target can serve them in time, by reason.",
		}, []string{"reason"}),
		admissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_serving_admissions_total",
			Help: "Decisions on requests for engines whose requests differ in urgency or customer, by decision and rank.",
		}, []string{"decision", "rank"}),
		breaks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_serving_target_breaks_total",
			Help: "Attempts that targets broke off, by whether they had begun to answer.",
		}, []string{"begun"}),
		marks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_serving_target_marks_total",
			Help: "Answers in which a target said that it leaves, wants no requests for a while or has another limit.",
		}, []string{"mark"}),
		reserved: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_serving_reservations_total",
			Help: "Reservations of calls to targets with limits, by result.",
		}, []string{"result"}),
		withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_serving_withheld_total",
			Help: "Requests that were not sent to the target chosen for them, by reason.",
		}, []string{"reason"}),
		leaving: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_serving_spillover_requests_total",
			Help: "Sends to targets in other data centres, by reason.",
		}, []string{"reason"}),
		leavingBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fireflypier_serving_spillover_bytes_total",
			Help: "Bytes of the bodies and of the expected answers of such sends, by reason.",
		}, []string{"reason"}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "fireflypier_serving_weights_wait_seconds",
			Help:    "Time for which requests waited for weights before they were sent.",
			Buckets: latencyBuckets,
		}),
	}
	marked := func(mark string, count func() int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "fireflypier_serving_marked_targets",
			Help:        "Targets that have said that they leave, want no requests for a while or have a limit.",
			ConstLabels: prometheus.Labels{"mark": mark},
		}, func() float64 { return float64(count()) })
	}
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "fireflypier_serving_stalled_targets",
			Help: "Targets at which requests of this VM are overdue, without any first event since.",
		}, func() float64 { return float64(view.Stalled(clock.Now())) }),
		marked(markLeaving, func() int { n, _, _ := view.Marked(clock.Now()); return n }),
		marked(markDistance, func() int { _, n, _ := view.Marked(clock.Now()); return n }),
		marked(markLimit, func() int { _, _, n := view.Marked(clock.Now()); return n }),
	)
	registry.MustRegister(newPaceMetric(view))
	registry.MustRegister(m.requests, m.duration, m.sends, m.ends, m.charges, m.rejected, m.admissions, m.aboveShare, m.marks, m.reserved, m.breaks, m.waits, m.withheld, m.leaving, m.leavingBytes)
	return m
}

func (m *Metrics) observeRequest(kind, outcome string, took time.Duration) {
	m.requests.WithLabelValues(kind, outcome).Inc()
	m.duration.WithLabelValues(kind).Observe(took.Seconds())
}

func (m *Metrics) countSend(outcome string) { m.sends.WithLabelValues(outcome).Inc() }

func (m *Metrics) countEnd(end string) { m.ends.WithLabelValues(end).Inc() }

// The results of charges and reservations, the reasons of rejections and the marks of targets, as metric labels.
const (
	chargeOwn          = "own_share"
	chargeLent         = "lent"
	chargeExceeded     = "exceeded"
	chargeNotLent      = "not_lent"
	chargeNoLender     = "lender_unreachable"
	rejectUnknown      = "unknown_model"
	rejectNoModel      = "no_engine_with_model"
	rejectNoAdapter    = "no_engine_with_adapter"
	rejectNotAvailable = "targets_unavailable"
	rejectMarked       = "targets_want_none"
	rejectBusy         = "targets_busy"
	rejectQuarantined  = "prompt_quarantined"
	rejectLeaving      = "leaving"
	reservedCall       = "reserved"
	reservedNone       = "refused"
	reservedNoLender   = "lender_unreachable"
	markLeaving        = "leaving"
	markDistance       = "distance"
	markLimit          = "limit"
	markCold           = "cold"
	rejectEvacuated    = "evacuated"
)

func (m *Metrics) countWithheld(reason string) { m.withheld.WithLabelValues(reason).Inc() }

func (m *Metrics) countCharge(result string) { m.charges.WithLabelValues(result).Inc() }

func (m *Metrics) countBreak(begun bool) {
	m.breaks.WithLabelValues(strconv.FormatBool(begun)).Inc()
}

func (m *Metrics) countLeaving(reason string, bytes int) {
	m.leaving.WithLabelValues(reason).Inc()
	m.leavingBytes.WithLabelValues(reason).Add(float64(max(0, bytes)))
}

func (m *Metrics) countMark(mark string) { m.marks.WithLabelValues(mark).Inc() }

func (m *Metrics) countReservation(reserved bool, err error) {
	result := reservedNone
	switch {
	case err != nil:
		result = reservedNoLender
	case reserved:
		result = reservedCall
	}
	m.reserved.WithLabelValues(result).Inc()
}

func (m *Metrics) countRejection(reason string) { m.rejected.WithLabelValues(reason).Inc() }
