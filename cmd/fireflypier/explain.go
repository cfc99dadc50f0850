package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/timeline"
)

type explainCommand struct {
	Args struct {
		Request string           `positional-arg-name:"REQUEST-ID"`
		Files   []flags.Filename `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the log lines about one request in order of time.
func (c *explainCommand) Execute([]string) error {
	t := timeline.New(c.Args.Request)
	for _, name := range c.Args.Files {
		if err := readLog(t, string(name)); err != nil {
			return failure.Wrap(failure.NotFound, err, "%v", err)
		}
	}
	if len(t.Lines()) == 0 {
		return failure.New(failure.NotFound, "no log line for request %s", c.Args.Request)
	}
	return t.Print(os.Stdout)
}

func readLog(t *timeline.Timeline, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return t.Read(f)
}
