// Command experiment runs an experiment file against real processes on
// loopback, once without and once with its faults, and prints both results
// side by side. It builds the processes, so run it within the module:
//
//	go run ./cmd/experiment examples/experiments/wasm-gates.jsonc
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/experiment"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/load"
)

const exitUsage = 2

type options struct {
	Plots flags.Filename `long:"plots" description:"directory that receives a plot of each run"`
	Args  struct {
		File flags.Filename `positional-arg-name:"FILE"`
	} `positional-args:"true" required:"true"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(exitUsage)
	}
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, "experiment failed:", err)
		os.Exit(1)
	}
}

func run(o *options) error {
	e, err := experiment.Read(string(o.Args.File))
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "fireflypier-experiment-")
	if err != nil {
		return errors.Wrap(err, "create directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs, err := fleet.Build(context.Background(), dir)
	if err != nil {
		return err
	}
	var results []*load.Result
	for _, name := range []string{"plain", "faults"} {
		result, err := runOnce(e, programs, filepath.Join(dir, name), name == "faults")
		if err != nil {
			return err
		}
		results = append(results, result)
		if o.Plots != "" {
			if err := result.Plot(filepath.Join(string(o.Plots), name+".svg")); err != nil {
				return err
			}
		}
	}
	return load.WriteText(os.Stdout, results...)
}

func runOnce(e *experiment.Experiment, programs fleet.Programs, dir string, withFaults bool) (*load.Result, error) {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	f := fleet.New(programs, dir)
	defer f.Close()
	return e.Run(context.Background(), f, withFaults, func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, format+"\n", args...)
	})
}
