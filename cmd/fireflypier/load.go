package main

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/load"
	"fireflypier.example/fireflypier/internal/workload"
)

type loadCommand struct {
	Workload flags.Filename   `long:"workload" description:"workload file, JSON with comments"`
	Gateways []string         `long:"gateway" description:"address of a gateway to ask for the entry addresses; may be repeated"`
	Ran      []string         `long:"ran" description:"address of a stand-in plain service to ask what it ran; may be repeated"`
	Result   flags.Filename   `long:"result" description:"file that receives the result as JSON"`
	Plot     flags.Filename   `long:"plot" description:"file that receives a plot, .svg or .png"`
	Compare  []flags.Filename `long:"compare" description:"earlier result to show beside; may be repeated; without --workload only these are shown"`
	Output   string           `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

// Execute runs a workload, compares earlier results, or both.
func (c *loadCommand) Execute([]string) error {
	results, err := readResults(c.Compare)
	if err != nil {
		return err
	}
	if c.Workload == "" {
		if len(results) == 0 {
			return &flags.Error{Type: flags.ErrRequired, Message: "give --workload or --compare"}
		}
		return load.WriteText(os.Stdout, results...)
	}
	result, err := c.run()
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(result)
	}
	return load.WriteText(os.Stdout, append(results, result)...)
}

func (c *loadCommand) run() (*load.Result, error) {
	w, err := workload.Read(string(c.Workload))
	if err != nil {
		return nil, err
	}
	gateways, err := addresses("gateway", c.Gateways)
	if err != nil {
		return nil, err
	}
	targets, err := addresses("target", c.Ran)
	if err != nil {
		return nil, err
	}
	if len(gateways) == 0 {
		return nil, &flags.Error{Type: flags.ErrRequired, Message: "give --gateway"}
	}
	ctx, stop := signalContext()
	defer stop()
	result := load.New(w, gateways, func(sent, done int) {
		fmt.Fprintf(os.Stderr, "\r%d sent, %d done", sent, done)
	}).Run(ctx)
	fmt.Fprintln(os.Stderr)
	if len(targets) > 0 {
		if err := result.CheckExecutions(ctx, targets); err != nil {
			return nil, err
		}
	}
	return result, c.writeFiles(result)
}

// writeFiles writes the result and the plot if their options are set.
func (c *loadCommand) writeFiles(result *load.Result) error {
	if c.Result != "" {
		data, err := document.Encode(result)
		if err != nil {
			return err
		}
		if err := os.WriteFile(string(c.Result), data, 0o600); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	if c.Plot != "" {
		return result.Plot(string(c.Plot))
	}
	return nil
}

func readResults(files []flags.Filename) ([]*load.Result, error) {
	var results []*load.Result
	for _, file := range files {
		data, err := os.ReadFile(string(file))
		if err != nil {
			return nil, failure.Wrap(failure.NotFound, err, "read result")
		}
		var r load.Result
		if err := document.Decode(string(file), data, &r); err != nil {
			return nil, err
		}
		results = append(results, &r)
	}
	return results, nil
}

func addresses(kind string, texts []string) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for _, text := range texts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, &flags.Error{Type: flags.ErrMarshal, Message: fmt.Sprintf("%s %q is not an address and port", kind, text)}
		}
		list = append(list, addr)
	}
	return list, nil
}
