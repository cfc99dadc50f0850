// Package experiment runs a workload against real processes and stand-ins on
// loopback and injects faults on a schedule.
package experiment

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/load"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/settings"
	"fireflypier.example/fireflypier/internal/standin/cloud"
	"fireflypier.example/fireflypier/internal/standin/modelengine"
	"fireflypier.example/fireflypier/internal/workload"
)

// settleTimeout limits the startup, until every model of the workload responds
// at every gateway.
const settleTimeout = 3 * time.Minute

// Experiment is an experiment file.
type Experiment struct {
	// Objects and Workload are file names.
	Objects  string `json:"objects"`
	Workload string `json:"workload"`
	// Region is the region of the nodes. DataCentres are assigned to them round
	// robin.
	Region      string   `json:"region"`
	DataCentres []string `json:"data_centres"`
	// Gateways and Controllers are the numbers of nodes.
	Gateways    int `json:"gateways"`
	Controllers int `json:"controllers"`
	// Weights and Engine configure the stand-ins. Memory, concurrency and
	// fencing of an engine are taken from its target instead.
	Weights cloud.WeightConfig `json:"weights"`
	Engine  modelengine.Config `json:"engine"`
	// Faults are injected during the run, in this order.
	Faults []Fault `json:"faults"`
}

// Read reads an experiment file, JSON with comments.
func Read(file string) (*Experiment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read experiment")
	}
	var e Experiment
	if err := document.Decode(file, data, &e); err != nil {
		return nil, err
	}
	return &e, nil
}

// run is the state of one run of an experiment.
type run struct {
	*Experiment

	work        *workload.Workload
	fleet       *fleet.Fleet
	objects     object.Set
	platform    *fleet.Standin
	targets     map[string]*fleet.Standin
	services    []netip.AddrPort
	gateways    []*fleet.Node
	controllers []*fleet.Node
	logf        func(format string, args ...any)
}

// Run starts all processes in f, runs the workload with or without the faults,
// and returns the result. It calls logf with progress messages; the caller closes
// f.
func (e *Experiment) Run(ctx context.Context, f *fleet.Fleet, withFaults bool, logf func(format string, args ...any)) (*load.Result, error) {
	work, err := workload.Read(e.Workload)
	if err != nil {
		return nil, err
	}
	r := &run{Experiment: e, work: work, fleet: f, targets: map[string]*fleet.Standin{}, logf: logf}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stopFaults()
	if withFaults {
		work.Name += ", with faults"
		wg.Go(func() { r.injectFaults(faultCtx) })
	}
	result := load.New(work, r.addresses(), nil).Run(ctx)
	return result, result.CheckExecutions(ctx, r.services)
}

func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := r.startStandins(ctx); err != nil {
		return err
	}
	if err := r.startNodes(ctx); err != nil {
		return err
	}
	if err := r.checkFaults(ctx); err != nil {
		return err
	}
	edit := &revision.Edit{ID: uuid.NewString(), Put: r.objects}
	if _, err := r.fleet.Operator(r.controllers...).Apply(ctx, edit); err != nil {
		return err
	}
	for _, g := range r.gateways {
		if err := g.Ready(ctx); err != nil {
			return err
		}
	}
	r.logf("started %d engines and services, %d gateways and %d controllers; waiting for the models", len(r.targets), len(r.gateways), len(r.controllers))
	return r.waitForModels(ctx)
}

func (r *run) startStandins(ctx context.Context) error {
	data, err := os.ReadFile(r.Objects)
	if err != nil {
		return errors.Wrap(err, "read objects")
	}
	r.objects = revision.Empty().Objects
	if err := document.Decode(r.Objects, data, &r.objects); err != nil {
		return err
	}
	r.platform, err = r.fleet.StartPlatform(ctx, struct {
		Weights cloud.WeightConfig `json:"weights"`
	}{r.Weights})
	if err != nil {
		return err
	}
	for name, t := range r.objects.Targets {
		s, err := r.startTarget(ctx, name, &t)
		if err != nil {
			return err
		}
		r.targets[name] = s
		t.Address = s.Addr
		r.objects.Targets[name] = t
	}
	return nil
}

func (r *run) startTarget(ctx context.Context, name string, t *object.Target) (*fleet.Standin, error) {
	if r.objects.Pools[t.Pool].Kind != object.PoolEngines {
		s, err := r.fleet.StartService(ctx, name)
		if err == nil {
			r.services = append(r.services, s.Addr)
		}
		return s, err
	}
	cfg := r.Engine
	cfg.MemoryBytes = t.MemoryBytes
	cfg.Concurrency = t.Concurrency
	cfg.ChecksFencing = t.ChecksFencing
	return r.fleet.StartEngine(ctx, name, cfg)
}

func (r *run) startNodes(ctx context.Context) error {
	setLocation := func(i int, p *settings.Process) {
		p.Region = r.Region
		p.DataCentre = r.DataCentres[i%len(r.DataCentres)]
		p.LogLevel = "info"
	}
	for i := range r.Controllers {
		c, err := r.fleet.StartController(ctx, fmt.Sprintf("controller-%d", i), func(cfg *settings.Controller) { setLocation(i, &cfg.Process) })
		if err != nil {
			return err
		}
		r.controllers = append(r.controllers, c)
	}
	for i := range r.Gateways {
		g, err := r.fleet.StartGateway(ctx, fmt.Sprintf("gateway-%d", i), func(cfg *settings.Gateway) { setLocation(i, &cfg.Process) })
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, g)
	}
	return nil
}

func (r *run) addresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, g := range r.gateways {
		list = append(list, g.Addr)
	}
	return list
}
