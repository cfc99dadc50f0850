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
	// Kill ends a process at once; it does not come back.
	Kill Kind = "kill"
	// Freeze stops a process for a time.
	Freeze Kind = "freeze"
	// StoreOutage refuses every call of the table and the object store.
	StoreOutage Kind = "store_outage"
)

// Fault is one fault of an experiment.
type Fault struct {
	// At is the time after the first arrival, For how long it lasts.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for,omitzero"`
	// Kind is what happens, Process to whom: gateway-N, controller-N or a
	// target's name, or home:CUSTOMER for the gateway that the customer's
	// callers use at the time; the platform when empty.
	Kind    Kind   `json:"kind"`
	Process string `json:"process,omitzero"`
}

// checkFaults checks that every fault has its process.
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

// bringAbout brings about the faults, in the order of the file.
func (r *run) bringAbout(ctx context.Context) {
	start := time.Now()
	for _, f := range r.Faults {
		if !sleep(ctx, time.Until(start.Add(f.At))) {
			return
		}
		r.say("%s: %s %s", f.At, f.Kind, f.Process)
		if err := r.bring(ctx, &f); err != nil {
			r.say("the fault failed: %v", err)
		}
	}
}

func (r *run) bring(ctx context.Context, f *Fault) error {
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
	return errors.Errorf("there is no fault %q", f.Kind)
}

func (r *run) process(ctx context.Context, name string) (*fleet.Process, error) {
	if customer, ok := strings.CutPrefix(name, "home:"); ok {
		return r.home(ctx, customer)
	}
	if s, ok := r.targets[name]; ok {
		return s.Process, nil
	}
	for _, n := range append(r.gateways[:len(r.gateways):len(r.gateways)], r.controllers...) {
		if n.Name == name {
			return n.Process, nil
		}
	}
	return nil, errors.Errorf("there is no process %q", name)
}

// home returns the gateway that a customer's callers are told to use first.
func (r *run) home(ctx context.Context, customer string) (*fleet.Process, error) {
	c, ok := r.work.Customers[customer]
	if !ok {
		return nil, errors.Errorf("there is no customer %q", customer)
	}
	addresses, err := caller.New(r.addresses(), caller.WithKey(c.Key), caller.WithDataCentre(c.DataCentre)).Addresses(ctx)
	if err != nil {
		return nil, err
	}
	for _, g := range r.gateways {
		if g.Addr == addresses[0] {
			r.say("the home of %s is %s", customer, g.Name)
			return g.Process, nil
		}
	}
	return nil, errors.Errorf("customer %s has no home", customer)
}

func postFault(addr netip.AddrPort, body string) error {
	answer, err := http.Post("http://"+addr.String()+"/standin/fault", "application/json", bytes.NewBufferString(body))
	if err != nil {
		return errors.Wrap(err, "set fault")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("the stand-in answers %s", answer.Status)
	}
	return nil
}

// waitForModels waits until each model of the workload answers at each
// gateway.
func (r *run) waitForModels(ctx context.Context) error {
	for i := range r.work.Streams {
		s := &r.work.Streams[i]
		if s.Model == "" {
			continue
		}
		for _, g := range r.gateways {
			c := caller.New([]netip.AddrPort{g.Addr}, caller.WithKey(r.work.Customers[s.Customer].Key))
			if err := fleet.Eventually(ctx, func() error { return ask(ctx, c, s.Model) }); err != nil {
				return errors.Wrapf(err, "wait for model %s", s.Model)
			}
		}
	}
	return nil
}

func ask(ctx context.Context, c *caller.Caller, model string) error {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[]}`, model)
	answer, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", nil, []byte(body))
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("the gateway answers %s", answer.Status)
	}
	return nil
}

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
