// Package tablefeed keeps a copy of one table of the platform's store. It
// follows the store's changes, and accepts newer copies from peers, which
// replace the store while this VM's calls to it fail. A VM that has its changes from peers
// reads the store itself once its copy is late, whatever keeps the peers from telling it.
package tablefeed

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

const (
	// defaultLag is the default of WithLag.
	defaultLag = 2 * time.Second
	// pollsPerLag is the maximum number of polls within the lag, so that a table that
	// changes continuously does not cost a call per change.
	pollsPerLag = 5
	// waitsPerLag is the lag divided by the maximum wait of one long poll. A lost answer
	// is noticed after the wait and the call's time-out; the next poll and the way to
	// the other VMs must fit into the rest of the lag.
	waitsPerLag = 4
	// agesPerLag is the lag divided by the age from which on a copy is late. While all is well,
	// a copy is at most as old as one poll and the way to the other VMs take.
	agesPerLag = 2
	// spreadsPerAge is that age divided by the time over which the VMs spread their own reads
	// when all of them are late at once.
	spreadsPerAge = 8
	// firstReadWait is how long a feed that should not read the store, or has been
	// offered a peer's copy, waits for one before it reads its first copy from the store.
	firstReadWait = 1200 * time.Millisecond
	// firstReadInterval is the time between two checks for a first copy.
	firstReadInterval = 50 * time.Millisecond
	// heldPollWait is the maximum duration of a long poll while deleted rows are held, or
	// rows doubted, so that this ends in time.
	heldPollWait = 300 * time.Millisecond
	// idleInterval is the time between two checks of the read condition while it
	// is false.
	idleInterval = 300 * time.Millisecond
	// minOutage is the time without an answer of the store from which on rows may lapse:
	// targets have missed two of the three heartbeats that they may miss.
	minOutage = 2 * time.Second
	// doubtTime is longer than the time in which the store deletes the rows of targets
	// that are gone: three missed heartbeats.
	doubtTime = 5 * time.Second
	// maxDropped bounds the memory of deleted rows.
	maxDropped = 4096
	// retryInterval is the minimum time between the starts of two calls while the store
	// fails, unless WithRetryInterval sets another.
	retryInterval = 400 * time.Millisecond
)

// Feed is a copy of one table. Its methods are safe for concurrent use.
type Feed struct {
	store    rowstore.Store
	table    rowstore.Table
	name     string
	clock    clockwork.Clock
	logger   hclog.Logger
	onChange func(rows []rowstore.Row)
	done     chan struct{}

	hold time.Duration
	// holdRestored is set if rows are held only after the store was restored from a copy.
	holdRestored bool
	shouldRead   func() bool
	// pollInterval is the minimum time between the starts of two polls, pollWait the
	// maximum wait of one.
	pollInterval, pollWait time.Duration
	// maxAge is the least age from which on the copy counts as late.
	maxAge time.Duration
	// retryInterval returns the minimum time between the starts of two failing calls.
	retryInterval func() time.Duration

	// applyMu is held while changes are applied and reported, so that they are reported in
	// the order of their versions. It is locked before mu.
	applyMu sync.Mutex

	mu   sync.Mutex
	rows map[string]rowstore.Row
	// version is the store version up to which rows is complete, changedAt the
	// version of the newest change in it that peers are told of; read is set once the
	// table was read, offered once a peer is known to have a copy.
	version   int64
	changedAt int64
	read      bool
	offered   bool
	// failingSince is the time since which this VM's calls fail.
	failingSince time.Time
	// deletedAt is the version of the newest deletion, or of the last copy of the whole
	// table: that lacks the rows deleted before it, and does not tell which.
	deletedAt int64
	// wholeAt is the version of the newest copy of the whole table that was applied. Rows
	// of an older copy that are not in this one were deleted in between.
	wholeAt int64
	// lastNews is the time of the last answer of the store, to this VM or passed on by
	// a peer. outageEnd is the end of the last outage of the store, outageVersion the
	// version up to which rows were complete then.
	lastNews, outageEnd time.Time
	outageVersion       int64
	// asOf is the time of the newest answer of the store, to any VM, that rows hold. source is
	// the peer that told so, invalid if this VM got the answer, and heardAt when it did. The
	// copy is late once it is older than lateAge, which is drawn anew for each answer.
	asOf, heardAt time.Time
	source        netip.AddrPort
	lateAge       time.Duration
	late          bool
	// held has the rows that the store has deleted and that are still in rows,
	// with the time at which they are dropped.
	held map[string]time.Time
	// restoredAt is the time at which this VM learned that the store was restored from a
	// copy, restoredVersion the version that the store had reached then.
	restoredAt      time.Time
	restoredVersion int64
	// doubted has the rows that were deleted before the store was restored and that the
	// copy has brought back. They count as deleted until they are written again, or have
	// outlived the time in which the store deletes rows of owners that are gone.
	doubted map[string]doubtedRow
	// dropped has the versions of deleted rows, so that an older copy does not bring them
	// back. A version of the table alone does not tell: the store may not announce
	// every change.
	dropped map[string]int64
}

// doubtedRow is a row that is left out until a time.
type doubtedRow struct {
	row   rowstore.Row
	until time.Time
}

// Option configures a Feed in New.
type Option func(*Feed)

// WithHold keeps rows that the store deletes within d after the end of an outage
// until d has passed since that end: their owners may have been unable to reach
// the store during the outage, and may write them again. Rows that were written
// since the outage are not kept.
func WithHold(d time.Duration) Option {
	return func(f *Feed) { f.hold = d }
}

// WithRestorationHold keeps rows that are missing after the store was restored from a copy
// for d, unless they were written since: their owners write them again. Deletions around
// other outages take effect at once.
func WithRestorationHold(d time.Duration) Option {
	return func(f *Feed) { f.hold, f.holdRestored = d, true }
}

// WithReadCondition makes the feed call the store only while shouldRead returns
// true; otherwise changes arrive from peers, through Merge and Confirm. A table of which no
// peer has sent a copy within firstReadWait is listed regardless, and one whose copy is
// late is read.
func WithReadCondition(shouldRead func() bool) Option {
	return func(f *Feed) { f.shouldRead = shouldRead }
}

// WithLag sets the time within which a change of the table must take effect; the
// intervals and waits of polls are parts of it.
func WithLag(d time.Duration) Option {
	return func(f *Feed) { f.pollInterval, f.pollWait, f.maxAge = d/pollsPerLag, d/waitsPerLag, d/agesPerLag }
}

// WithRetryInterval makes interval return the minimum time between the starts of two calls
// while the store fails. WithLag's time bounds it.
func WithRetryInterval(interval func() time.Duration) Option {
	return func(f *Feed) { f.retryInterval = interval }
}

// WithClock sets the clock; the default is the real one.
func WithClock(c clockwork.Clock) Option {
	return func(f *Feed) { f.clock = c }
}

// New returns an empty copy of a table; name is its name in the log. onChange is
// called with the changed rows in the order of the page, including deleted ones. It
// may call the methods that report the state of the feed, and not Merge.
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
		doubted:  make(map[string]doubtedRow),
		dropped:  make(map[string]int64),

		retryInterval: func() time.Duration { return retryInterval },
	}
	WithLag(defaultLag)(f)
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the changes of the table until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	defer close(f.done)
	started := f.clock.Now()
	for ctx.Err() == nil {
		if f.idle(ctx, f.clock.Since(started)) {
			continue
		}
		began := f.clock.Now()
		err := f.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		interval := f.pollInterval
		if err != nil {
			interval = f.maxAge
			if f.reads() {
				interval = min(f.retryInterval(), f.maxAge*agesPerLag)
			}
			f.callFailed(err, began)
		}
		f.expire()
		f.checkAge()
		if gap := interval - f.clock.Since(began); gap > 0 {
			select {
			case <-f.clock.After(gap):
			case <-ctx.Done():
			}
		}
	}
}

// idle waits and returns true if the read condition is false or a peer's copy is to
// come, unless the table was not read within firstReadWait, or its copy is late; age is the
// time since the feed was started.
func (f *Feed) idle(ctx context.Context, age time.Duration) bool {
	f.mu.Lock()
	read, offered := f.read, f.offered
	left := f.lateAge - f.clock.Since(f.asOf)
	f.mu.Unlock()
	waits := !read && offered || !f.reads()
	if !waits || (!read && age >= firstReadWait) || (read && left < 0) {
		return false
	}
	f.mu.Lock()
	f.failingSince = time.Time{} // unknown while this VM makes no calls
	f.mu.Unlock()
	f.expire()
	f.checkAge()
	interval := min(idleInterval, left+time.Millisecond)
	if !read {
		interval = firstReadInterval
	}
	select {
	case <-f.clock.After(interval):
	case <-ctx.Done():
	}
	return true
}

// reads reports whether this VM follows the store.
func (f *Feed) reads() bool { return f.shouldRead == nil || f.shouldRead() }

// Done is closed when Run has returned.
func (f *Feed) Done() <-chan struct{} { return f.done }

func (f *Feed) poll(ctx context.Context) error {
	f.mu.Lock()
	version, read, failing := f.version, f.read, !f.failingSince.IsZero()
	hasHeld := len(f.held) > 0 || len(f.doubted) > 0
	f.mu.Unlock()
	if !read {
		return f.list(ctx)
	}
	wait := f.pollWait
	if hasHeld {
		wait = min(wait, heldPollWait)
	}
	if failing || !f.reads() {
		wait = 0 // a poll that is lost in an outage must not outlive it
	}
	page, err := f.store.Follow(ctx, f.table, version, wait)
	if errors.Is(err, rowstore.ErrHistoryTruncated) {
		f.logger.Info("store no longer has the changes after the version; listing the table", "table", f.name, "after_version", version)
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	answered := f.clock.Now()
	f.callSucceeded()
	f.apply(rowstore.Copy{Page: page}, f.hold)
	f.recordAnswer(page.Version, answered)
	return nil
}

func (f *Feed) list(ctx context.Context) error {
	began := f.clock.Now()
	page, err := f.store.List(ctx, f.table)
	if err != nil {
		return err
	}
	f.callSucceeded()
	f.apply(rowstore.Copy{Page: page, Complete: true}, f.hold)
	f.recordAnswer(page.Version, began)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logger.Info("table listed", "table", f.name, "rows", len(page.Rows), "version", page.Version, "changed_at", f.changedAt)
	// Peers may still have rows that were deleted unheard, so they take the whole table.
	f.changedAt = max(f.changedAt, page.Version)
	return nil
}

// callFailed records that a call to the store, begun at the given time, failed.
func (f *Feed) callFailed(err error, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		f.failingSince = f.clock.Now()
		f.logger.Warn("store lost", "table", f.name, "version", f.version, "call_ms", f.failingSince.Sub(began).Milliseconds(), "error", err)
	}
}

// callSucceeded records that the store answered this VM.
func (f *Feed) callSucceeded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.recordNews(now)
	if f.failingSince.IsZero() {
		return
	}
	f.logger.Info("store regained", "table", f.name, "out_for_ms", now.Sub(f.failingSince).Milliseconds(), "version", f.version)
	f.failingSince = time.Time{}
}

// recordNews records an answer of the store at the time now, before it is applied. It ends
// an outage if this VM's calls have failed and peers have passed on nothing either. The
// caller holds f.mu.
func (f *Feed) recordNews(now time.Time) {
	if !f.failingSince.IsZero() && now.Sub(f.lastNews) > minOutage {
		f.outageEnd, f.outageVersion = now, f.version
	}
	f.lastNews = now
}

// apply applies changes, or a copy of the whole table. Rows that are deleted within hold
// after an outage are kept until hold has passed.
func (f *Feed) apply(c rowstore.Copy, hold time.Duration) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	now := f.clock.Now()
	f.mu.Lock()
	if f.read && rowstore.Epoch(c.Version) > rowstore.Epoch(f.version) {
		f.recordRestoration(c.Version, now)
	}
	older := c.Version < f.wholeAt
	var changes []rowstore.Row
	present := make(map[string]bool, len(c.Rows))
	for _, r := range c.Rows {
		present[r.Key] = !r.Deleted
		f.changedAt = max(f.changedAt, r.Version)
		old, ok := f.rows[r.Key]
		if ok && old.Version >= r.Version {
			continue
		}
		dropped := f.dropped[r.Key]
		if !r.Deleted && r.Version <= dropped {
			continue // deleted since
		}
		_, held := f.held[r.Key]
		if older && (!ok || held) && !r.Deleted && r.Version <= f.wholeAt {
			continue // deleted since, too
		}
		if d, ok := f.doubted[r.Key]; ok {
			if d.row.Version >= r.Version {
				continue
			}
			delete(f.doubted, r.Key)
			if r.Deleted {
				f.deletedAt = f.changedAt // so that peers that doubt the row take the whole table
			}
		}
		if until := f.restoredAt.Add(doubtTime); !ok && !r.Deleted && f.broughtBack(r, dropped) && now.Before(until) {
			f.doubted[r.Key] = doubtedRow{r, until}
			f.logger.Info("row was deleted before the store was restored; left out until it is written again", "table", f.name, "key", r.Key,
				"row_version", r.Version, "doubt_ms", until.Sub(now).Milliseconds())
			continue
		}
		if r.Deleted {
			f.recordDrop(r.Key, r.Version)
			changes = f.drop(r.Key, now, hold, changes)
			continue
		}
		delete(f.held, r.Key)
		f.rows[r.Key] = r
		changes = append(changes, r)
	}
	if c.Complete && !older {
		f.deletedAt, f.wholeAt = max(f.deletedAt, c.Version), c.Version
		f.mergeDoubts(present, c.Doubted, now)
		for key, r := range f.rows {
			if !present[key] && r.Version <= c.Version {
				f.changedAt = max(f.changedAt, c.Version)
				changes = f.drop(key, now, hold, changes)
			}
		}
	}
	if !older {
		f.mergeHeld(c, now)
	}
	f.version = max(f.version, c.Version)
	f.read = true
	f.mu.Unlock()
	if len(changes) > 0 {
		f.onChange(changes)
	}
}

// recordRestoration records that the store was restored from a copy, and is at a version
// now. All rows that it lacks may be written again. The caller holds f.mu.
func (f *Feed) recordRestoration(version int64, now time.Time) {
	f.logger.Warn("store was restored from a copy", "table", f.name, "epoch", rowstore.Epoch(version), "number", rowstore.Number(version),
		"former_epoch", rowstore.Epoch(f.version), "former_number", rowstore.Number(f.version))
	f.outageEnd, f.outageVersion = now, rowstore.VersionAt(rowstore.Epoch(version), 0)
	f.restoredAt, f.restoredVersion = now, version
	clear(f.doubted)
}

// broughtBack reports whether a row that was deleted at a version, or zero if it was not,
// may be in the store only because that was restored from a copy. It does not matter
// which page has it: the first one after the restoration may come from a peer. The caller
// holds f.mu.
func (f *Feed) broughtBack(r rowstore.Row, deletedAt int64) bool {
	epoch := rowstore.Epoch(f.restoredVersion)
	return deletedAt > 0 && rowstore.Epoch(deletedAt) < epoch && rowstore.Epoch(r.Version) == epoch && r.Version <= f.restoredVersion
}

// mergeDoubts takes over which rows a copy of the whole table doubts, unless this VM has them
// already. present has the keys of the copy's other rows; those that this VM has are added. The
// caller holds f.mu.
func (f *Feed) mergeDoubts(present map[string]bool, doubted []rowstore.Row, now time.Time) {
	known := make(map[string]bool, len(doubted))
	for _, r := range doubted {
		known[r.Key] = true
		if f.rows[r.Key].Version >= r.Version {
			present[r.Key] = true
		} else if r.Version > f.dropped[r.Key] && r.Version > f.doubted[r.Key].row.Version {
			f.doubted[r.Key] = doubtedRow{r, now.Add(doubtTime)}
		}
	}
	for key := range f.doubted {
		if !present[key] && !known[key] {
			delete(f.doubted, key)
		}
	}
}

// mergeHeld holds the rows that a peer holds, so that each VM drops them by itself, and ends
// doubts about them. The caller holds f.mu.
func (f *Feed) mergeHeld(c rowstore.Copy, now time.Time) {
	for _, key := range c.Held {
		if d, ok := f.doubted[key]; ok && d.row.Version <= c.Version {
			delete(f.doubted, key)
		}
		row, ok := f.rows[key]
		if _, held := f.held[key]; ok && !held && row.Version <= c.Version {
			f.held[key] = now.Add(f.hold)
		}
	}
}

// drop deletes a row, or holds it if an outage may be the reason for its
// deletion. It returns changes with the deletion, if any, appended. The caller
// holds f.mu.
func (f *Feed) drop(key string, now time.Time, hold time.Duration, changes []rowstore.Row) []rowstore.Row {
	row, ok := f.rows[key]
	if !ok {
		return changes
	}
	began, version := f.outageEnd, f.outageVersion
	if f.holdRestored {
		began, version = f.restoredAt, rowstore.VersionAt(rowstore.Epoch(f.restoredVersion), 0)
	}
	if until := began.Add(hold); now.Before(until) && row.Version <= version {
		f.held[key] = until
		f.logger.Info("deletion held after a store outage", "table", f.name, "key", key, "row_version", row.Version,
			"hold_ms", until.Sub(now).Milliseconds())
		return changes
	}
	delete(f.rows, key)
	delete(f.held, key)
	f.recordDrop(key, row.Version)
	f.deletedAt = f.changedAt
	return append(changes, rowstore.Row{Key: key, Deleted: true})
}

// recordDrop records that a row was deleted at a version or later. The caller holds f.mu.
func (f *Feed) recordDrop(key string, version int64) {
	if len(f.dropped) >= maxDropped {
		clear(f.dropped)
	}
	f.dropped[key] = max(f.dropped[key], version)
}

// expire deletes held rows whose hold time has ended, and takes over doubted ones.
func (f *Feed) expire() {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	now := f.clock.Now()
	f.mu.Lock()
	var changes []rowstore.Row
	for key, until := range f.held {
		if now.Before(until) {
			continue
		}
		f.recordDrop(key, f.rows[key].Version)
		delete(f.held, key)
		delete(f.rows, key)
		f.changedAt = max(f.changedAt, f.version) // so that peers fetch the deletion
		f.deletedAt = f.changedAt
		changes = append(changes, rowstore.Row{Key: key, Deleted: true})
		f.logger.Info("row was not written again after the store outage; dropped", "table", f.name, "key", key)
	}
	for key, d := range f.doubted {
		if now.Before(d.until) {
			continue
		}
		delete(f.doubted, key)
		f.rows[key] = d.row
		changes = append(changes, d.row)
		f.logger.Info("row has outlived the restoration of the store; taken over", "table", f.name, "key", key, "row_version", d.row.Version)
	}
	f.mu.Unlock()
	if len(changes) > 0 {
		f.onChange(changes)
	}
}

// Offer tells the feed that a peer has a copy of the table. A feed without a copy then
// waits for it, as the changes since that copy tell of deletions; a list does not.
func (f *Feed) Offer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offered = true
}

// Merge applies a peer's copy of the table, or the changes that it has and this copy lacks.
// It may be older than this copy: rows that this copy has seen deleted stay deleted. Rows
// that the peer has deleted are deleted without a hold, as the peer has already held them,
// unless rows are held only over restorations: a peer that was started after one holds none.
func (f *Feed) Merge(c rowstore.Copy) {
	f.mu.Lock()
	if c.Version > f.version {
		f.recordNews(f.clock.Now())
	}
	f.mu.Unlock()
	hold := time.Duration(0)
	if f.holdRestored {
		hold = f.hold
	}
	f.apply(c, hold)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changedAt = max(f.changedAt, c.ChangedAt)
	f.recordAge(f.clock.Now().Add(-c.Age), c.Source)
}

// Changes returns the rows that have changed after a version, or the whole table if rows
// may have been deleted since then. The copy is empty if there is no change.
func (f *Feed) Changes(above int64) rowstore.Copy {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changedAt <= above {
		return rowstore.Copy{}
	}
	c := rowstore.Copy{
		Page:      rowstore.Page{Version: f.version},
		Complete:  above == 0 || f.deletedAt > above,
		ChangedAt: f.changedAt,
		Age:       f.age(),
	}
	for _, r := range f.rows {
		if c.Complete || r.Version > above {
			c.Rows = append(c.Rows, r)
		}
	}
	if c.Complete {
		for _, d := range f.doubted {
			c.Doubted = append(c.Doubted, d.row)
		}
	}
	for key := range f.held {
		c.Held = append(c.Held, key)
	}
	sort.Slice(c.Rows, func(i, j int) bool { return c.Rows[i].Key < c.Rows[j].Key })
	return c
}

// Version returns the store version up to which the copy is complete, and
// whether the table was read at all.
func (f *Feed) Version() (version int64, read bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.read
}

// ChangedAt returns the version of the newest change in the copy.
func (f *Feed) ChangedAt() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changedAt
}

// Failing returns the start of the current outage, or the zero time if the last
// call to the store succeeded or this VM makes no calls.
func (f *Feed) Failing() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failingSince
}
