// Package election elects the VM that may send orders to engines. In the store's
// tables and in log messages, leadership is called the order duty.
//
// A row in the store holds the leader, its fencing token and the end of its term
// on the store's clock. The leader renews its term, and stops by its own clock
// before the term ends. A successor starts its term only after the minimum time
// between orders of two VMs has passed since the end of the previous term.
package election

import (
	"context"
	"net/netip"
	"strconv"
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
	// term is the length of a term from its last renewal. It spans three
	// renewals, so that one slow call does not end the term.
	term = 2100 * time.Millisecond
	// renewInterval is the time between renewals.
	renewInterval = 700 * time.Millisecond
	// renewRetryInterval is the time until a failed renewal is retried.
	renewRetryInterval = 150 * time.Millisecond
	// sendMargin is the time before the end of the term in which no order is sent,
	// for an order that is slow to leave the process.
	sendMargin = 150 * time.Millisecond
	// takeoverMargin is added to the gap between two leaders, for clock drift and
	// orders in transit.
	takeoverMargin = 300 * time.Millisecond
	// rankDelay is the delay per rank that staggers the attempts of candidates.
	rankDelay = 120 * time.Millisecond
	// pollInterval is the maximum time until a VM without a term checks again
	// whether it may become leader.
	pollInterval = 500 * time.Millisecond
)

// rowKey returns the key of the row in an epoch of the store. After the store was restored
// from a copy, numbers of versions are given out again, so that a write of a VM that does
// not know of it could meet its condition by chance: it then changes a row of the past.
func rowKey(epoch int64) string {
	if epoch <= firstEpoch {
		return "orders"
	}
	return "orders-" + strconv.FormatInt(epoch, 10)
}

// firstEpoch is the epoch of a store that was never restored.
const firstEpoch = 1

// row is the content of the leadership row.
type row struct {
	// Holder is the leader's address for other VMs, Incarnation its process.
	Holder      netip.AddrPort `json:"holder"`
	Incarnation int64          `json:"incarnation"`
	// Fence is the fencing token of the term.
	Fence int64 `json:"fence"`
	// UntilNanos is the end of the term on the store's clock, in nanoseconds.
	UntilNanos int64 `json:"until_ns"`
}

// Term is one uninterrupted period of leadership.
type Term struct {
	// Fence is the fencing token of the term.
	Fence int64
	// Inherited is set if another process led before, and Vacancy is then the time since
	// the end of its term when this one began.
	Inherited bool
	Vacancy   time.Duration

	until time.Duration
	clock boottime.Clock
}

// Valid reports whether an order may be sent now; a nil term is not valid.
func (t *Term) Valid() bool { return t != nil && t.clock() < t.until-sendMargin }

// Election acquires, renews and releases leadership for one VM. It is safe for
// concurrent use.
type Election struct {
	store       rowstore.Store
	self        netip.AddrPort
	incarnation int64
	orderGap    time.Duration
	clock       clockwork.Clock
	boot        boottime.Clock
	logger      hclog.Logger
	// candidate reports whether this VM should try to become leader now, and its
	// rank among the candidates. A VM with a live leader among its peers should not.
	candidate func() (ok bool, rank int)
	done      chan struct{}

	mu      sync.Mutex
	term    *Term
	version int64
	fence   int64
	// epoch is the store's epoch, zero before the first answer. restoredAt is the local
	// time at which this VM learned that the store was restored to it from a copy; zero
	// if it was not.
	epoch      int64
	restoredAt time.Duration
	// ledUntil is the end of this process's last term; zero if it had none, released
	// it, or lost it to another VM.
	ledUntil time.Duration
	// storeTime is the last reading of the store's clock. storeTimeAt is the local
	// time before the call that returned it.
	storeTime, storeTimeAt time.Duration
}

// Option configures an Election.
type Option func(*Election)

// WithClocks replaces the real clocks.
func WithClocks(c clockwork.Clock, boot boottime.Clock) Option {
	return func(e *Election) { e.clock, e.boot = c, boot }
}

// New returns an election without a term. orderGap is the minimum time between
// orders of two VMs. candidate reports whether this VM should try to become leader
// now, and its rank among the candidates.
func New(store rowstore.Store, self netip.AddrPort, incarnation int64, orderGap time.Duration, candidate func() (bool, int), logger hclog.Logger, opts ...Option) *Election {
	e := &Election{
		store:       store,
		self:        self,
		incarnation: incarnation,
		orderGap:    orderGap,
		clock:       clockwork.NewRealClock(),
		boot:        boottime.System,
		logger:      logger,
		candidate:   candidate,
		done:        make(chan struct{}),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Term returns the current term; nil if this VM is not the leader.
func (e *Election) Term() *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.term.Valid() {
		return nil
	}
	return e.term
}

// Fence returns the fencing token of the current term; zero without one.
func (e *Election) Fence() int64 {
	if t := e.Term(); t != nil {
		return t.Fence
	}
	return 0
}

// Run takes part in the election until ctx ends, then releases a term that it
// holds.
func (e *Election) Run(ctx context.Context) {
	defer close(e.done)
	for {
		wait := e.Step(ctx)
		select {
		case <-e.clock.After(wait):
		case <-ctx.Done():
			e.release()
			return
		}
	}
}

// Done is closed when Run has returned.
func (e *Election) Done() <-chan struct{} { return e.done }

// Step renews the term, or tries to become leader, and returns the time until the
// next step. Run calls it; tests may call it directly.
func (e *Election) Step(ctx context.Context) time.Duration {
	switch held, current := e.holdsTerm(); {
	case current:
		return e.renew(ctx)
	case held:
		return e.tryAcquire(ctx) // the leader does not leave its duty to others
	}
	ok, rank := e.candidate()
	if !ok {
		return pollInterval
	}
	if rank > 0 {
		select {
		case <-e.clock.After(time.Duration(rank) * rankDelay):
		case <-ctx.Done():
			return 0
		}
		if ok, _ := e.candidate(); !ok {
			return pollInterval
		}
	}
	return e.tryAcquire(ctx)
}

// holdsTerm reports whether there is a term, and ends one that was not renewed. current is
// set if the term is of the store's epoch and can be renewed.
func (e *Election) holdsTerm() (held, current bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == nil {
		return false, false
	}
	if e.boot() >= e.term.until {
		e.logger.Warn("duty lost: the term ended without a renewal", "fence", e.term.Fence)
		e.term = nil
		return false, false
	}
	return true, rowstore.Epoch(e.version) == e.epoch
}

// enterEpoch records the epoch of an answer of the store. The caller holds e.mu.
func (e *Election) enterEpoch(epoch int64) {
	if epoch <= e.epoch {
		return
	}
	if e.epoch != 0 || epoch > firstEpoch {
		e.restoredAt = e.boot() // a process that has just started assumes the latest time
	}
	if e.epoch != 0 {
		e.logger.Warn("store of the duty was restored from a copy", "epoch", epoch, "former_epoch", e.epoch, "fence", e.fence, "leads", e.term != nil)
	}
	e.epoch = epoch
}

// renew renews the term, and returns the time until the next step.
func (e *Election) renew(ctx context.Context) time.Duration {
	e.mu.Lock()
	version, fence := e.version, e.fence
	e.mu.Unlock()
	result, sent, err := e.write(ctx, version, fence, term)
	switch {
	case errors.Is(err, rowstore.ErrUnanswered), errors.Is(err, rowstore.ErrRestored):
		e.resolveRenewal(ctx)
	case err != nil:
		e.logger.Warn("duty not renewed", "fence", fence, "error", err)
	case !result.Applied:
		e.resolveRenewal(ctx)
	default:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.version = result.Version
		if e.term != nil {
			renewed := *e.term
			renewed.until = sent + term
			e.term, e.ledUntil = &renewed, renewed.until
		}
		return renewInterval
	}
	return renewRetryInterval
}

// resolveRenewal reads the row after a renewal with an unknown or negative outcome.
// The term continues if the row is still that of this term, else it is lost. It also
// continues, until its end, if the store was restored from a copy: nobody leads in the new
// epoch before all terms of the old one have ended.
func (e *Election) resolveRenewal(ctx context.Context) {
	r, version, _, err := e.read(ctx)
	if err != nil {
		return // without a renewal the term expires
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if rowstore.Epoch(e.version) != e.epoch {
		return
	}
	if r.Holder == e.self && r.Incarnation == e.incarnation && r.Fence == e.fence {
		e.version = version
		return
	}
	e.ledUntil = 0
	e.logger.Warn("duty lost to another VM", "fence", e.fence, "holder", r.Holder, "version", version)
	e.term = nil
}

// write writes a row whose term ends after duration, and records the store's clock.
// It also returns the local time before the call.
func (e *Election) write(ctx context.Context, expect, fence int64, duration time.Duration) (rowstore.Result, time.Duration, error) {
	sent := e.boot()
	e.mu.Lock()
	// now is an upper bound of the store's clock at the local time sent, because
	// storeTime was read after storeTimeAt.
	now := e.storeTime + sent - e.storeTimeAt
	key := rowKey(e.epoch)
	e.mu.Unlock()
	value, err := json.Marshal(&row{Holder: e.self, Incarnation: e.incarnation, Fence: fence, UntilNanos: (now + duration).Nanoseconds()})
	if err != nil {
		return rowstore.Result{}, sent, errors.Wrap(err, "encode leadership row")
	}
	result, err := e.store.Write(ctx, rowstore.Write{Table: rowstore.Duties, Key: key, Expect: expect, Value: value})
	if err == nil {
		e.recordStoreTime(result.Time, sent)
	}
	return result, sent, err
}

// recordStoreTime records a reading of the store's clock by a call sent at the
// local time sent.
func (e *Election) recordStoreTime(storeTime, sent time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeTime, e.storeTimeAt = storeTime, sent
}

// read returns the row of the store's epoch, its version and the store's clock. The version
// is zero if there is no row.
func (e *Election) read(ctx context.Context) (r row, version int64, storeTime time.Duration, err error) {
	sent := e.boot()
	page, err := e.store.List(ctx, rowstore.Duties)
	if err != nil {
		return r, 0, 0, err
	}
	e.recordStoreTime(page.Time, sent)
	epoch := rowstore.Epoch(page.Version)
	e.mu.Lock()
	e.enterEpoch(epoch)
	e.mu.Unlock()
	for _, stored := range page.Rows {
		if stored.Key != rowKey(epoch) {
			continue
		}
		if err := json.Unmarshal(stored.Value, &r); err != nil {
			return r, 0, 0, errors.Wrap(err, "decode leadership row")
		}
		return r, stored.Version, page.Time, nil
	}
	return r, 0, page.Time, nil
}

// tryAcquire reads the row and starts a term if the previous one has ended long
// enough ago. It returns the time until the next step.
func (e *Election) tryAcquire(ctx context.Context) time.Duration {
	r, version, storeTime, err := e.read(ctx)
	if err != nil {
		e.logger.Warn("duty not read", "error", err)
		return pollInterval
	}
	// Orders of the same VM need no gap, so its next process may start at once.
	availableAt := time.Duration(r.UntilNanos) + e.orderGap + takeoverMargin
	if version != 0 && r.Holder != e.self && storeTime < availableAt {
		return min(max(availableAt-storeTime, rankDelay), pollInterval)
	}
	wait, former := e.formerTerms()
	if version == 0 && wait > 0 {
		return min(wait, pollInterval)
	}
	// The fencing token is the replaced version plus one: it grows with each new
	// term and stays the same over renewals. Versions of a later epoch are higher.
	fence := version + 1
	if version == 0 {
		fence = rowstore.VersionAt(e.currentEpoch(), 0) + 1
	}
	result, sent, err := e.write(ctx, version, fence, term)
	if err != nil {
		e.logger.Warn("duty not taken", "error", err)
		return pollInterval
	}
	if !result.Applied {
		return pollInterval
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch := rowstore.Epoch(result.Version); epoch != e.epoch {
		e.enterEpoch(epoch) // restored since the row was read: the write has changed a row of the past
		return pollInterval
	}
	e.version = result.Version
	e.fence = fence
	e.term = &Term{
		Fence:     e.fence,
		Inherited: version != 0 && (r.Holder != e.self || r.Incarnation != e.incarnation),
		Vacancy:   max(0, storeTime-time.Duration(r.UntilNanos)),
		until:     sent + term,
		clock:     e.boot,
	}
	if version == 0 {
		e.term.Inherited, e.term.Vacancy = former, max(0, sent-e.restoredAt-term)
	}
	e.ledUntil = e.term.until
	e.logger.Info("duty taken", "fence", fence, "former_holder", r.Holder, "version", result.Version)
	return renewInterval
}

// formerTerms returns the time until all terms of the epoch before have ended, and the
// order gap has passed, if the store was restored from a copy. It is zero for the VM that
// led last. former is set if another VM may have led in that epoch.
func (e *Election) formerTerms() (wait time.Duration, former bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restoredAt == 0 {
		return 0, false
	}
	// No VM takes over from this one within the order gap.
	if e.ledUntil != 0 && e.restoredAt < e.ledUntil+e.orderGap {
		return 0, false
	}
	return max(0, e.restoredAt+term+e.orderGap+takeoverMargin-e.boot()), true
}

func (e *Election) currentEpoch() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch
}

// release ends the term immediately, so that a successor waits only for the order
// gap and takeoverMargin.
func (e *Election) release() {
	e.mu.Lock()
	held, version, fence := e.term != nil, e.version, e.fence
	e.term, e.ledUntil = nil, 0
	e.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewInterval)
	defer cancel()
	if _, _, err := e.write(ctx, version, fence, 0); err != nil {
		e.logger.Warn("duty not released: the term will expire", "fence", fence, "error", err)
		return
	}
	e.logger.Info("duty released", "fence", fence)
}
