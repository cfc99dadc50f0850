package main

import (
	"net/http"
	"os"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/decisionlog"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/node"
	"fireflypier.example/fireflypier/internal/serving/socket"
	"fireflypier.example/fireflypier/internal/transport"
	"fireflypier.example/fireflypier/platform"
)

// heapGrowth is the garbage collector's target in per cent: memory at its
// peak costs more on the platform than the processor time of collecting.
const heapGrowth = 60

type nodeCommand struct{}

// Execute runs a node on the users' platform until SIGTERM or SIGINT.
func (c *nodeCommand) Execute([]string) error {
	debug.SetGCPercent(heapGrowth)
	cfg, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return failure.Wrap(failure.InvalidObjects, err, "%v", err)
	}
	lines := decisionlog.NewWriter(os.Stdout, clockwork.NewRealClock())
	defer func() { _ = lines.Close() }()
	logger := hclog.New(&hclog.LoggerOptions{Name: cfg.Name, Level: hclog.Info, JSONFormat: true, Output: lines})
	targets := platform.NewTargets(transport.New(transport.WithDial(socket.Default().Dial)))
	n, err := node.New(node.Parts{
		Settings:     cfg,
		Store:        platform.NewStore(cfg.Store),
		Sender:       targets,
		Engines:      targets,
		DecodePolicy: platform.DecodePolicy,
		DecodeTarget: platform.DecodeTarget,
		Front: func(serve func(http.ResponseWriter, *http.Request, *exchange.Request) error, bodyLimit func() int64) http.Handler {
			return platform.Front(serve, bodyLimit)
		},
		Directory: platform.Directory,
		Ready:     platform.Ready,
		Logger:    logger,
	})
	if err != nil {
		return failure.Wrap(failure.Internal, err, "start node")
	}
	ctx, stop := signalContext()
	defer stop()
	return n.Run(ctx)
}
