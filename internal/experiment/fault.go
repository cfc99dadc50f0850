package experiment

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/pkg/caller"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// Kill kills a process; it is not restarted.
	Kill Kind = "kill"
	// Freeze suspends a process for a time.
	Freeze Kind = "freeze"
	// StoreOutage makes the table and the object store refuse every call for a
	// time.
	StoreOutage Kind = "store_outage"
)

// Fault is one fault of an experiment.
type Fault struct {
	// At is the time after the start of the workload, For the duration of the
	// fault; Kill has none.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for,omitzero"`
	// Process is the affected process: gateway-N, controller-N, the name of a
	// target, or home:CUSTOMER for the gateway that the customer's callers use
	// first at that time. StoreOutage ignores it and affects the platform.
	Kind    Kind   `json:"kind"`
	Process string `json:"process,omitzero"`
}

// checkFaults checks that the process of every fault exists.
func (r *run) checkFaults(ctx context.Context) error {
	for _, f := range r.Faults {
		if f.Kind == StoreOutage || strings.HasPrefix(f.Process, "home:") {
			continue
		}
		if _, err := r.process(ctx, f.Process); err != nil {
			return err
		}
	}
	return nil
}

// injectFaults injects the faults in the order of the file, each after the
// previous one has ended.
func (r *run) injectFaults(ctx context.Context) {
	start := time.Now()
	for _, f := range r.Faults {
		if !sleep(ctx, time.Until(start.Add(f.At))) {
			return
		}
		r.logf("%s: %s %s", f.At, f.Kind, f.Process)
		if err := r.inject(ctx, &f); err != nil {
			r.logf("fault injection failed: %v", err)
		}
	}
}

func (r *run) inject(ctx context.Context, f *Fault) error {
	switch f.Kind {
	case StoreOutage:
		if err := postFault(r.platform.Addr, `{"outage": true}`); err != nil {
			return err
		}
		sleep(ctx, f.For)
		return postFault(r.platform.Addr, `{}`)
	case Kill:
		p, err := r.process(ctx, f.Process)
		if err != nil {
			return err
		}
		p.Kill()
		return nil
	case Freeze:
		p, err := r.process(ctx, f.Process)
		if err != nil {
			return err
		}
		if err := p.Freeze(); err != nil {
			return err
		}
		sleep(ctx, f.For)
		return p.Thaw()
	}
	return errors.Errorf("unknown kind of fault %q", f.Kind)
}

func (r *run) process(ctx context.Context, name string) (*fleet.Process, error) {
	if customer, ok := strings.CutPrefix(name, "home:"); ok {
		return r.firstGateway(ctx, customer)
	}
	if s, ok := r.targets[name]; ok {
		return s.Process, nil
	}
	for _, n := range append(r.gateways[:len(r.gateways):len(r.gateways)], r.controllers...) {
		if n.Name == name {
			return n.Process, nil
		}
	}
	return nil, errors.Errorf("unknown process %q", name)
}

// firstGateway returns the gateway whose address is the first that a customer's
// callers receive.
func (r *run) firstGateway(ctx context.Context, customer string) (*fleet.Process, error) {
	c, ok := r.work.Customers[customer]
	if !ok {
		return nil, errors.Errorf("unknown customer %q", customer)
	}
	addresses, err := caller.New(r.addresses(), caller.WithKey(c.Key), caller.WithDataCentre(c.DataCentre)).Addresses(ctx)
	if err != nil {
		return nil, err
	}
	for _, g := range r.gateways {
		if g.Addr == addresses[0] {
			r.logf("callers of customer %s use %s first", customer, g.Name)
			return g.Process, nil
		}
	}
	return nil, errors.Errorf("no gateway has the first address for customer %s", customer)
}

func postFault(addr netip.AddrPort, body string) error {
	response, err := http.Post("http://"+addr.String()+"/standin/fault", "application/json", bytes.NewBufferString(body))
	if err != nil {
		return errors.Wrap(err, "set fault")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("stand-in responded %s", response.Status)
	}
	return nil
}

// waitForModels waits until each model of the workload responds at each gateway.
func (r *run) waitForModels(ctx context.Context) error {
	for i := range r.work.Streams {
		s := &r.work.Streams[i]
		if s.Model == "" {
			continue
		}
		for _, g := range r.gateways {
			c := caller.New([]netip.AddrPort{g.Addr}, caller.WithKey(r.work.Customers[s.Customer].Key))
			if err := fleet.Eventually(ctx, func() error { return probeModel(ctx, c, s.Model) }); err != nil {
				return errors.Wrapf(err, "wait for model %s", s.Model)
			}
		}
	}
	return nil
}

func probeModel(ctx context.Context, c *caller.Caller, model string) error {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[]}`, model)
	response, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", nil, []byte(body))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("gateway responded %s", response.Status)
	}
	return nil
}

// sleep reports whether d passed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
