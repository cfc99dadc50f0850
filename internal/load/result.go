package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fireflypier.example/fireflypier/internal/workload"
)

const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// Result holds the measurements of a run.
type Result struct {
	// Name and Seed are those of the workload; Elapsed is the time of the run.
	Name    string        `json:"name"`
	Seed    uint64        `json:"seed"`
	Elapsed time.Duration `json:"elapsed"`
	// Sent counts requests, Whole the complete responses, Refused the requests
	// that were refused without running at their last attempt, and Broken all
	// others.
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	Broken  int `json:"broken"`
	// RefusedInsideRate counts the refused requests that were inside their
	// customer's rate; RefusalsFollowed counts retries after a refusal.
	RefusedInsideRate int `json:"refused_inside_rate"`
	RefusalsFollowed  int `json:"refusals_followed"`
	// Codes counts the requests without a complete response by error code.
	Codes map[string]int `json:"codes"`
	// Attained counts the requests that met both latency targets. Attainment is
	// their fraction of Sent, AttainedPerAccelerator their number per
	// accelerator and second.
	Attained               int     `json:"attained"`
	Attainment             float64 `json:"attainment"`
	AttainedPerAccelerator float64 `json:"attained_per_accelerator"`
	// FirstToken and BetweenTokens are the latencies of complete responses.
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
	// Customers holds the results by customer; WorstCustomer is the name of the
	// customer with the lowest Attainment.
	Customers     map[string]*CustomerResult `json:"customers"`
	WorstCustomer string                     `json:"worst_customer"`
	// Executions is set by CheckExecutions.
	Executions *ExecutionCheck `json:"ran,omitzero"`
	// Seconds holds the results by second of arrival.
	Seconds []Second `json:"seconds"`

	outcomes []outcome
}

// Quantiles are quantiles of a latency.
type Quantiles struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

// CustomerResult is the result of one customer. Attainment is the attained
// fraction of the Counted requests: those inside the customer's rate, or all if
// the workload gives no rate.
type CustomerResult struct {
	Sent              int     `json:"sent"`
	Counted           int     `json:"counted"`
	Attained          int     `json:"attained"`
	Attainment        float64 `json:"attainment"`
	Refused           int     `json:"refused"`
	RefusedInsideRate int     `json:"refused_inside_rate"`
}

// ExecutionCheck counts the requests whose response contradicts the executions
// that the targets recorded.
type ExecutionCheck struct {
	// NotRunButRan counts requests that ran although the response said "not
	// run".
	NotRunButRan int `json:"not_run_but_ran"`
	// Doubled counts non-repeatable requests that ran more than once, Lost
	// those that got a complete response but never ran.
	Doubled int `json:"doubled"`
	Lost    int `json:"lost"`
}

// Second is the result of the requests that arrived in one second; P95 is
// that of the time to the first token of complete responses.
type Second struct {
	Sent     int           `json:"sent"`
	Attained int           `json:"attained"`
	P95      time.Duration `json:"first_token_p95"`
}

func newResult(w *workload.Workload, outcomes []outcome, elapsed time.Duration) *Result {
	r := &Result{
		Name: w.Name, Seed: w.Seed, Elapsed: elapsed, Sent: len(outcomes),
		Codes: map[string]int{}, Customers: map[string]*CustomerResult{}, outcomes: outcomes,
	}
	first, gaps := newHistogram(), newHistogram()
	seconds := map[int][]*outcome{}
	for i := range outcomes {
		o := &outcomes[i]
		r.count(w, o)
		if o.complete {
			_ = first.RecordValue(o.first.Microseconds())
			for _, gap := range o.gaps {
				_ = gaps.RecordValue(gap.Microseconds())
			}
		}
		at := int(o.call.At / time.Second)
		seconds[at] = append(seconds[at], o)
	}
	r.FirstToken, r.BetweenTokens = quantilesOf(first), quantilesOf(gaps)
	r.Attainment = ratio(r.Attained, r.Sent)
	r.AttainedPerAccelerator = float64(r.Attained) / w.Duration.Seconds() / float64(w.Accelerators)
	r.findWorstCustomer()
	for at := range int((w.Duration + time.Second - 1) / time.Second) {
		r.Seconds = append(r.Seconds, newSecond(w, seconds[at]))
	}
	return r
}

func (r *Result) count(w *workload.Workload, o *outcome) {
	name := o.call.Stream.Customer
	c, ok := r.Customers[name]
	if !ok {
		c = &CustomerResult{}
		r.Customers[name] = c
	}
	attained := o.attained(w)
	counted := o.insideRate || w.Customers[name].TokensPerSecond == 0
	c.Sent++
	r.RefusalsFollowed += o.retries
	if counted {
		c.Counted++
	}
	if attained {
		r.Attained++
	}
	if attained && counted {
		c.Attained++
	}
	switch {
	case o.complete:
		r.Whole++
		return
	case o.notRun:
		r.Refused++
		c.Refused++
	default:
		r.Broken++
	}
	r.Codes[o.code]++
	if o.notRun && o.insideRate {
		r.RefusedInsideRate++
		c.RefusedInsideRate++
	}
}

func (r *Result) findWorstCustomer() {
	names := make([]string, 0, len(r.Customers))
	for name, c := range r.Customers {
		c.Attainment = ratio(c.Attained, c.Counted)
		if c.Counted > 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	r.WorstCustomer = slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.Customers[a].Attainment, r.Customers[b].Attainment), cmp.Compare(a, b))
	})
}

// attained reports whether the response met both latency targets. For a plain
// request only the first-token target applies, to its complete response.
func (o *outcome) attained(w *workload.Workload) bool {
	if !o.complete || o.first > w.FirstToken {
		return false
	}
	sum := time.Duration(0)
	for _, gap := range o.gaps {
		sum += gap
	}
	return len(o.gaps) == 0 || sum/time.Duration(len(o.gaps)) <= w.BetweenTokens
}

func newSecond(w *workload.Workload, outcomes []*outcome) Second {
	s := Second{Sent: len(outcomes)}
	h := newHistogram()
	for _, o := range outcomes {
		if o.attained(w) {
			s.Attained++
		}
		if o.complete {
			_ = h.RecordValue(o.first.Microseconds())
		}
	}
	s.P95 = quantilesOf(h).P95
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond}
}

func ratio(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}
