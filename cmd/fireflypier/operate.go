package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/operatorclient"
	"fireflypier.example/fireflypier/internal/revision"
)

// version is the version of the program; the linker sets it for releases.
var version = "development"

// controllerOptions are the options of subcommands that call the controllers.
type controllerOptions struct {
	Controllers []string `long:"controller" env:"FIREFLYPIER_CONTROLLERS" env-delim:"," description:"operator address of a controller; may be repeated" required:"true"`
	Token       string   `long:"token" env:"FIREFLYPIER_TOKEN" description:"operator token" required:"true"`
	Output      string   `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

type checkCommand struct {
	Args fileArgs `positional-args:"true" required:"true"`
}

type fileArgs struct {
	Files []flags.Filename `positional-arg-name:"FILE" required:"1"`
}

type getCommand struct {
	controllerOptions
	Revision int64 `long:"revision" default:"-1" description:"earlier revision to show; the highest by default"`
}

type statusCommand struct{ controllerOptions }

type dumpCommand struct {
	Args struct {
		Admin string `positional-arg-name:"ADDRESS"`
	} `positional-args:"true" required:"true"`
}

type versionCommand struct{}

func (o *controllerOptions) client() (*operatorclient.Client, error) {
	addrs, err := o.addresses()
	if err != nil {
		return nil, err
	}
	return operatorclient.New(addrs, o.Token), nil
}

// addresses returns the operator addresses of the controllers.
func (o *controllerOptions) addresses() ([]netip.AddrPort, error) {
	addrs := make([]netip.AddrPort, 0, len(o.Controllers))
	for _, text := range o.Controllers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, &flags.Error{Type: flags.ErrMarshal, Message: fmt.Sprintf("controller %q is not an address and port", text)}
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// readEdit merges the objects of several files into one edit.
func readEdit(files []flags.Filename) (*revision.Edit, error) {
	merged := revision.Empty().Objects
	for _, file := range files {
		data, err := os.ReadFile(string(file))
		if err != nil {
			return nil, failure.Wrap(failure.NotFound, err, "read objects")
		}
		part := revision.Empty().Objects
		if err := document.Decode(string(file), data, &part); err != nil {
			return nil, err
		}
		merged.Merge(&part)
	}
	return &revision.Edit{Put: merged}, nil
}

// Execute checks object files. It needs no controller.
func (c *checkCommand) Execute([]string) error {
	edit, err := readEdit(c.Args.Files)
	if err != nil {
		return err
	}
	problems := edit.Put.Check()
	for _, p := range problems {
		fmt.Println(p)
	}
	if len(problems) > 0 {
		return failure.New(failure.InvalidObjects, "%d problems", len(problems))
	}
	fmt.Printf("%d objects are consistent\n", len(edit.Put.Refs()))
	return nil
}

// Execute prints the objects in force, or those of an earlier revision.
func (c *getCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	var s *revision.Snapshot
	if c.Revision >= 0 {
		s, err = client.At(ctx, c.Revision)
	} else {
		s, err = client.Snapshot(ctx)
	}
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(s)
	}
	fmt.Printf("// revision %d\n", s.Revision)
	return printJSON(s.Objects)
}

// Execute prints the state of a process.
func (c *dumpCommand) Execute([]string) error {
	answer, err := http.Get("http://" + c.Args.Admin + "/dump")
	if err != nil {
		return errors.Wrap(err, "connect to the admin address")
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(os.Stdout, answer.Body)
	return errors.Wrap(err, "read the state dump")
}

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	fmt.Println("fireflypier", version, builtFrom())
	return nil
}

// builtFrom returns the commit from which the program was built, with "+" if files had
// changed since; empty if it was built without version control.
func builtFrom() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	commit, changed := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return commit + changed
}

func printJSON(v any) error {
	data, err := document.Encode(v)
	if err != nil {
		return err
	}
	fmt.Println(string(data))
	return nil
}
