// Package limiter charges requests against the rates of their customers. It
// runs the share protocol for every customer that sends requests to this
// gateway: it reads the share rows, replaces them by compare-and-swap, and pulls
// tokens from other gateways for waiting requests.
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
	// reconcileInterval is the time between two reconciliations of all shares.
	reconcileInterval = 500 * time.Millisecond
	// holderReadInterval is the time between two reads of a row in which this
	// gateway holds parts.
	holderReadInterval = 2 * time.Second
	// nonHolderReadInterval is the same for a gateway that holds no parts but
	// has requests.
	nonHolderReadInterval = 4 * time.Second
	// vmListInterval is the time between two reads of the VM list.
	vmListInterval = 5 * time.Second
	// maxWait is the longest time for which a request waits for tokens.
	maxWait = 500 * time.Millisecond
	// minRetryAfter is the minimum Retry-After of a refused request.
	minRetryAfter = 50 * time.Millisecond
)

// Peers sends pulls to other gateways.
type Peers interface {
	// Pull requests tokens from the gateway of a holder.
	Pull(ctx context.Context, h *share.Holder, req *sharepb.PullRequest) (*sharepb.PullReply, error)
}

// Config contains the dependencies of a limiter. All fields but VMs are
// required.
type Config struct {
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Table is the store of the share rows.
	Table table.Table
	// Peers sends pulls to other gateways.
	Peers Peers
	// Self identifies this gateway's process.
	Self share.Holder
	// Gateways returns the other gateways in order of preference. They receive
	// the pulls for a customer whose row cannot be read, and one of them is the
	// standby of a customer. They need not hold a share.
	Gateways func(customer string) []share.Holder
	// VMs is the platform's list of VMs. A holder loses its share if its VM was
	// listed before and is no longer listed. Nil means that there is no list.
	VMs vmlist.List
	// CheckAdmission returns an error while this gateway must not admit
	// requests or lend tokens.
	CheckAdmission func() error
}

// Limiter holds this gateway's share of each customer's rate. It is safe for
// concurrent use.
type Limiter struct {
	config       Config
	options      []share.Option
	metrics      *metrics
	terminations *terminationTracker
	ctx          context.Context
	stop         context.CancelFunc
	pullers      conc.WaitGroup
	done         chan struct{}

	mu        sync.RWMutex
	catalog   *catalog.Catalog
	customers map[string]*customer
}

// Option configures a Limiter in New.
type Option func(*Limiter)

// WithFailureDetector lets the limiter claim the shares of silent gateways; see
// share.WithFailureDetector.
func WithFailureDetector(d share.FailureDetector, silenceBound time.Duration) Option {
	return func(l *Limiter) { l.options = append(l.options, share.WithFailureDetector(d, silenceBound)) }
}

// New returns a limiter that holds no share yet. Call SetCatalog before the
// first Take, and Run.
func New(c Config, opts ...Option) *Limiter {
	ctx, stop := context.WithCancel(context.Background())
	l := &Limiter{
		config: c, metrics: newMetrics(), terminations: newTerminationTracker(c.VMs, c.Self.Address.Addr()), ctx: ctx, stop: stop,
		done: make(chan struct{}), customers: map[string]*customer{},
	}
	l.options = append(l.options, share.WithTerminated(l.terminations.hasTerminated))
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// standby returns the gateway of the own region that gets a part of a customer's
// rate when this gateway would be the only holder. It skips terminated gateways,
// which Config.Gateways may still return.
func (l *Limiter) standby(customer string) (h share.Holder, ok bool) {
	for _, h := range l.config.Gateways(customer) {
		if h.Region == l.config.Self.Region && !l.terminations.hasTerminated(&h) {
			return h, true
		}
	}
	return share.Holder{}, false
}

// SetCatalog sets the rates in force. A customer that is missing in c keeps its
// previous rate.
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

// Charge records the tokens charged for a request. Settle does nothing on the
// zero value.
type Charge struct {
	customer *customer
	charge   bucket.Charge
}

// Take charges a customer for a request; if there are too few tokens, the
// request waits for them up to maxWait. The errors are RateExceeded, with the
// time after which the tokens will be available, RequestTooCostly, Canceled,
// StoreUnavailable while neither the store nor a peer provides the share row,
// and those of Config.CheckAdmission, such as StaleConfiguration.
func (l *Limiter) Take(ctx context.Context, customer string, tokens float64) (Charge, error) {
	cu, err := l.customer(customer)
	if err != nil {
		return Charge{}, err
	}
	if err := l.config.CheckAdmission(); err != nil {
		return Charge{}, err
	}
	w, charge, err := cu.take(tokens)
	if w == nil {
		return charge, err
	}
	return cu.wait(ctx, w)
}

// customer returns the state of a customer and creates it on first use.
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

// Settle returns the tokens that the request did not use. It may be called once.
func (c *Charge) Settle(used float64) {
	if c.customer != nil {
		c.customer.settle(c.charge, used)
	}
}

// Run reconciles the shares with the store until ctx ends. It may be called
// once.
func (l *Limiter) Run(ctx context.Context) {
	defer close(l.done)
	defer l.pullers.Wait()
	defer l.stop()
	ticker := l.config.Clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	vmListTicker := l.config.Clock.NewTicker(vmListInterval)
	defer vmListTicker.Stop()
	l.readVMs(ctx)
	for {
		select {
		case <-vmListTicker.Chan():
			l.readVMs(ctx)
		case <-ticker.Chan():
			l.reconcile(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (l *Limiter) readVMs(ctx context.Context) {
	if err := l.terminations.read(ctx); err != nil {
		l.config.Logger.Debug("VM list not read", "error", err)
	}
}

// Done is closed when Run has returned.
func (l *Limiter) Done() <-chan struct{} { return l.done }

// maxConcurrentReconciles bounds the rows that are read and swapped at the same
// time.
const maxConcurrentReconciles = 16

// reconcile reconciles the share rows that are due.
func (l *Limiter) reconcile(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentReconciles)
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, cu := range l.all() {
		if !cu.reconcileDue() {
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

// Release hands over every share. The gateway must admit no more requests.
func (l *Limiter) Release(ctx context.Context) {
	for _, cu := range l.all() {
		cu.release(ctx)
	}
}

// Shares returns the state of every share by customer, for dumps.
func (l *Limiter) Shares() map[string]share.State {
	shares := map[string]share.State{}
	for _, cu := range l.all() {
		shares[cu.name] = cu.state()
	}
	return shares
}
