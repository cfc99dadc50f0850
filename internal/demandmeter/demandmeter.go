// Package demandmeter counts the work that arrives at a gateway for each model
// and adapter, and reports it to the controllers, which place models by demand.
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
	// interval is the time between two regular reports.
	interval = 2 * time.Second
	// urgentDelay is the delay of a report triggered by a request whose weights
	// no engine has loaded. It limits the rate of these reports.
	urgentDelay = 50 * time.Millisecond
	callTimeout = time.Second
)

// Meter counts the work that arrives at a gateway. It is safe for concurrent use.
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

// New returns a Meter for the gateway with the given name. It reports to the
// addresses that controllers returns at the time of each report.
func New(name string, dialer *peer.Dialer, controllers func() []netip.AddrPort, clock clockwork.Clock, logger hclog.Logger) *Meter {
	return &Meter{
		gateway: name, dialer: dialer, controllers: controllers, clock: clock, logger: logger,
		urgent: make(chan struct{}, 1), done: make(chan struct{}),
		tokens: map[string]int64{}, waiting: map[string]int64{},
	}
}

// RecordRequest adds the tokens of a request to the demand for a model or adapter.
func (m *Meter) RecordRequest(name string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tokens[name] += int64(tokens)
}

// RecordWaiting counts a queued request whose weights no engine has loaded, and
// triggers a report without waiting for the regular interval. The returned
// function must be called when the request is no longer queued.
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

// Run sends reports until ctx is done. It must be called only once.
func (m *Meter) Run(ctx context.Context) {
	defer close(m.done)
	ticker := m.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-m.urgent:
			m.clock.Sleep(urgentDelay)
		case <-ctx.Done():
			return
		}
		m.report(ctx)
	}
}

// Done returns a channel that is closed when Run returns.
func (m *Meter) Done() <-chan struct{} { return m.done }

// report sends the demand since the previous report to all controllers. A failed
// report is not retried.
func (m *Meter) report(ctx context.Context) {
	r := m.takeReport()
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

// takeReport returns the demand since the previous call and resets the tokens.
// A name whose requests no longer wait is reported once with zero waiting
// requests.
func (m *Meter) takeReport() *feedpb.DemandReport {
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
