package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"fireflypier.example/fireflypier/internal/acceptance"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/freshness"
	"fireflypier.example/fireflypier/internal/operatorclient"
	"fireflypier.example/fireflypier/internal/revision"
)

const (
	// progressInterval is the time between two progress messages.
	progressInterval = 2 * time.Second
	// maxSendAttempts is how often an edit is sent at most while its answers are
	// lost. The controller applies an edit ID only once, so resending is safe.
	maxSendAttempts = 5
	resendInterval  = time.Second
)

type applyCommand struct {
	controllerOptions
	EditID   string        `long:"edit-id" description:"id that makes a repeated apply safe; random by default"`
	BasedOn  int64         `long:"based-on" default:"-1" description:"revision that the edit was made from; the present one by default"`
	Delete   []string      `long:"delete" description:"kind/name of an object to delete; may be repeated"`
	Revision int64         `long:"revision" description:"earlier revision whose whole set is applied again, instead of files"`
	Wait     time.Duration `long:"wait" default:"30s" description:"how long to wait until the edit is accepted; 0s does not wait"`
	Args     struct {
		Files []flags.Filename `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

type historyCommand struct {
	controllerOptions
	Limit int `long:"limit" default:"20" description:"number of revisions to show"`
}

// Execute publishes an edit and waits until it is accepted or the wait time is over.
func (c *applyCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	edit, err := c.edit(ctx, client)
	if err != nil {
		return err
	}
	applied, err := publish(ctx, client, edit)
	if err != nil {
		return err
	}
	if c.Output == "text" {
		fmt.Printf("revision %d is committed\n", applied.Revision)
	}
	status, err := c.await(ctx, client, applied.Revision)
	if err != nil {
		return err
	}
	return c.report(applied, status)
}

// edit returns the edit that the arguments describe.
func (c *applyCommand) edit(ctx context.Context, client *operatorclient.Client) (*revision.Edit, error) {
	edit, err := readEdit(c.Args.Files)
	if err != nil {
		return nil, err
	}
	edit.ID = c.EditID
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	edit.Delete = c.Delete
	edit.Restore = c.Revision
	edit.BasedOn = c.BasedOn
	if edit.BasedOn < 0 {
		s, err := client.Snapshot(ctx)
		if err != nil {
			return nil, err
		}
		edit.BasedOn = s.Revision
	}
	return edit, nil
}

// publish sends an edit, and resends it while its outcome is unknown. It sends it at
// most maxSendAttempts times.
func publish(ctx context.Context, client *operatorclient.Client, edit *revision.Edit) (*operatorclient.ApplyResult, error) {
	var applied *operatorclient.ApplyResult
	var err error
	for range maxSendAttempts {
		applied, err = client.Apply(ctx, edit)
		if !failure.Is(err, failure.OutcomeUnknown) {
			return applied, err
		}
		fmt.Fprintf(os.Stderr, "no answer to edit %s; resending it\n", edit.ID)
		time.Sleep(resendInterval)
	}
	return applied, err
}

// await polls the status until the revision is accepted or the wait time is over, and
// prints the progress.
func (c *applyCommand) await(ctx context.Context, client *operatorclient.Client, rev int64) (*acceptance.Status, error) {
	end := time.Now().Add(c.Wait)
	for {
		status, err := client.Acceptance(ctx, rev, min(progressInterval, max(0, time.Until(end))))
		if err != nil || status.Accepted || !time.Now().Before(end) {
			return status, err
		}
		fmt.Fprintf(os.Stderr, "waiting for %s\n", describeMissing(status.Missing))
	}
}

// report prints the outcome. It returns an error of kind OutcomeUnknown if the edit
// was not accepted within the wait time: the edit is committed, and may be accepted
// later.
func (c *applyCommand) report(applied *operatorclient.ApplyResult, status *acceptance.Status) error {
	if c.Output == "json" {
		if err := printJSON(struct {
			Revision int64               `json:"revision"`
			Digest   string              `json:"digest"`
			Accepted bool                `json:"accepted"`
			Missing  []freshness.Missing `json:"missing"`
		}{applied.Revision, applied.Digest, status.Accepted, status.Missing}); err != nil {
			return err
		}
	}
	switch {
	case !status.Accepted && c.Wait > 0:
		return failure.New(failure.OutcomeUnknown, "revision %d is committed but not yet accepted; waiting for %s", applied.Revision, describeMissing(status.Missing))
	case c.Output == "json" || !status.Accepted:
	case len(status.Missing) == 0:
		fmt.Printf("revision %d is accepted\n", applied.Revision)
	default:
		fmt.Printf("revision %d is accepted; not yet acknowledged by %s\n", applied.Revision, describeMissing(status.Missing))
	}
	return nil
}

// describeMissing lists, by region, the gateways that have not acknowledged the revision.
func describeMissing(missing []freshness.Missing) string {
	if len(missing) == 0 {
		return "the controller to load the revision"
	}
	parts := make([]string, 0, len(missing))
	for _, m := range missing {
		parts = append(parts, fmt.Sprintf("region %s: %s", m.Region, strings.Join(m.Gateways, ", ")))
	}
	return strings.Join(parts, "; ")
}

// Execute prints the latest revisions.
func (c *historyCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	entries, err := client.History(context.Background(), c.Limit)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(entries)
	}
	for _, e := range entries {
		fmt.Printf("%d\t%s\t%s\t%s\n", e.Revision, e.Time.Format(time.RFC3339), e.Author, e.EditID)
	}
	return nil
}
