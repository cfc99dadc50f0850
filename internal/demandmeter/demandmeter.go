// Package demandmeter counts at a gateway what arrives for each model and
// adapter, and tells controllers about it, which place models by it.
package demandmeter

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/feed/feedpb"
	"fireflypier.example/fireflypier/internal/peer"
)

const (
	// interval is the time between two reports.
	interval = 2 * time.Second
	// urgentInterval is the least time between two reports for requests that
	// wait for weights.
	urgentInterval = 50 * time.Millisecond
	callTimeout    = time.Second
)

// Meter counts the work of a gateway. Its methods may be called at the same
// time.
type Meter struct {
	gateway     string
	dialer      *peer.Dialer
	controllers func() []netip.AddrPort
	clock       clockwork.Clock
	logger      hclog.Logger
	urgent      chan struct{}
	done        chan struct{}

	mu      sync.Mutex
	tokens  map[string]int64
	waiting map[string]int64
}

// New returns a meter of the gateway called name, which reports to the
// controllers at the addresses that controllers returns.
func New(name string, dialer *peer.Dialer, controllers func() []netip.AddrPort, clock clockwork.Clock, logger hclog.Logger) *Meter {
	return &Meter{
		gateway: name, dialer: dialer, controllers: controllers, clock: clock, logger: logger,
		urgent: make(chan struct{}, 1), done: make(chan struct{}),
		tokens: map[string]int64{}, waiting: map[string]int64{},
	}
}

// RecordRequest counts the tokens of one request for a model or adapter.
func (m *Meter) RecordRequest(name string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tokens[name] += int64(tokens)
}

// RecordWaiting counts a request that no engine holds the weights for, and has the
// controllers told at once. Call the returned function when it waits no more.
func (m *Meter) RecordWaiting(name string) (ended func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting[name]++
	select {
	case m.urgent <- struct{}{}:
	default:
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.waiting[name]--
	}
}

// Run reports until ctx ends. It may be called once.
func (m *Meter) Run(ctx context.Context) {
	defer close(m.done)
	ticker := m.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-m.urgent:
			m.clock.Sleep(urgentInterval)
		case <-ctx.Done():
			return
		}
		m.report(ctx)
	}
}

// Done is closed when Run has returned.
func (m *Meter) Done() <-chan struct{} { return m.done }

// report tells the controllers what has arrived since the last report. A
// report that is lost is not sent again.
func (m *Meter) report(ctx context.Context) {
	r := m.take()
	if len(r.GetLevels()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for _, addr := range m.controllers() {
		wg.Go(func() {
			if _, err := feedpb.NewDRPCFeedClient(m.dialer.Conn(ctx, addr)).Demand(ctx, r); err != nil {
				m.logger.Debug("demand not reported", "controller", addr, "error", err)
			}
		})
	}
	wg.Wait()
}

// take returns the levels since the last call.
func (m *Meter) take() *feedpb.DemandReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &feedpb.DemandReport{Gateway: m.gateway}
	for name, waiting := range m.waiting {
		r.Levels = append(r.Levels, &feedpb.DemandLevel{Name: name, Tokens: m.tokens[name], Waiting: waiting})
		delete(m.tokens, name)
		if waiting == 0 {
			delete(m.waiting, name)
		}
	}
	for name, tokens := range m.tokens {
		r.Levels = append(r.Levels, &feedpb.DemandLevel{Name: name, Tokens: tokens})
	}
	clear(m.tokens)
	return r
}
