// Command standin runs a stand-in for an external system, which is the platform, a
// model engine or a plain service, for tests and the demo.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/standin/cloud"
	"fireflypier.example/fireflypier/internal/standin/modelengine"
	"fireflypier.example/fireflypier/internal/standin/plainservice"
	"fireflypier.example/fireflypier/internal/weightstore"
)

const (
	readHeaderTimeout = 10 * time.Second
	exitUsage         = 2
)

// listenOptions holds the options that all stand-ins have.
type listenOptions struct {
	Listen  string `long:"listen" description:"address and port to listen on; port 0 takes a free one" default:"127.0.0.1:0"`
	PortOut string `long:"port-out" description:"file that receives the address once the stand-in listens"`
	Config  string `long:"config" description:"JSON file with the stand-in's configuration"`
}

type platformCommand struct {
	listenOptions
}

type engineCommand struct {
	listenOptions
	Weights string `long:"weights" description:"address and port of the weight store" required:"true"`
}

type serviceCommand struct {
	listenOptions
}

// Execute runs the platform until SIGINT or SIGTERM.
func (c *platformCommand) Execute([]string) error {
	var cfg struct {
		Weights cloud.WeightConfig `json:"weights,omitzero"`
		ListLag time.Duration      `json:"list_lag,omitzero"`
	}
	if err := c.readConfig(&cfg); err != nil {
		return err
	}
	return c.serve(cloud.New(cfg.Weights, cfg.ListLag, clockwork.NewRealClock()).Handler())
}

// Execute runs an engine until SIGINT or SIGTERM.
func (c *engineCommand) Execute([]string) error {
	var cfg modelengine.Config
	if err := c.readConfig(&cfg); err != nil {
		return err
	}
	weights, err := netip.ParseAddrPort(c.Weights)
	if err != nil {
		return errors.Wrap(err, "parse the address of the weight store")
	}
	return c.serve(modelengine.New(cfg, clockwork.NewRealClock(), weightstore.New(weights)).Handler())
}

// Execute runs a plain service until SIGINT or SIGTERM.
func (c *serviceCommand) Execute([]string) error {
	return c.serve(plainservice.New(clockwork.NewRealClock()).Handler())
}

func (o *listenOptions) readConfig(v any) error {
	if o.Config == "" {
		return nil
	}
	data, err := os.ReadFile(o.Config)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	return document.Decode(o.Config, data, v)
}

func (o *listenOptions) serve(h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if err := o.writeAddress(listener.Addr().String()); err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// writeAddress prints the address or writes it to the port file. The file is renamed
// into place, so that no reader sees a partial address.
func (o *listenOptions) writeAddress(address string) error {
	if o.PortOut == "" {
		fmt.Println(address)
		return nil
	}
	partial := o.PortOut + ".partial"
	if err := os.WriteFile(partial, []byte(address), 0o600); err != nil {
		return errors.Wrap(err, "write address")
	}
	return errors.Wrap(os.Rename(partial, o.PortOut), "write address")
}

func main() {
	parser := flags.NewNamedParser("standin", flags.Default)
	commands := []struct {
		name, text string
		command    any
	}{
		{"platform", "Run the platform", &platformCommand{}},
		{"engine", "Run a model engine", &engineCommand{}},
		{"service", "Run a plain service", &serviceCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.text, c.text+" stand-in.", c.command); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
}
