package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/processmemory"
	"fireflypier.example/fireflypier/internal/serving/bodymemory"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/logwriter"
	"fireflypier.example/fireflypier/internal/serving/machine"
	"fireflypier.example/fireflypier/internal/serving/node"
	"fireflypier.example/fireflypier/internal/serving/socket"
	"fireflypier.example/fireflypier/internal/transport"
	"fireflypier.example/fireflypier/platform"
)

// gcPercent is the garbage collector's target percentage. It is below the default
// because on the platform peak memory costs more than processor time.
const gcPercent = 80

// softLimitShare is the fraction of a process's memory for the heap that is used as the
// soft limit of the Go runtime. The platform kills the process above its limit.
const softLimitShare = 0.8

// limitMemory has the runtime keep the process below its memory limit.
func limitMemory(limit processmemory.Limit) {
	if limit <= 0 {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(limit.Share(softLimitShare))
}

type nodeCommand struct{}

// Execute runs a node on the outside platform until SIGTERM or SIGINT.
func (c *nodeCommand) Execute([]string) error {
	// The settings file may change while the process starts. Without a handler,
	// SIGHUP would then terminate the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	path := os.Getenv(platform.SettingsVariable)
	cfg, err := platform.ReadSettings(path)
	if err != nil {
		return failure.Wrap(failure.InvalidObjects, err, "invalid settings")
	}
	limitMemory(cfg.Memory)
	logOutput := logwriter.NewWriter(os.Stdout, clockwork.NewRealClock())
	defer func() { _ = logOutput.Close() }()
	logger := hclog.New(&hclog.LoggerOptions{Name: cfg.Name, Level: hclog.Info, JSONFormat: true, Output: logOutput})
	logger.Info("program", "version", version, "commit", builtFrom())
	callerSockets := socket.New("callers", socket.WithLogger(logger))
	targetSockets := socket.New("targets", socket.WithLogger(logger))
	storeSockets := socket.New("store", socket.WithLogger(logger))
	targets := platform.NewTargetClient(transport.New(transport.WithDial(targetSockets.Dial)))
	n, err := node.New(node.Config{
		Settings:     cfg,
		Store:        platform.NewStore(cfg.Store, platform.WithStoreDial(storeSockets.Dial)),
		Sender:       targets,
		Engines:      targets,
		DecodePolicy: platform.DecodePolicy,
		DecodeTarget: platform.DecodeTarget,
		Front:        front(cfg, logger),
		Directory:    platform.Directory,
		Ready:        platform.Ready,
		Sockets:      callerSockets,
		Collectors:   []prometheus.Collector{callerSockets.Collector(), targetSockets.Collector(), storeSockets.Collector()},
		Logger:       logger,
	})
	if err != nil {
		return failure.Wrap(failure.Internal, err, "start node")
	}
	ctx, stop := signalContext()
	defer stop()
	go watchSettings(ctx, hangup, path, cfg, n, logger)
	return n.Run(ctx)
}

// bodyMemoryShare is the fraction of the process's memory for the heap that the bodies of
// requests take, with what they leave until it is collected.
const bodyMemoryShare = 0.2

// front returns platform.Front with options for this VM.
func front(cfg *machine.Settings, logger hclog.Logger) func(exchange.Handler, func() int64) http.Handler {
	opts := []platform.FrontOption{platform.WithLogger(logger)}
	if cfg.Memory > 0 {
		opts = append(opts, platform.WithBodyMemory(bodymemory.New(cfg.Memory.Share(bodyMemoryShare))))
	}
	return func(serve exchange.Handler, bodyLimit func() int64) http.Handler {
		return platform.Front(serve, bodyLimit, opts...)
	}
}

// settingsPollInterval is the time between two reads of the settings file, which may
// change without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings reads the settings file on every signal from hangup and every
// settingsPollInterval, until ctx ends. It reloads n on a signal, and otherwise if the
// bounds have changed.
func watchSettings(ctx context.Context, hangup <-chan os.Signal, path string, last *machine.Settings, n *node.Node, logger hclog.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			forced = true
		case <-ticker.C:
		}
		cfg, err := platform.ReadSettings(path)
		switch {
		case err != nil:
			logger.Error("settings cannot be read, the previous ones stay in force", "error", err)
		case forced || cfg.Bounds != last.Bounds:
			n.Reload(cfg)
			last = cfg
		}
	}
}
