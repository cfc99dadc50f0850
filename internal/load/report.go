package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// WriteText writes one or more results side by side as a text table.
func WriteText(w io.Writer, results ...*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value func(*Result) string) {
		_, _ = fmt.Fprint(t, name)
		for _, r := range results {
			_, _ = fmt.Fprint(t, "\t", value(r))
		}
		_, _ = fmt.Fprintln(t)
	}
	number := func(f func(*Result) int) func(*Result) string {
		return func(r *Result) string { return fmt.Sprint(f(r)) }
	}
	row("workload", func(r *Result) string { return fmt.Sprintf("%s, seed %d", r.Name, r.Seed) })
	row("sent", number(func(r *Result) int { return r.Sent }))
	row("complete responses", number(func(r *Result) int { return r.Whole }))
	row("refused", number(func(r *Result) int { return r.Refused }))
	row("refused inside the rate", number(func(r *Result) int { return r.RefusedInsideRate }))
	row("retries after refusal", number(func(r *Result) int { return r.RefusalsFollowed }))
	row("broken", number(func(r *Result) int { return r.Broken }))
	row("first token", func(r *Result) string { return quantileText(&r.FirstToken) })
	row("between tokens", func(r *Result) string { return quantileText(&r.BetweenTokens) })
	row("attainment", func(r *Result) string { return percent(r.Attainment) })
	row("attained per accelerator and second", func(r *Result) string { return fmt.Sprintf("%.3f", r.AttainedPerAccelerator) })
	row("worst-served customer", func(r *Result) string {
		if c, ok := r.Customers[r.WorstCustomer]; ok {
			return fmt.Sprintf("%s %s", r.WorstCustomer, percent(c.Attainment))
		}
		return "none"
	})
	for _, name := range customerNames(results) {
		row("  "+name, func(r *Result) string {
			c, ok := r.Customers[name]
			if !ok {
				return "-"
			}
			return fmt.Sprintf("%s of %d, %d refused (%d inside the rate)", percent(c.Attainment), c.Counted, c.Refused, c.RefusedInsideRate)
		})
	}
	row("\"not run\" but ran / doubled / lost", func(r *Result) string {
		if r.Executions == nil {
			return "not checked"
		}
		return fmt.Sprintf("%d / %d / %d", r.Executions.NotRunButRan, r.Executions.Doubled, r.Executions.Lost)
	})
	row("error codes", func(r *Result) string {
		text := ""
		for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
			text += fmt.Sprintf("%s %d ", code, r.Codes[code])
		}
		return text
	})
	return t.Flush()
}

func customerNames(results []*Result) []string {
	names := map[string]bool{}
	for _, r := range results {
		for name := range r.Customers {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func quantileText(q *Quantiles) string {
	return fmt.Sprintf("p50 %s p95 %s p99 %s", rounded(q.P50), rounded(q.P95), rounded(q.P99))
}

func rounded(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

func percent(f float64) string { return fmt.Sprintf("%.1f %%", 100*f) }
