package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"fireflypier.example/fireflypier/internal/controller"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/gateway"
	"fireflypier.example/fireflypier/internal/processmemory"
	"fireflypier.example/fireflypier/internal/settings"
	"fireflypier.example/fireflypier/platform"
)

type gatewayCommand struct {
	Settings flags.Filename `long:"settings" description:"settings file, JSON with comments" required:"true"`
}

type controllerCommand struct {
	Settings flags.Filename `long:"settings" description:"settings file, JSON with comments" required:"true"`
}

type settingsCommand struct {
	Role string `long:"role" description:"what the settings are for" choice:"gateway" choice:"controller" choice:"node" required:"true"`
	Args struct {
		File flags.Filename `positional-arg-name:"FILE"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the gateway until SIGTERM or SIGINT.
func (c *gatewayCommand) Execute([]string) error {
	cfg, err := settings.ReadGateway(string(c.Settings))
	if err != nil {
		return err
	}
	limitMemory(processmemory.Limit(cfg.MemoryMB << 20))
	g, err := gateway.New(cfg, gateway.WithLogger(newLogger(&cfg.Process)))
	if err != nil {
		return failure.Wrap(failure.Internal, err, "start gateway")
	}
	ctx, stop := signalContext()
	defer stop()
	return g.Run(ctx)
}

// Execute runs the controller until SIGTERM or SIGINT.
func (c *controllerCommand) Execute([]string) error {
	cfg, err := settings.ReadController(string(c.Settings))
	if err != nil {
		return err
	}
	limitMemory(processmemory.Limit(cfg.MemoryMB << 20))
	ctl, err := controller.New(cfg, controller.WithLogger(newLogger(&cfg.Process)))
	if err != nil {
		return failure.Wrap(failure.Internal, err, "start controller")
	}
	ctx, stop := signalContext()
	defer stop()
	return ctl.Run(ctx)
}

// Execute checks a settings file.
func (c *settingsCommand) Execute([]string) error {
	var err error
	switch c.Role {
	case "gateway":
		_, err = settings.ReadGateway(string(c.Args.File))
	case "controller":
		_, err = settings.ReadController(string(c.Args.File))
	default:
		if _, err = platform.ReadSettings(string(c.Args.File)); err != nil {
			err = failure.Wrap(failure.InvalidObjects, err, "invalid settings")
		}
	}
	return err
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func newLogger(cfg *settings.Process) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       cfg.Name,
		Level:      hclog.LevelFromString(cfg.LogLevel),
		JSONFormat: cfg.LogJSON,
		Output:     os.Stderr,
	})
}
