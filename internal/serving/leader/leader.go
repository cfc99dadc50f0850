// Package leader decides which VM may give orders to engines. The store keeps a
// row with the holder, its fencing number and the end of its term on the
// store's clock. A holder renews its term and stops by its own clock before it
// ends; a successor begins only when the end is longer ago than two VMs' orders
// must lie apart.
package leader

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/boottime"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

const (
	// term is how long a renewal lasts. It spans three renewals, so that one
	// slow call does not end the duty.
	term = 2100 * time.Millisecond
	// renewInterval is the time between renewals.
	renewInterval = 700 * time.Millisecond
	// renewRetry is the time until a renewal that failed is tried again.
	renewRetry = 150 * time.Millisecond
	// sendMargin is left between the last order and the end of the term, for
	// an order that is slow to leave the process.
	sendMargin = 150 * time.Millisecond
	// takeMargin is added to the gap between two holders, for clocks that run
	// at different speeds and orders on their way.
	takeMargin = 300 * time.Millisecond
	// rankDelay spreads the tries of VMs that want the duty at the same time.
	rankDelay = 120 * time.Millisecond
	// lookInterval is the time between two reads of the row while the duty
	// has no live holder.
	lookInterval = 500 * time.Millisecond
)

const rowKey = "orders"

// row is the content of the duty's row.
type row struct {
	// Holder is the holder's address for other VMs, Incarnation its process.
	Holder      netip.AddrPort `json:"holder"`
	Incarnation int64          `json:"incarnation"`
	// Fence is the fencing number of the term.
	Fence int64 `json:"fence"`
	// UntilNanos is the end of the term on the store's clock, in nanoseconds.
	UntilNanos int64 `json:"until_ns"`
}

// Term is one uninterrupted holding of the duty.
type Term struct {
	// Fence is its fencing number.
	Fence int64
	until time.Duration
	clock boottime.Clock
}

// Valid reports whether an order may be sent now.
func (t *Term) Valid() bool { return t != nil && t.clock() < t.until-sendMargin }

// Election competes for the duty. Its methods may be called at the same time.
type Election struct {
	store       rowstore.Store
	self        netip.AddrPort
	incarnation int64
	gap         time.Duration
	clock       clockwork.Clock
	boot        boottime.Clock
	logger      hclog.Logger
	// contend reports whether this VM should try to take the duty now, and
	// its rank among those that do; VMs that hear of a live holder should not.
	contend func() (ok bool, rank int)
	done    chan struct{}

	mu      sync.Mutex
	term    *Term
	version int64
	fence   int64
	// storeTime is the store's clock as of the local time storeAt, taken
	// before the call that told it.
	storeTime, storeAt time.Duration
}

// Option changes a Duty under construction.
type Option func(*Election)

// WithClocks replaces the real clocks.
func WithClocks(c clockwork.Clock, boot boottime.Clock) Option {
	return func(d *Election) { d.clock, d.boot = c, boot }
}

// New returns a duty that is not held. gap is the least time between orders
// of two VMs.
func New(store rowstore.Store, self netip.AddrPort, incarnation int64, gap time.Duration, contend func() (bool, int), logger hclog.Logger, opts ...Option) *Election {
	d := &Election{
		store:       store,
		self:        self,
		incarnation: incarnation,
		gap:         gap,
		clock:       clockwork.NewRealClock(),
		boot:        boottime.System,
		logger:      logger,
		contend:     contend,
		done:        make(chan struct{}),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Term returns the present term; nil when the duty is not held.
func (d *Election) Term() *Term {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.term.Valid() {
		return nil
	}
	return d.term
}

// Fence returns the fencing number of the present term; zero without one.
func (d *Election) Fence() int64 {
	if t := d.Term(); t != nil {
		return t.Fence
	}
	return 0
}

// Run competes for the duty until ctx ends, then gives it up.
func (d *Election) Run(ctx context.Context) {
	defer close(d.done)
	for {
		wait := d.Step(ctx)
		select {
		case <-d.clock.After(wait):
		case <-ctx.Done():
			d.release()
			return
		}
	}
}

// Done is closed when Run has returned.
func (d *Election) Done() <-chan struct{} { return d.done }

// Step renews the duty, or looks whether it is free, and returns the time
// until the next step. Run calls it; tests may instead.
func (d *Election) Step(ctx context.Context) time.Duration {
	if d.held() {
		return d.renew(ctx)
	}
	ok, rank := d.contend()
	if !ok {
		return lookInterval
	}
	if rank > 0 {
		select {
		case <-d.clock.After(time.Duration(rank) * rankDelay):
		case <-ctx.Done():
			return 0
		}
		if ok, _ := d.contend(); !ok {
			return lookInterval
		}
	}
	return d.look(ctx)
}

func (d *Election) held() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == nil {
		return false
	}
	if d.boot() >= d.term.until {
		d.logger.Warn("duty lost, the term has ended without a renewal", "fence", d.term.Fence)
		d.term = nil
		return false
	}
	return true
}

// renew renews the term, and returns the time until the next step.
func (d *Election) renew(ctx context.Context) time.Duration {
	d.mu.Lock()
	version, fence := d.version, d.fence
	d.mu.Unlock()
	result, sent, err := d.write(ctx, version, fence, term)
	switch {
	case errors.Is(err, rowstore.ErrUnanswered):
		d.reread(ctx)
	case err != nil:
		d.logger.Warn("duty not renewed", "fence", fence, "error", err)
	case !result.Applied:
		d.reread(ctx)
	default:
		d.mu.Lock()
		defer d.mu.Unlock()
		d.version = result.Version
		if d.term != nil {
			d.term = &Term{Fence: fence, until: sent + term, clock: d.boot}
		}
		return renewInterval
	}
	return renewRetry
}

// reread settles a renewal with an unknown outcome: the row is still this
// term's, or the duty is lost.
func (d *Election) reread(ctx context.Context) {
	r, version, _, err := d.read(ctx)
	if err != nil {
		return // the term ends by itself
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Holder == d.self && r.Incarnation == d.incarnation && r.Fence == d.fence {
		d.version = version
		return
	}
	d.logger.Warn("duty lost to another VM", "fence", d.fence, "holder", r.Holder, "version", version)
	d.term = nil
}

// write puts a row whose term lasts from now, and notes the store's clock.
func (d *Election) write(ctx context.Context, expect, fence int64, lasts time.Duration) (rowstore.Result, time.Duration, error) {
	sent := d.boot()
	d.mu.Lock()
	// The store's clock is at most this: it was read after storeAt.
	now := d.storeTime + sent - d.storeAt
	d.mu.Unlock()
	value, err := json.Marshal(&row{Holder: d.self, Incarnation: d.incarnation, Fence: fence, UntilNanos: (now + lasts).Nanoseconds()})
	if err != nil {
		return rowstore.Result{}, sent, errors.Wrap(err, "encode duty")
	}
	result, err := d.store.Write(ctx, rowstore.Write{Table: rowstore.Duties, Key: rowKey, Expect: expect, Value: value})
	if err == nil {
		d.note(result.Time, sent)
	}
	return result, sent, err
}

func (d *Election) note(storeTime, sent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeTime, d.storeAt = storeTime, sent
}

func (d *Election) read(ctx context.Context) (r row, version int64, storeTime time.Duration, err error) {
	sent := d.boot()
	page, err := d.store.List(ctx, rowstore.Duties)
	if err != nil {
		return r, 0, 0, err
	}
	d.note(page.Time, sent)
	for _, stored := range page.Rows {
		if stored.Key != rowKey {
			continue
		}
		if err := json.Unmarshal(stored.Value, &r); err != nil {
			return r, 0, 0, errors.Wrap(err, "decode duty")
		}
		return r, stored.Version, page.Time, nil
	}
	return r, 0, page.Time, nil
}

// look reads the row and takes the duty if it is free. It returns the time
// until the next step.
func (d *Election) look(ctx context.Context) time.Duration {
	r, version, storeTime, err := d.read(ctx)
	if err != nil {
		d.logger.Warn("duty not read", "error", err)
		return lookInterval
	}
	// Orders of one VM need no gap, so its next process may begin at once.
	free := time.Duration(r.UntilNanos) + d.gap + takeMargin
	if version != 0 && r.Holder != d.self && storeTime < free {
		return min(max(free-storeTime, rankDelay), lookInterval)
	}
	// The fencing number follows the version that is replaced: it grows with
	// each taking, and renewals keep it.
	fence := version + 1
	result, sent, err := d.write(ctx, version, fence, term)
	if err != nil {
		d.logger.Warn("duty not taken", "error", err)
		return lookInterval
	}
	if !result.Applied {
		return lookInterval
	}
	d.mu.Lock()
	d.version = result.Version
	d.fence = fence
	d.term = &Term{Fence: d.fence, until: sent + term, clock: d.boot}
	d.mu.Unlock()
	d.logger.Info("duty taken", "fence", fence, "former_holder", r.Holder, "version", result.Version)
	return renewInterval
}

// release ends the term at once, so that a successor waits only for the gap.
func (d *Election) release() {
	d.mu.Lock()
	held, version, fence := d.term != nil, d.version, d.fence
	d.term = nil
	d.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewInterval)
	defer cancel()
	if _, _, err := d.write(ctx, version, fence, 0); err != nil {
		d.logger.Warn("duty not released, it ends by itself", "fence", fence, "error", err)
		return
	}
	d.logger.Info("duty released", "fence", fence)
}
