// Command demo runs the whole system on loopback addresses, with stand-ins for the
// external systems, and prints the result of each step. It exits with status 1 if a
// step fails. Run it in the root of the module: go run ./cmd/demo.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/fleet"
)

// demoTimeout is the time limit of all steps together, without the build.
const demoTimeout = 2 * time.Minute

// step is a step of the demo; run returns the text to print.
type step struct {
	title string
	run   func(ctx context.Context) (string, error)
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run() error {
	dir, err := os.MkdirTemp("", "fireflypier-demo-")
	if err != nil {
		return errors.Wrap(err, "create the working directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fmt.Println("building the programs")
	programs, err := fleet.Build(context.Background(), dir)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d := &demo{fleet: fleet.New(programs, dir)}
	defer d.fleet.Close()
	start := time.Now()
	for i, s := range d.steps() {
		text, err := s.run(ctx)
		if err != nil {
			return errors.Wrap(err, s.title)
		}
		fmt.Printf("%2d. %s\n    %s\n", i+1, s.title, text)
	}
	fmt.Printf("done in %s\n", time.Since(start).Round(time.Second))
	return nil
}
