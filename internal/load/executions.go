package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"
)

const maxRanBytes = 256 << 20

// CheckExecutions asks stand-in plain services what they ran and compares it with
// the answers. Engines do not record request ids, so generations are left
// out.
func (r *Result) CheckExecutions(ctx context.Context, targets []netip.AddrPort) error {
	counts := map[string]int{}
	for _, target := range targets {
		if err := readRan(ctx, target, counts); err != nil {
			return err
		}
	}
	r.Executions = &ExecutionCheck{}
	for i := range r.outcomes {
		o := &r.outcomes[i]
		if o.call.Stream.Path == "" {
			continue
		}
		n := counts[o.call.ID]
		switch {
		case o.notRun && n > 0:
			r.Executions.NotRunButRan++
		case o.call.NotRepeatable && n > 1:
			r.Executions.Doubled++
		case o.call.NotRepeatable && o.whole && n == 0:
			r.Executions.Lost++
		}
	}
	return nil
}

// readRan counts how often each call's body was run at a target.
func readRan(ctx context.Context, target netip.AddrPort, counts map[string]int) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.String()+"/standin/ran", nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "ask a target what it ran")
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxRanBytes))
	if err != nil {
		return errors.Wrap(err, "read what a target ran")
	}
	var body struct {
		Ran []struct {
			Body string `json:"body"`
		} `json:"ran"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Wrap(err, fmt.Sprintf("decode what %s ran", target))
	}
	for _, ran := range body.Ran {
		counts[strings.TrimRight(ran.Body, ".")]++
	}
	return nil
}
