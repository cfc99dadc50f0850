// Package limiter charges requests against the rates of their customers. It
// runs the share protocol for every customer that sends requests here: it
// reads and swaps the share rows, and pulls tokens from other gateways for
// requests that wait.
package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/bucket"
	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/share"
	"fireflypier.example/fireflypier/internal/share/sharepb"
	"fireflypier.example/fireflypier/internal/table"
	"fireflypier.example/fireflypier/internal/vmlist"
)

const (
	// reconcileInterval is the time between two looks at all shares.
	reconcileInterval = 500 * time.Millisecond
	// holderReadInterval is the time between two reads of a row in which
	// this gateway holds a share.
	holderReadInterval = 2 * time.Second
	// otherReadInterval is the same for a gateway that holds none but has
	// requests.
	otherReadInterval = 4 * time.Second
	// listInterval is the time between two reads of the VM list.
	listInterval = 5 * time.Second
	// maxWait bounds the time that a request waits for tokens.
	maxWait = 500 * time.Millisecond
	// leastRetryAfter is the least advice of a refusal.
	leastRetryAfter = 50 * time.Millisecond
)

// Peers carries pulls to other gateways.
type Peers interface {
	// Pull asks the gateway of a holder for tokens.
	Pull(ctx context.Context, h *share.Holder, req *sharepb.PullRequest) (*sharepb.PullReply, error)
}

// Config are what a limiter stands on.
type Config struct {
	// Clock and Logger serve all customers.
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Table holds the share rows.
	Table table.Table
	// Peers reaches other gateways.
	Peers Peers
	// Self names this gateway's process.
	Self share.Holder
	// Gateways returns the other gateways to ask about a customer whose row
	// cannot be read, best first. They need not hold a share.
	Gateways func(customer string) []share.Holder
	// VMs is the platform's list; a holder whose VM was listed and is no more
	// loses its share. Nil means that there is no list.
	VMs vmlist.List
	// CheckAdmission returns an error while this gateway may admit nothing.
	CheckAdmission func() error
}

// Limiter holds this gateway's part of each customer's rate. Its methods may
// be called at the same time.
type Limiter struct {
	parts   Config
	options []share.Option
	counts  *counts
	vms     *presence
	ctx     context.Context
	stop    context.CancelFunc
	pullers conc.WaitGroup
	done    chan struct{}

	mu        sync.RWMutex
	catalog   *catalog.Catalog
	customers map[string]*customer
}

// Option changes a Limiter under construction.
type Option func(*Limiter)

// WithFailureDetector lets shares of silent gateways be taken back; see
// share.WithFailureDetector.
func WithFailureDetector(w share.FailureDetector, bound time.Duration) Option {
	return func(l *Limiter) { l.options = append(l.options, share.WithFailureDetector(w, bound)) }
}

// New returns a limiter that holds no share yet. Call SetCatalog before the
// first Take, and Run.
func New(p Config, opts ...Option) *Limiter {
	ctx, stop := context.WithCancel(context.Background())
	l := &Limiter{
		parts: p, counts: newCounts(), vms: newPresence(p.VMs, p.Self.Address.Addr()), ctx: ctx, stop: stop,
		done: make(chan struct{}), customers: map[string]*customer{},
	}
	l.options = append(l.options, share.WithTerminated(l.vms.gone))
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// reserve returns the gateway of the own region that holds a part of a
// customer's rate when this one would be the only holder. One that has ended
// may still be listed.
func (l *Limiter) reserve(customer string) (h share.Holder, ok bool) {
	for _, h := range l.parts.Gateways(customer) {
		if h.Region == l.parts.Self.Region && !l.vms.gone(&h) {
			return h, true
		}
	}
	return share.Holder{}, false
}

// SetCatalog gives the limiter the rates in force.
func (l *Limiter) SetCatalog(c *catalog.Catalog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catalog = c
	for name, cu := range l.customers {
		if rate, ok := c.Rate(name); ok {
			cu.setRate(rate)
		}
	}
}

// Charge is what a request has paid.
type Charge struct {
	customer *customer
	charge   bucket.Charge
}

// Take charges a customer with tokens; a request that lacks tokens waits a
// short time for them. The errors are RateExceeded, with the time after which
// the tokens will be there, RequestTooCostly, StaleConfiguration, Canceled, and
// StoreUnavailable while neither store nor peers tell who holds the rate.
func (l *Limiter) Take(ctx context.Context, customer string, tokens float64) (Charge, error) {
	cu, err := l.customer(customer)
	if err != nil {
		return Charge{}, err
	}
	if err := l.parts.CheckAdmission(); err != nil {
		return Charge{}, err
	}
	w, charge, err := cu.take(tokens)
	if w == nil {
		return charge, err
	}
	return cu.wait(ctx, w)
}

// customer returns the state of a customer, which begins with its first
// request.
func (l *Limiter) customer(name string) (*customer, error) {
	l.mu.RLock()
	cu, ok := l.customers[name]
	l.mu.RUnlock()
	if ok {
		return cu, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if cu, ok := l.customers[name]; ok {
		return cu, nil
	}
	rate, ok := l.rate(name)
	if !ok {
		return nil, failure.New(failure.Internal, "customer %s has no rate", name)
	}
	cu = newCustomer(l, name, rate)
	l.customers[name] = cu
	return cu, nil
}

func (l *Limiter) rate(name string) (object.Rate, bool) {
	if l.catalog == nil {
		return object.Rate{}, false
	}
	return l.catalog.Rate(name)
}

// Settle gives back what the request did not use. It may be called once.
func (c *Charge) Settle(used float64) {
	if c.customer != nil {
		c.customer.settle(c.charge, used)
	}
}

// Run keeps the shares in step with the table until ctx ends. It may be
// called once.
func (l *Limiter) Run(ctx context.Context) {
	defer close(l.done)
	defer l.pullers.Wait()
	defer l.stop()
	ticker := l.parts.Clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	lists := l.parts.Clock.NewTicker(listInterval)
	defer lists.Stop()
	l.readVMs(ctx)
	for {
		select {
		case <-lists.Chan():
			l.readVMs(ctx)
		case <-ticker.Chan():
			l.reconcile(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (l *Limiter) readVMs(ctx context.Context) {
	if err := l.vms.read(ctx); err != nil {
		l.parts.Logger.Debug("VM list not read", "error", err)
	}
}

// Done is closed when Run has returned.
func (l *Limiter) Done() <-chan struct{} { return l.done }

// reconcileAtOnce bounds the rows that are read and swapped at a time.
const reconcileAtOnce = 16

// reconcile looks at every customer once.
func (l *Limiter) reconcile(ctx context.Context) {
	slots := make(chan struct{}, reconcileAtOnce)
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, cu := range l.all() {
		if !cu.due() {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			cu.reconcile(ctx)
		})
	}
}

func (l *Limiter) all() []*customer {
	l.mu.RLock()
	defer l.mu.RUnlock()
	customers := make([]*customer, 0, len(l.customers))
	for _, cu := range l.customers {
		customers = append(customers, cu)
	}
	return customers
}

// Release gives every share away, for a gateway that leaves and admits no
// more requests.
func (l *Limiter) Release(ctx context.Context) {
	for _, cu := range l.all() {
		cu.release(ctx)
	}
}

// Shares returns the state of every share, for dumps.
func (l *Limiter) Shares() map[string]share.State {
	shares := map[string]share.State{}
	for _, cu := range l.all() {
		shares[cu.name] = cu.state()
	}
	return shares
}
