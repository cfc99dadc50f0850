package tests

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/ledger"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/operatorclient"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/settings"
	"fireflypier.example/fireflypier/internal/shardplan"
	"fireflypier.example/fireflypier/internal/standin/cloud"
	"fireflypier.example/fireflypier/internal/standin/modelengine"
	"fireflypier.example/fireflypier/internal/table"
)

// engineFleet is a platform, engines and controllers, with a set of several
// models. Every test with it fails if an engine's memory is overcommitted.
type engineFleet struct {
	*fleet.Fleet
	platform    *fleet.Standin
	configs     []modelengine.Config
	engines     []*fleet.Standin
	controllers []*fleet.Node
	set         object.Set

	mu         sync.Mutex
	overcommit []string
}

const (
	engineMemory = 20 * gib
	loadTime     = 50 * time.Millisecond
)

// startEngineFleet starts the platform and one engine for each value of checks,
// which says whether the engine checks fencing tokens. It prepares a set of
// objects with the given number of models of 5 GiB each, but does not apply it.
func startEngineFleet(ctx context.Context, models int, checks ...bool) *engineFleet {
	f := &engineFleet{Fleet: newFleet()}
	var err error
	f.platform, err = f.StartPlatform(ctx, struct {
		Weights cloud.WeightConfig `json:"weights"`
	}{cloud.WeightConfig{LoadTime: loadTime, AdapterLoadTime: 5 * time.Millisecond}})
	Expect(err).NotTo(HaveOccurred())
	f.set = *(&object.Set{Pools: map[string]object.Pool{"engines": {Kind: object.PoolEngines}}}).Clone()
	for i, checksFencing := range checks {
		f.startEngine(ctx, i, checksFencing)
	}
	for i := range models {
		f.set.Models[fmt.Sprintf("model-%d", i)] = object.Model{Pool: "engines", Version: "1", MemoryBytes: 5 * gib}
	}
	f.set.Customers["circle"] = object.Customer{Rate: "large"}
	f.set.Rates["large"] = object.Rate{TokensPerSecond: 1_000_000, BurstTokens: 1_000_000}
	f.set.Keys["circle-1"] = keyObject("circle", circleKey)
	f.watchMemory()
	return f
}

func (f *engineFleet) startEngine(ctx context.Context, i int, checksFencing bool) {
	cfg := modelengine.Config{
		MemoryBytes: engineMemory, Concurrency: 16, MaxWaiting: 64, StepBase: time.Millisecond,
		ReportLag: 150 * time.Millisecond, UnloadTime: 100 * time.Millisecond, ChecksFencing: checksFencing,
	}
	name := fmt.Sprintf("engine-%d", i)
	e, err := f.StartEngine(ctx, name, cfg)
	Expect(err).NotTo(HaveOccurred())
	f.engines = append(f.engines, e)
	f.configs = append(f.configs, cfg)
	f.set.Targets[name] = object.Target{
		Pool: "engines", Address: e.Addr, DataCentre: "dc-1", VM: "vm-" + name,
		MemoryBytes: engineMemory, Concurrency: 16, ChecksFencing: checksFencing,
	}
}

// startController starts one more controller. platformAddr, if valid, replaces
// the platform's address in its settings.
func (f *engineFleet) startController(ctx context.Context, platformAddr netip.AddrPort) *fleet.Node {
	name := fmt.Sprintf("controller-%d", len(f.controllers))
	c, err := f.StartController(ctx, name, func(cfg *settings.Controller) {
		cfg.CollectInterval = 100 * time.Millisecond
		cfg.PlanInterval = 100 * time.Millisecond
		if platformAddr.IsValid() {
			cfg.Platform = platformAddr
		}
	})
	Expect(err).NotTo(HaveOccurred())
	f.controllers = append(f.controllers, c)
	return c
}

// apply publishes the set and the deletions through a controller, and retries
// until it succeeds.
func (f *engineFleet) apply(ctx context.Context, c *fleet.Node, deleted ...string) {
	client := operatorclient.New([]netip.AddrPort{c.Addr}, fleet.OperatorToken)
	Expect(fleet.Eventually(ctx, func() error {
		current, err := client.Snapshot(ctx)
		if err != nil {
			return err
		}
		_, err = client.Apply(ctx, &revision.Edit{ID: uuid.NewString(), BasedOn: current.Revision, Put: f.set, Delete: deleted})
		return err
	})).To(Succeed())
}

// engineClient reads the reports of engines.
var engineClient = engine.NewClient()

// report returns an engine's report, or nil if the engine does not answer.
func report(ctx context.Context, addr netip.AddrPort) *engine.Report {
	r, err := engineClient.Report(ctx, addr, 0)
	if err != nil {
		return nil
	}
	return r
}

// watchMemory samples the memory of every engine until the test ends, and then
// checks that no engine ever held more than it has.
func (f *engineFleet) watchMemory() {
	ctx, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			f.mu.Lock()
			engines := slices.Clone(f.engines)
			f.mu.Unlock()
			for _, e := range engines {
				f.sample(ctx, e)
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	DeferCleanup(func() {
		stop()
		wg.Wait()
		Expect(f.overcommit).To(BeEmpty())
	})
}

func (f *engineFleet) sample(ctx context.Context, e *fleet.Standin) {
	r := report(ctx, e.Addr)
	if r != nil && (r.Violations > 0 || r.UsedBytes > r.MemoryBytes) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.overcommit = append(f.overcommit, fmt.Sprintf("%s holds %d of %d bytes, %d violations", e.Name, r.UsedBytes, r.MemoryBytes, r.Violations))
	}
}

// waitForReplicas waits until each model of the set is loaded in its version on
// at least the given number of engines.
func (f *engineFleet) waitForReplicas(ctx context.Context, replicas int) {
	GinkgoHelper()
	Expect(fleet.Eventually(ctx, func() error {
		for name, m := range f.set.Models {
			if n := f.replicas(ctx, name, m.Version); n < replicas {
				return fmt.Errorf("%s@%s has %d replicas: %s", name, m.Version, n, f.describe(ctx))
			}
		}
		return nil
	})).To(Succeed())
}

func (f *engineFleet) replicas(ctx context.Context, name, version string) int {
	n := 0
	for _, e := range f.engines {
		if r := report(ctx, e.Addr); r != nil && holdsModel(r, name, version) {
			n++
		}
	}
	return n
}

func holdsModel(r *engine.Report, name, version string) bool {
	for _, e := range r.Entries {
		if e.Kind == object.KindModel && e.Name == name && (version == "" || e.Version == version) && e.State == engine.Loaded {
			return true
		}
	}
	return false
}

func (f *engineFleet) describe(ctx context.Context) string {
	var b strings.Builder
	for _, e := range f.engines {
		if r := report(ctx, e.Addr); r != nil {
			fmt.Fprintf(&b, "\n%s: %d bytes %v", e.Name, r.UsedBytes, r.Entries)
		}
		fmt.Fprintf(&b, "\n%s ledger: %+v", e.Name, f.ledger(ctx, e).Entries)
	}
	return b.String()
}

// ledger returns an engine's ledger as the platform's table stores it.
func (f *engineFleet) ledger(ctx context.Context, e *fleet.Standin) *ledger.Ledger {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.platform.Addr.String()+"/table/row?key="+ledger.RowKey(e.Addr), nil)
	Expect(err).NotTo(HaveOccurred())
	answer, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = answer.Body.Close() }()
	var row table.Row
	if answer.StatusCode == http.StatusOK {
		Expect(json.UnmarshalRead(answer.Body, &row)).To(Succeed())
	}
	l, err := ledger.Decode(e.Addr, row)
	Expect(err).NotTo(HaveOccurred())
	return l
}

// waitForLedgerEntry waits until the ledger of any engine has an entry of the
// model in the given version and state.
func (f *engineFleet) waitForLedgerEntry(ctx context.Context, name, version string, state ledger.State) {
	GinkgoHelper()
	Expect(fleet.Eventually(ctx, func() error {
		for _, e := range f.engines {
			for _, x := range f.ledger(ctx, e).Entries {
				if x.Name == name && x.Version == version && x.State == state {
					return nil
				}
			}
		}
		return fmt.Errorf("no ledger has an entry of %s@%s in state %s", name, version, state)
	})).To(Succeed())
}

// waitForPlanner waits until a controller plans at least one shard.
func waitForPlanner(ctx context.Context, c *fleet.Node) {
	GinkgoHelper()
	Expect(fleet.Eventually(ctx, func() error {
		shards, err := shardsOf(ctx, c)
		if err == nil && len(shards) == 0 {
			err = fmt.Errorf("%s plans no shard", c.Name)
		}
		return err
	})).To(Succeed())
}

// shardsOf returns the status of the shards that a controller plans.
func shardsOf(ctx context.Context, c *fleet.Node) ([]shardplan.Status, error) {
	raw, err := operatorclient.New([]netip.AddrPort{c.Addr}, fleet.OperatorToken).Status(ctx)
	if err != nil {
		return nil, err
	}
	var status struct {
		Shards []shardplan.Status `json:"shards"`
	}
	return status.Shards, json.Unmarshal(raw, &status)
}
