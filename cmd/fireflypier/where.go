package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/dryrun"
	"fireflypier.example/fireflypier/platform"
)

const (
	// whereTimeout is far above the time that a node that is not overloaded takes.
	whereTimeout = 10 * time.Second
	// maxWhereBytes bounds an answer; one target takes less than 1 KB.
	maxWhereBytes = 16 << 20
)

type whereCommand struct {
	Host         string        `long:"host" description:"host name of the request"`
	Path         string        `long:"path" description:"path of the request"`
	Pool         string        `long:"pool" description:"pool, instead of a host and a path, or one of the pools of the route"`
	Model        string        `long:"model" description:"model, for a pool of engines"`
	Adapter      string        `long:"adapter" description:"adapter of the model"`
	Customer     string        `long:"customer" description:"name of the customer, never a key"`
	PromptTokens int           `long:"prompt-tokens" description:"length of the prompt"`
	AnswerTokens int           `long:"answer-tokens" description:"maximum length of the answer"`
	TimeLimit    time.Duration `long:"time-limit" description:"how long the caller waits, such as 1.5s"`
	Prefix       []string      `long:"prefix" value-name:"ID:TOKENS" description:"part of the prompt that may be shared; may be repeated, in order"`
	JSON         bool          `long:"json" description:"print JSON"`
	Args         struct {
		Admin string `positional-arg-name:"ADDRESS"`
	} `positional-args:"true" required:"true"`
}

// Execute prints where a request would go now. The process that it asks changes no state.
func (c *whereCommand) Execute([]string) error { return c.run(context.Background(), os.Stdout) }

func (c *whereCommand) run(ctx context.Context, w io.Writer) error {
	q, err := c.question()
	if err != nil {
		return err
	}
	data, err := c.ask(ctx, q)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = w.Write(data)
		return err
	}
	var a dryrun.Answer
	if err := document.Unmarshal(data, &a); err != nil {
		return err
	}
	return printAnswer(w, &a)
}

func (c *whereCommand) question() (*dryrun.Question, error) {
	usage := func(format string, args ...any) error {
		return &flags.Error{Type: flags.ErrRequired, Message: fmt.Sprintf(format, args...)}
	}
	switch {
	case (c.Path == "") != (c.Host == ""):
		return nil, usage("--host and --path belong together")
	case c.Path == "" && c.Pool == "":
		return nil, usage("--host and --path, or --pool, is needed")
	case c.PromptTokens < 0 || c.AnswerTokens < 0 || c.TimeLimit < 0:
		return nil, usage("numbers of tokens and the time limit must not be negative")
	}
	q := &dryrun.Question{
		Host: platform.HostName(c.Host), Path: c.Path, Pool: c.Pool, Model: c.Model, Adapter: c.Adapter, Customer: c.Customer,
		PromptTokens: c.PromptTokens, AnswerTokens: c.AnswerTokens, TimeLimit: c.TimeLimit,
	}
	for _, text := range c.Prefix {
		p, err := dryrun.ParsePart(text)
		if err != nil {
			return nil, usage("--prefix %q is not ID:TOKENS", text)
		}
		q.Prefix = append(q.Prefix, p)
	}
	return q, nil
}

// ask returns the answer of the process at the admin address.
func (c *whereCommand) ask(ctx context.Context, q *dryrun.Question) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Args.Admin+dryrun.Path+"?"+q.Values().Encode(), http.NoBody)
	if err != nil {
		return nil, &flags.Error{Type: flags.ErrMarshal, Message: fmt.Sprintf("%q is not an address and port", c.Args.Admin)}
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		var failed *url.Error
		if errors.As(err, &failed) {
			err = failed.Err // without the question, which may have a key by mistake
		}
		return nil, errors.Wrapf(err, "reach the admin address %s", c.Args.Admin)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxWhereBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "read the answer of %s", c.Args.Admin)
	}
	if answer.StatusCode == http.StatusOK {
		return data, nil
	}
	var p dryrun.Problem
	if err := document.Unmarshal(data, &p); err != nil || p.Code == "" {
		return nil, failure.New(failure.NotFound, "%s answered %d: it is not the admin address of a node that answers this question", c.Args.Admin, answer.StatusCode)
	}
	for _, k := range failure.Kinds() {
		if k.String() == p.Code {
			return nil, failure.New(k, "%s", p.Message)
		}
	}
	return nil, failure.New(failure.Internal, "%s: %s", p.Code, p.Message)
}

func printAnswer(w io.Writer, a *dryrun.Answer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(t, name+"\t"+format+"\n", args...)
	}
	line("vm", "%s, data centre %s, configuration %d, loads %d ms old", a.VM, orNone(a.DataCentre), a.PolicyVersion, a.ViewAge.Milliseconds())
	line("route", "%s", routeText(a))
	line("rank", "%d", a.Rank)
	line("times", "objective %s, time-out %s, patience %s", milliseconds(a.Objective), milliseconds(a.Timeout), milliseconds(a.Patience))
	if r := a.Rate; r != nil {
		line("rate", "%s", rateText(r))
	}
	line("decision", "%s", decisionText(&a.Decision))
	line("spillover", "%s, %.0f%% may leave", a.Spillover.Decision, 100*a.Spillover.Share)
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "\ncosts in ms, without a random part of scale %s\n", milliseconds(a.RandomScale))
	columns := []string{"TARGET", "DATA CENTRE", "COST", "EXPECTED", "DISTANCE", "CALL WAIT", "RETURNING", "STALL", "FAILURES", "PAUSES", "CACHED", "REQUESTS", "NOTES"}
	_, _ = fmt.Fprintln(t, strings.Join(columns, "\t"))
	for i := range a.Targets {
		_, _ = fmt.Fprintln(t, strings.Join(targetFields(&a.Targets[i], a.Decision.Target), "\t"))
	}
	return t.Flush()
}

func routeText(a *dryrun.Answer) string {
	text := "none"
	if a.Route != "" {
		text = a.Route + " (" + a.Kind + ")"
	}
	text += ", pool " + a.Pool
	if len(a.Pools) > 1 {
		shares := make([]string, 0, len(a.Pools))
		for _, p := range a.Pools {
			shares = append(shares, fmt.Sprintf("%s %g", p.Pool, p.Weight))
		}
		text += " of " + strings.Join(shares, ", ")
	}
	return text
}

func rateText(r *dryrun.Rate) string {
	if !r.Limited {
		return r.Customer + ": no rate"
	}
	text := fmt.Sprintf("%s: %s, cost %g, level %.0f of %.0f, own share %.0f, %.0f a second", r.Customer, r.Result, r.Cost, r.Level, r.Capacity, r.Own, r.PerSecond)
	if r.After > 0 {
		text += ", in " + milliseconds(r.After)
	}
	return text
}

func decisionText(d *dryrun.Decision) string {
	parts := []string{d.Outcome}
	add := func(set bool, format string, args ...any) {
		if set {
			parts = append(parts, fmt.Sprintf(format, args...))
		}
	}
	add(d.Reason != "", "reason %s", d.Reason)
	add(d.RetryAfter > 0, "return in %s", milliseconds(d.RetryAfter))
	add(d.LoadedIn > 0, "loaded in %s", milliseconds(d.LoadedIn))
	add(d.Target != "", "target %s", d.Target)
	add(d.Target != "", "expected %s", milliseconds(d.Expected))
	add(d.LateExpected > 0, "at the late rank %s", milliseconds(d.LateExpected))
	add(d.OverShare, "above the customer's share")
	return strings.Join(parts, ", ")
}

func targetFields(t *dryrun.Target, chosen string) []string {
	cached := "-"
	if t.CachedTokens != nil {
		cached = fmt.Sprint(*t.CachedTokens)
	}
	fields := []string{t.ID, orNone(t.DataCentre)}
	for _, d := range []time.Duration{t.Cost, t.Expected, t.Distance, t.CallWait, t.Returning, t.Stall, t.Failures, t.Pauses} {
		fields = append(fields, fmt.Sprintf("%.1f", d.Seconds()*1000))
	}
	return append(fields, cached, fmt.Sprint(t.Requests), targetNotes(t, chosen))
}

func targetNotes(t *dryrun.Target, chosen string) string {
	var notes []string
	if t.ID == chosen {
		notes = append(notes, "chosen")
	}
	if t.Excluded != "" {
		note := "excluded: " + t.Excluded
		if t.Until > 0 {
			note += " for " + milliseconds(t.Until)
		}
		notes = append(notes, note)
	}
	if t.ColdFor > 0 {
		notes = append(notes, "cold for "+milliseconds(t.ColdFor))
	}
	if t.LimitPerSecond > 0 {
		notes = append(notes, fmt.Sprintf("limit %.3g a second", t.LimitPerSecond))
	}
	if t.OtherBorn != 0 {
		notes = append(notes, fmt.Sprintf("other incarnation %d has answered", t.OtherBorn))
	}
	return strings.Join(notes, "; ")
}

func milliseconds(d time.Duration) string {
	if d == 0 {
		return "none"
	}
	return fmt.Sprintf("%d ms", d.Milliseconds())
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
