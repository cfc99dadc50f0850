package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/revision"
	"fireflypier.example/fireflypier/internal/settings"
	"fireflypier.example/fireflypier/internal/standin/cloud"
	"fireflypier.example/fireflypier/internal/standin/modelengine"
	"fireflypier.example/fireflypier/internal/standin/plainservice"
	"fireflypier.example/fireflypier/pkg/caller"
)

const (
	objectsFile  = "examples/wasm-collective/objects.jsonc"
	festivalKey  = "demo-key-festival-amman"
	volunteerKey = "demo-key-volunteers"
	chatBody     = `{"model":"gate-answers","max_tokens":12,"stream":true,"messages":[{"role":"user","content":"Is gate 3 open?"}]}`
	orderBody    = `{"event":"amman","wristbands":250}`
	gateways     = 3
	controllers  = 3
)

// demo holds the processes and callers of a run.
type demo struct {
	fleet       *fleet.Fleet
	objects     object.Set
	gateways    []*fleet.Node
	controllers []*fleet.Node
	festival    *caller.Caller
	volunteer   *caller.Caller
}

func (d *demo) steps() []step {
	return []step{
		{"start the stand-ins: platform, engines, print desks", d.startStandins},
		{"start three controllers and three gateways", d.startNodes},
		{"apply the example objects of the Wasm Collective", d.applyObjects},
		{"stream an answer from a model", d.stream},
		{"send one print order twice with the same id", d.orderTwice},
		{"delete a customer key and check that it is refused", d.withdrawKey},
		{"drain and stop every process", d.drainNodes},
	}
}

func (d *demo) startStandins(ctx context.Context) (string, error) {
	data, err := os.ReadFile(objectsFile)
	if err != nil {
		return "", errors.Wrap(err, "read the example objects")
	}
	d.objects = *(&object.Set{}).Clone()
	if err := document.Decode(objectsFile, data, &d.objects); err != nil {
		return "", err
	}
	platform := struct {
		Weights cloud.WeightConfig `json:"weights"`
	}{cloud.WeightConfig{LoadTime: 100 * time.Millisecond, AdapterLoadTime: 7 * time.Millisecond}}
	if _, err := d.fleet.StartPlatform(ctx, platform); err != nil {
		return "", err
	}
	engines := 0
	for name, t := range d.objects.Targets {
		address, isEngine, err := d.startTarget(ctx, name, &t)
		if err != nil {
			return "", err
		}
		if isEngine {
			engines++
		}
		t.Address = address
		d.objects.Targets[name] = t
	}
	return fmt.Sprintf("%d engines, %d print desks", engines, len(d.objects.Targets)-engines), nil
}

func (d *demo) startTarget(ctx context.Context, name string, t *object.Target) (addr netip.AddrPort, isEngine bool, err error) {
	if d.objects.Pools[t.Pool].Kind != object.PoolEngines {
		s, err := d.fleet.StartService(ctx, name)
		if err != nil {
			return netip.AddrPort{}, false, err
		}
		return s.Addr, false, nil
	}
	s, err := d.fleet.StartEngine(ctx, name, modelengine.Config{
		MemoryBytes: t.MemoryBytes, Concurrency: t.Concurrency, MaxWaiting: 256, CacheBlocks: 4096,
		StepBase: 10 * time.Millisecond, ReportLag: 200 * time.Millisecond, ChecksFencing: t.ChecksFencing,
	})
	if err != nil {
		return netip.AddrPort{}, true, err
	}
	return s.Addr, true, nil
}

func (d *demo) startNodes(ctx context.Context) (string, error) {
	for i := range controllers {
		c, err := d.fleet.StartController(ctx, fmt.Sprintf("controller-%d", i+1), func(cfg *settings.Controller) {
			cfg.Region, cfg.DataCentre = "amman", fmt.Sprintf("amman-%d", i+1)
		})
		if err != nil {
			return "", err
		}
		d.controllers = append(d.controllers, c)
	}
	var seeds []netip.AddrPort
	for i := range gateways {
		g, err := d.fleet.StartGateway(ctx, fmt.Sprintf("gateway-%d", i+1), func(cfg *settings.Gateway) {
			cfg.Region, cfg.DataCentre = "amman", fmt.Sprintf("amman-%d", i+1)
			cfg.EntryTTL = time.Second
		})
		if err != nil {
			return "", err
		}
		d.gateways = append(d.gateways, g)
		seeds = append(seeds, g.Addr)
	}
	d.festival = caller.New(seeds, caller.WithKey(festivalKey))
	d.volunteer = caller.New(seeds, caller.WithKey(volunteerKey))
	return fmt.Sprintf("callers request the gateway addresses from %s", seeds[0]), nil
}

func (d *demo) applyObjects(ctx context.Context) (string, error) {
	operator := d.fleet.Operator(d.controllers...)
	applied, err := operator.Apply(ctx, &revision.Edit{ID: "demo-1", Put: d.objects})
	if err != nil {
		return "", err
	}
	for _, g := range d.gateways {
		if err := g.Ready(ctx); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("revision %d with %d objects is in force", applied.Revision, len(d.objects.Refs())), nil
}

// post sends a POST request and returns the status and body of the response.
func post(ctx context.Context, c *caller.Caller, path, body string, header http.Header) (int, string, error) {
	resp, err := c.Do(ctx, http.MethodPost, path, header, []byte(body))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), errors.Wrap(err, "read the response")
}

func (d *demo) stream(ctx context.Context) (string, error) {
	var body string
	err := fleet.Eventually(ctx, func() error {
		status, text, err := post(ctx, d.festival, "/v1/chat/completions", chatBody, nil)
		body = text
		if err == nil && status != http.StatusOK {
			err = errors.Errorf("the gateway returned status %d: %s", status, text)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	events := strings.Count(body, "data: ")
	if !strings.HasSuffix(body, "data: [DONE]\n\n") {
		return "", errors.New("the stream did not end with [DONE]")
	}
	return fmt.Sprintf("%d events, the last is [DONE]", events), nil
}

func (d *demo) orderTwice(ctx context.Context) (string, error) {
	header := http.Header{"Idempotency-Key": {"order-1"}}
	var answers []string
	for range 2 {
		status, body, err := post(ctx, d.festival, "/print/orders", orderBody, header)
		if err != nil {
			return "", err
		}
		if status != http.StatusOK {
			return "", errors.Errorf("the gateway returned status %d: %s", status, body)
		}
		answers = append(answers, body)
	}
	runs, err := d.executedOrders(ctx)
	if err != nil {
		return "", err
	}
	if runs != 1 || answers[0] != answers[1] {
		return "", errors.Errorf("the order ran %d times; responses %q and %q", runs, answers[0], answers[1])
	}
	return "both requests got the same response; the print desks ran the order once", nil
}

// executedOrders returns the number of orders that the print desks recorded as run.
func (d *demo) executedOrders(ctx context.Context) (int, error) {
	runs := 0
	for _, t := range d.objects.Targets {
		if d.objects.Pools[t.Pool].Kind != object.PoolService {
			continue
		}
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address.String()+"/standin/ran", nil)
		if err != nil {
			return 0, errors.Wrap(err, "build request")
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, errors.Wrap(err, "request the record of the print desk")
		}
		var body struct {
			Ran []plainservice.ExecutedRequest `json:"ran"`
		}
		err = json.UnmarshalRead(resp.Body, &body)
		_ = resp.Body.Close()
		if err != nil {
			return 0, errors.Wrap(err, "decode the print desk's record")
		}
		runs += len(body.Ran)
	}
	return runs, nil
}

func (d *demo) withdrawKey(ctx context.Context) (string, error) {
	status, body, err := post(ctx, d.volunteer, "/gate/3", "", nil)
	if err != nil || status != http.StatusOK {
		return "", errors.Errorf("before the deletion of the key: status %d, body %s, error %v", status, body, err)
	}
	operator := d.fleet.Operator(d.controllers...)
	applied, err := operator.Apply(ctx, &revision.Edit{ID: "demo-2", BasedOn: 1, Delete: []string{"key/volunteers-1"}})
	if err != nil {
		return "", err
	}
	start := time.Now()
	err = fleet.Eventually(ctx, func() error {
		status, body, err = post(ctx, d.volunteer, "/gate/3", "", nil)
		if err == nil && status != http.StatusUnauthorized {
			err = errors.Errorf("the gateway returned status %d: %s", status, body)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("revision %d; refused after %s", applied.Revision, time.Since(start).Round(time.Millisecond)), nil
}

func (d *demo) drainNodes(ctx context.Context) (string, error) {
	nodes := append(append([]*fleet.Node{}, d.gateways...), d.controllers...)
	for _, n := range nodes {
		if err := n.Terminate(); err != nil {
			return "", errors.Wrap(err, "terminate "+n.Name)
		}
	}
	for _, n := range nodes {
		if err := n.Wait(ctx); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d processes ended without an error", len(nodes)), nil
}
