package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fireflypier.example/fireflypier/internal/workload"
)

const (
	longestTime       = 10 * time.Minute
	significantDigits = 3
)

// Result is what a run measured.
type Result struct {
	// Name, Seed and Elapsed tell which run it was.
	Name    string        `json:"name"`
	Seed    uint64        `json:"seed"`
	Elapsed time.Duration `json:"elapsed"`
	// Sent counts requests, Whole the whole answers, Refused those that did
	// not run in the end, and Broken the rest.
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	Broken  int `json:"broken"`
	// RefusedInsideRate counts the refused requests that were inside their
	// customer's rate; RefusalsFollowed counts retries after Retry-After.
	RefusedInsideRate int `json:"refused_inside_rate"`
	RefusalsFollowed  int `json:"refusals_followed"`
	// Codes counts the error codes of requests that were not answered.
	Codes map[string]int `json:"codes"`
	// Attained counts the requests within both targets; Attainment is their
	// part, AttainedPerAccelerator their number for each accelerator and
	// second.
	Attained               int     `json:"attained"`
	Attainment             float64 `json:"attainment"`
	AttainedPerAccelerator float64 `json:"attained_per_accelerator"`
	// FirstToken and BetweenTokens are the times of whole answers.
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
	// Customers holds each customer's part, WorstCustomer the name of the one with
	// the lowest attainment inside its rate.
	Customers     map[string]*CustomerResult `json:"customers"`
	WorstCustomer string                     `json:"worst_customer"`
	// Executions is nil unless the targets were asked what they ran.
	Executions *ExecutionCheck `json:"ran,omitzero"`
	// Seconds is the course of the run.
	Seconds []Second `json:"seconds"`

	outcomes []outcome
}

// Quantiles are quantiles of a time.
type Quantiles struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

// CustomerResult is one customer's part of a result. Only requests inside
// the rate count for Attainment, when a rate is given.
type CustomerResult struct {
	Sent              int     `json:"sent"`
	Counted           int     `json:"counted"`
	Attained          int     `json:"attained"`
	Attainment        float64 `json:"attainment"`
	Refused           int     `json:"refused"`
	RefusedInsideRate int     `json:"refused_inside_rate"`
}

// ExecutionCheck compares answers with what the targets ran.
type ExecutionCheck struct {
	// NotRunButRan counts "not run" answers to requests that ran.
	NotRunButRan int `json:"not_run_but_ran"`
	// Doubled counts not repeatable requests that ran more than once, Lost
	// those that were answered but never ran.
	Doubled int `json:"doubled"`
	Lost    int `json:"lost"`
}

// Second is one second of arrivals.
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
		if o.whole {
			_ = first.RecordValue(o.first.Microseconds())
			for _, gap := range o.gaps {
				_ = gaps.RecordValue(gap.Microseconds())
			}
		}
		at := int(o.call.At / time.Second)
		seconds[at] = append(seconds[at], o)
	}
	r.FirstToken, r.BetweenTokens = quantilesOf(first), quantilesOf(gaps)
	r.Attainment = part(r.Attained, r.Sent)
	r.AttainedPerAccelerator = float64(r.Attained) / w.Duration.Seconds() / float64(w.Accelerators)
	r.findWorst()
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
	counted := o.inRate || w.Customers[name].TokensPerSecond == 0
	c.Sent++
	r.RefusalsFollowed += o.refusals
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
	case o.whole:
		r.Whole++
		return
	case o.notRun:
		r.Refused++
		c.Refused++
	default:
		r.Broken++
	}
	r.Codes[o.code]++
	if o.notRun && o.inRate {
		r.RefusedInsideRate++
		c.RefusedInsideRate++
	}
}

func (r *Result) findWorst() {
	names := make([]string, 0, len(r.Customers))
	for name, c := range r.Customers {
		c.Attainment = part(c.Attained, c.Counted)
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

// attained reports whether both targets were met; a plain request meets the
// first one with its whole answer.
func (o *outcome) attained(w *workload.Workload) bool {
	if !o.whole || o.first > w.FirstToken {
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
		if o.whole {
			_ = h.RecordValue(o.first.Microseconds())
		}
	}
	s.P95 = quantilesOf(h).P95
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestTime.Microseconds(), significantDigits)
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond}
}

func part(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}
