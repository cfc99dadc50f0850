// Command placement-trial compares placement policies in simulated time and
// prints a table with a row for each deployment and policy.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"fireflypier.example/fireflypier/internal/placementtrial"
)

const exitUsage = 2

type options struct {
	Hours int     `long:"hours" description:"simulated hours" default:"4"`
	Fill  float64 `long:"fill" description:"part of the memory that two replicas of every model take" default:"0.8"`
	Seed  uint64  `long:"seed" description:"seed of the demand" default:"20261204"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	_, _ = fmt.Fprintln(w, "deployment\tplacement\tattained\tper accelerator and hour\tworst customer\tmoves\twaited\tp99 to first token\tloads\tledger commits")
	for _, d := range placementtrial.Deployments(o.Fill) {
		for _, row := range []struct {
			name   string
			placer placementtrial.Placer
		}{
			{"planned", placementtrial.NewPlanned()},
			{"static", placementtrial.NewStatic()},
			{"least recently used", placementtrial.NewLRU()},
			{"greedy", placementtrial.NewGreedy()},
		} {
			r := placementtrial.Run(d, row.placer, time.Duration(o.Hours)*time.Hour, o.Seed)
			_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f %%\t%.0f\t%.2f %%\t%d\t%d\t%s\t%d\t%d\n", d.Name, row.name,
				100*float64(r.Attained)/float64(r.Requests), r.PerAccelerator, 100*r.WorstAttainment, r.Moves, r.Waited, r.P99.Round(time.Millisecond), r.Loads, r.Commits)
		}
	}
}
