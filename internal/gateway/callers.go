package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/assigner"
	"fireflypier.example/fireflypier/internal/auth"
	"fireflypier.example/fireflypier/internal/callerapi"
	"fireflypier.example/fireflypier/internal/dispatch"
	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/plainroute"
	"fireflypier.example/fireflypier/internal/retry"
	"fireflypier.example/fireflypier/internal/scheduler"
	"fireflypier.example/fireflypier/internal/serving/buffermemory"
)

// bodyMemoryShare is the fraction of the process's memory for the heap that the bodies of
// requests in progress take.
const bodyMemoryShare = 0.2

// newCallerAPI creates the caller API and its dependencies.
func (g *Gateway) newCallerAPI(registry *prometheus.Registry) *callerapi.API {
	authenticator := auth.New(g.adoption)
	g.adoption.OnChange(g.limiter.SetCatalog)
	budget := retry.NewBudget(g.clock)
	cfg := &g.cfg.Requests
	bodies := buffermemory.New(g.cfg.Memory().Share(bodyMemoryShare))
	plainRoutes := plainroute.New(plainroute.Config{
		Clock: g.clock, Logger: g.logger, Authenticator: authenticator, Limiter: g.limiter,
		Claims: g.claims, Budget: budget, Ejection: g.ejected, Leaving: g.views.Leaving,
		Bodies: bodies, MaxBodyBytes: g.cfg.MaxBodyBytes, Timeout: g.cfg.RequestTimeout,
		BodyTimeout: g.cfg.BodyTimeout, WriteTimeout: cfg.WriteTimeout,
		MaxRecordedBytes: cfg.MaxRecordedBytes, WriteError: callerapi.WriteError,
	})
	engines := engine.NewClient(engine.WithClock(g.clock),
		engine.WithFrameTimeouts(cfg.FirstFrameTimeout, cfg.FrameTimeout))
	return callerapi.New(callerapi.Config{
		Clock:  g.clock,
		Logger: g.logger,
		Limits: callerapi.Limits{
			MaxBodyBytes:     g.cfg.MaxBodyBytes,
			BodyTimeout:      g.cfg.BodyTimeout,
			RequestTimeout:   g.cfg.RequestTimeout,
			DefaultMaxTokens: g.cfg.DefaultMaxTokens,
			EntryTTL:         g.cfg.EntryTTL,
			WriteTimeout:     cfg.WriteTimeout,
			MaxRecordedBytes: cfg.MaxRecordedBytes,
		},
		Bodies:        bodies,
		Claims:        g.claims,
		Authenticator: authenticator,
		Limiter:       g.limiter,
		Dispatcher: dispatch.New(engines, g.scheduler, g.logger, dispatch.WithClock(g.clock),
			dispatch.WithRetries(budget, g.ejected), dispatch.WithMetrics(registry)),
		Plain:    plainRoutes,
		Gateways: g.entry,
	})
}

func (g *Gateway) newScheduler(registry *prometheus.Registry) *scheduler.Scheduler {
	return scheduler.New(g.views,
		scheduler.WithClock(g.clock),
		scheduler.WithWeight(g.weight),
		scheduler.WithMeter(g.meter),
		scheduler.WithMetrics(registry),
		scheduler.WithAssignerOptions(assigner.WithDataCentre(g.cfg.DataCentre)))
}

// weight returns the scheduling weight of a customer: its rate in tokens per
// second, or 1 if it has none.
func (g *Gateway) weight(customer string) float64 {
	rate, ok := g.adoption.Current().Rate(customer)
	if !ok {
		return 1
	}
	return rate.TokensPerSecond
}
