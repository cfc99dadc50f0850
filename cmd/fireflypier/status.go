package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/operatorclient"
	"fireflypier.example/fireflypier/internal/shardplan"
)

// controllerStatus is the answer of one controller.
type controllerStatus struct {
	Controller netip.AddrPort `json:"controller"`
	// Status is empty if the controller could not be reached; Error is the reason.
	Status jsontext.Value `json:"status,omitzero"`
	Error  string         `json:"error,omitzero"`
}

// Execute prints the status of all controllers, each of which plans different shards.
func (c *statusCommand) Execute([]string) error {
	statuses, err := c.statuses(context.Background())
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(statuses)
	}
	return printStatuses(statuses)
}

func (c *statusCommand) statuses(ctx context.Context) ([]controllerStatus, error) {
	addrs, err := c.addresses()
	if err != nil {
		return nil, err
	}
	var last error
	statuses := make([]controllerStatus, 0, len(addrs))
	reached := false
	for _, addr := range addrs {
		status, err := operatorclient.New([]netip.AddrPort{addr}, c.Token).Status(ctx)
		s := controllerStatus{Controller: addr, Status: status}
		if err != nil {
			last = err
			s.Error = err.Error()
		}
		reached = reached || err == nil
		statuses = append(statuses, s)
	}
	if !reached {
		return nil, last
	}
	return statuses, nil
}

func printStatuses(statuses []controllerStatus) error {
	var shards []shardplan.Status
	for _, s := range statuses {
		if s.Error != "" {
			fmt.Printf("controller %s: %s\n", s.Controller, s.Error)
			continue
		}
		var body struct {
			Revision int64              `json:"revision"`
			Shards   []shardplan.Status `json:"shards"`
		}
		if err := json.Unmarshal(s.Status, &body); err != nil {
			return failure.Wrap(failure.Internal, err, "decode status")
		}
		fmt.Printf("controller %s: revision %d, plans %d shards\n", s.Controller, body.Revision, len(body.Shards))
		shards = append(shards, body.Shards...)
	}
	slices.SortFunc(shards, func(a, b shardplan.Status) int { return strings.Compare(a.Shard, b.Shard) })
	for i := range shards {
		if err := printShard(&shards[i]); err != nil {
			return err
		}
	}
	return nil
}

// printShard prints the engines of a shard with their memory and the weights that are
// moving, and its models with their replicas and whether they are at risk.
func printShard(s *shardplan.Status) error {
	fmt.Printf("\npool %s, shard %s\n", s.Pool, s.Shard)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ENGINE\tREACHABLE\tMEMORY\tMOVING")
	for _, e := range s.Engines {
		_, _ = fmt.Fprintf(w, "%s\t%t\t%.1f of %.1f GiB\t%s\n", e.Target, e.Reachable, inGiB(e.ReservedBytes), inGiB(e.MemoryBytes), movingText(e.Operations))
	}
	_, _ = fmt.Fprintln(w, "MODEL\tTOKENS/S\tREPLICAS\tSTATE")
	for _, m := range s.Models {
		_, _ = fmt.Fprintf(w, "%s@%s\t%.0f\t%s\t%s\n", m.Name, m.Version, m.TokensPerSecond, replicasText(m.Replicas), riskText(&m))
	}
	return w.Flush()
}

func inGiB(bytes int64) float64 { return float64(bytes) / (1 << 30) }

func movingText(moving []shardplan.Operation) string {
	texts := make([]string, 0, len(moving))
	for _, m := range moving {
		text := fmt.Sprintf("%s %s", m.State, m.Weights)
		if m.Reason != "" {
			text += " (" + m.Reason + ")"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "; ")
}

func replicasText(replicas []shardplan.ReplicaStatus) string {
	texts := make([]string, 0, len(replicas))
	for _, r := range replicas {
		texts = append(texts, fmt.Sprintf("%s:%s@%s", r.Target, r.State, r.Version))
	}
	return strings.Join(texts, " ")
}

func riskText(m *shardplan.ModelStatus) string {
	switch {
	case m.Unreachable:
		return "unreachable"
	case m.AtRisk:
		return "at risk: one replica"
	}
	return "safe"
}
