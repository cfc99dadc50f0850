package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/logwriter"
	"fireflypier.example/fireflypier/internal/serving/machine"
	"fireflypier.example/fireflypier/internal/serving/node"
	"fireflypier.example/fireflypier/internal/serving/socket"
	"fireflypier.example/fireflypier/internal/transport"
	"fireflypier.example/fireflypier/platform"
)

// heapGrowth is the garbage collector's target in per cent: memory at its
// peak costs more on the platform than the processor time of collecting.
const heapGrowth = 30

// memoryShare is the part of the process's memory limit at which the garbage
// collector works harder; above the limit the platform kills the process.
const memoryShare = 0.75

type nodeCommand struct{}

// Execute runs a node on the users' platform until SIGTERM or SIGINT.
func (c *nodeCommand) Execute([]string) error {
	debug.SetGCPercent(heapGrowth)
	// A settings file may change while the process starts; without a receiver
	// the signal would end it.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	path := os.Getenv(platform.SettingsVariable)
	cfg, err := platform.ReadSettings(path)
	if err != nil {
		return failure.Wrap(failure.InvalidObjects, err, "settings refused")
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryBytes)))
	lines := logwriter.NewWriter(os.Stdout, clockwork.NewRealClock())
	defer func() { _ = lines.Close() }()
	logger := hclog.New(&hclog.LoggerOptions{Name: cfg.Name, Level: hclog.Info, JSONFormat: true, Output: lines})
	targets := platform.NewTargetClient(transport.New(transport.WithDial(socket.Default().Dial)))
	n, err := node.New(node.Config{
		Settings:     cfg,
		Store:        platform.NewStore(cfg.Store),
		Sender:       targets,
		Engines:      targets,
		DecodePolicy: platform.DecodePolicy,
		DecodeTarget: platform.DecodeTarget,
		Front:        platform.Front,
		Directory:    platform.Directory,
		Ready:        platform.Ready,
		Logger:       logger,
	})
	if err != nil {
		return failure.Wrap(failure.Internal, err, "start node")
	}
	ctx, stop := signalContext()
	defer stop()
	go followSettings(ctx, hangup, path, cfg, n, logger)
	return n.Run(ctx)
}

// settingsInterval is the time between two looks at the settings file, which
// may change without a signal.
const settingsInterval = 5 * time.Second

// followSettings reads the settings again on SIGHUP, and when they change.
func followSettings(ctx context.Context, hangup <-chan os.Signal, path string, last *machine.Settings, n *node.Node, logger hclog.Logger) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			asked = true
		case <-ticker.C:
		}
		cfg, err := platform.ReadSettings(path)
		switch {
		case err != nil:
			logger.Error("settings cannot be read, the last ones stay", "error", err)
		case asked || cfg.Bounds != last.Bounds:
			n.Reload(cfg)
			last = cfg
		}
	}
}
