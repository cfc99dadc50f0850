// Package tablefeed keeps a copy of one table of the platform's store. It
// follows the store's changes, and takes them from peers where the store turns
// this VM away.
package tablefeed

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

const (
	// pollWait bounds one long poll. A connection that has fallen silent
	// is noticed after it; peers tell of changes meanwhile.
	pollWait = 4 * time.Second
	// minPollInterval is the least time between two polls, so that a table that
	// changes all the time does not cost a call for each change; operators
	// allow two seconds from a change to its effect.
	minPollInterval = 400 * time.Millisecond
	// heldPollWait bounds a long poll while rows are held, so that they are
	// dropped in time.
	heldPollWait = 300 * time.Millisecond
	// idleInterval is the time between two looks whether to follow the store.
	idleInterval = 300 * time.Millisecond
	// retryInterval is the time between two tries while the store fails; it keeps
	// the calls of all VMs far below the store's rate.
	retryInterval = 400 * time.Millisecond
)

// Feed is a copy of one table. Its methods may be called at the same time.
type Feed struct {
	store    rowstore.Store
	table    rowstore.Table
	name     string
	clock    clockwork.Clock
	logger   hclog.Logger
	onChange func(rows []rowstore.Row)
	done     chan struct{}

	hold       time.Duration
	shouldRead func() bool

	mu           sync.Mutex
	rows         map[string]rowstore.Row
	version      int64
	changedAt    int64
	read         bool
	failingSince time.Time
	recoveredAt  time.Time
	held         map[string]time.Time
}

// Option changes a Feed under construction.
type Option func(*Feed)

// WithHold keeps rows that the store drops within d after an outage, until d
// after the outage: their owners may not have reached the store meanwhile.
func WithHold(d time.Duration) Option {
	return func(f *Feed) { f.hold = d }
}

// WithReadCondition makes the feed call the store only while reads reports true;
// meanwhile peers bring the changes.
func WithReadCondition(shouldRead func() bool) Option {
	return func(f *Feed) { f.shouldRead = shouldRead }
}

// WithClock replaces the real clock.
func WithClock(c clockwork.Clock) Option {
	return func(f *Feed) { f.clock = c }
}

// New returns an empty copy of a table. changed is called with the rows that
// have changed, deleted ones included, in order.
func New(store rowstore.Store, t rowstore.Table, name string, logger hclog.Logger, onChange func([]rowstore.Row), opts ...Option) *Feed {
	f := &Feed{
		store:    store,
		table:    t,
		name:     name,
		clock:    clockwork.NewRealClock(),
		logger:   logger,
		onChange: onChange,
		done:     make(chan struct{}),
		rows:     make(map[string]rowstore.Row),
		held:     make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the table until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		if f.idle(ctx) {
			continue
		}
		began := f.clock.Now()
		err := f.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		gap := minPollInterval - f.clock.Since(began)
		if err != nil {
			gap = retryInterval
		}
		if err != nil {
			f.beginOutage(err)
		}
		f.expire()
		if gap > 0 {
			select {
			case <-f.clock.After(gap):
			case <-ctx.Done():
			}
		}
	}
}

// idle waits a little if others follow the store for this VM.
func (f *Feed) idle(ctx context.Context) bool {
	if _, read := f.Version(); !read || f.shouldRead == nil || f.shouldRead() {
		return false
	}
	f.mu.Lock()
	f.failingSince = time.Time{} // unknown while this VM does not call
	f.mu.Unlock()
	f.expire()
	select {
	case <-f.clock.After(idleInterval):
	case <-ctx.Done():
	}
	return true
}

// Done is closed when Run has returned.
func (f *Feed) Done() <-chan struct{} { return f.done }

func (f *Feed) poll(ctx context.Context) error {
	f.mu.Lock()
	version, read, hasHeld := f.version, f.read, len(f.held) > 0
	f.mu.Unlock()
	if !read {
		return f.list(ctx)
	}
	wait := pollWait
	if hasHeld {
		wait = heldPollWait
	}
	page, err := f.store.Follow(ctx, f.table, version, wait)
	if errors.Is(err, rowstore.ErrHistoryGone) {
		f.logger.Info("changes of a table are no longer known, listing it", "table", f.name, "after_version", version)
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.endOutage()
	f.apply(page, false, f.hold)
	return nil
}

func (f *Feed) list(ctx context.Context) error {
	page, err := f.store.List(ctx, f.table)
	if err != nil {
		return err
	}
	f.endOutage()
	f.apply(page, true, f.hold)
	return nil
}

// beginOutage records that the store fails.
func (f *Feed) beginOutage(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		f.failingSince = f.clock.Now()
		f.logger.Warn("store lost", "table", f.name, "version", f.version, "error", err)
	}
}

// endOutage records that the store has answered.
func (f *Feed) endOutage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		return
	}
	f.recoveredAt = f.clock.Now()
	f.logger.Info("store regained", "table", f.name, "out_for_ms", f.recoveredAt.Sub(f.failingSince).Milliseconds(), "version", f.version)
	f.failingSince = time.Time{}
}

// apply takes in a page; whole pages list the table. Rows that are dropped
// within hold after an outage are kept until then.
func (f *Feed) apply(page rowstore.Page, full bool, hold time.Duration) {
	now := f.clock.Now()
	f.mu.Lock()
	var changes []rowstore.Row
	present := make(map[string]bool, len(page.Rows))
	for _, r := range page.Rows {
		present[r.Key] = !r.Deleted
		f.changedAt = max(f.changedAt, r.Version)
		if old, ok := f.rows[r.Key]; ok && old.Version >= r.Version {
			continue
		}
		if r.Deleted {
			changes = f.drop(r.Key, now, hold, changes)
			continue
		}
		delete(f.held, r.Key)
		f.rows[r.Key] = r
		changes = append(changes, r)
	}
	if full {
		for key, r := range f.rows {
			if !present[key] && r.Version <= page.Version {
				changes = f.drop(key, now, hold, changes)
			}
		}
	}
	f.version = max(f.version, page.Version)
	f.read = true
	f.mu.Unlock()
	if len(changes) > 0 {
		f.onChange(changes)
	}
}

// drop deletes a row, or holds it while its deletion may be due to an outage.
func (f *Feed) drop(key string, now time.Time, hold time.Duration, changes []rowstore.Row) []rowstore.Row {
	if _, ok := f.rows[key]; !ok {
		return changes
	}
	if !f.recoveredAt.IsZero() && now.Sub(f.recoveredAt) < hold {
		f.held[key] = f.recoveredAt.Add(hold)
		return changes
	}
	delete(f.rows, key)
	delete(f.held, key)
	return append(changes, rowstore.Row{Key: key, Deleted: true})
}

// expire drops held rows whose time is over.
func (f *Feed) expire() {
	now := f.clock.Now()
	f.mu.Lock()
	var changes []rowstore.Row
	for key, until := range f.held {
		if now.Before(until) {
			continue
		}
		delete(f.held, key)
		delete(f.rows, key)
		f.changedAt = max(f.changedAt, f.version) // so that peers take it over
		changes = append(changes, rowstore.Row{Key: key, Deleted: true})
		f.logger.Info("row has not come back after the outage", "table", f.name, "key", key)
	}
	f.mu.Unlock()
	if len(changes) > 0 {
		f.onChange(changes)
	}
}

// Merge takes in the whole table as a peer knows it. Rows that the peer has
// dropped are dropped at once: it has held them as long as needed.
func (f *Feed) Merge(page rowstore.Page) {
	f.mu.Lock()
	older := f.read && page.Version <= f.version
	f.mu.Unlock()
	if !older {
		f.apply(page, true, 0)
	}
}

// Page returns the whole table.
func (f *Feed) Page() rowstore.Page {
	f.mu.Lock()
	defer f.mu.Unlock()
	page := rowstore.Page{Version: f.version}
	for _, r := range f.rows {
		page.Rows = append(page.Rows, r)
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Key < page.Rows[j].Key })
	return page
}

// Version returns the newest version that the copy covers, and whether the
// table was ever read.
func (f *Feed) Version() (version int64, read bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.read
}

// ChangedAt returns the version of the newest change that the copy covers.
func (f *Feed) ChangedAt() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changedAt
}

// Failing returns since when the store fails, zero if it does not.
func (f *Feed) Failing() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failingSince
}
