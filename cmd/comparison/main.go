// Command comparison prints the tables of docs/MEASURES.md that compare the
// choice of engines and the request queue with simple baselines:
//
//	go run ./cmd/comparison routing fairness
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"fireflypier.example/fireflypier/internal/comparison"
)

const exitUsage = 2

func main() {
	var o struct {
		Args struct {
			Tables []string `positional-arg-name:"TABLE" required:"1" description:"routing or fairness"`
		} `positional-args:"true" required:"true"`
	}
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(exitUsage)
	}
	for _, name := range o.Args.Tables {
		table := comparison.Routing()
		switch name {
		case "routing":
		case "fairness":
			table = comparison.Fairness()
		default:
			fmt.Fprintf(os.Stderr, "unknown table %q\n", name)
			os.Exit(exitUsage)
		}
		if err := table.Print(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
