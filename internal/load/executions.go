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

const maxExecutionsBytes = 256 << 20

// CheckExecutions reads from stand-in plain services which requests they ran and
// compares these with the responses. Engines do not record request IDs, so
// generations are not checked.
func (r *Result) CheckExecutions(ctx context.Context, targets []netip.AddrPort) error {
	counts := map[string]int{}
	for _, target := range targets {
		if err := readExecutions(ctx, target, counts); err != nil {
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
		case o.call.NotRepeatable && o.complete && n == 0:
			r.Executions.Lost++
		}
	}
	return nil
}

// readExecutions adds to counts how often a target ran each call; the key is the
// call's ID.
func readExecutions(ctx context.Context, target netip.AddrPort, counts map[string]int) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.String()+"/standin/ran", nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "request executions from target")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxExecutionsBytes))
	if err != nil {
		return errors.Wrap(err, "read executions of target")
	}
	var body struct {
		Ran []struct {
			Body string `json:"body"`
		} `json:"ran"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Wrap(err, fmt.Sprintf("decode executions of %s", target))
	}
	for _, execution := range body.Ran {
		counts[strings.TrimRight(execution.Body, ".")]++
	}
	return nil
}
