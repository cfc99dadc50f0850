// Package fakestore is an in-memory rowstore.Store for tests, which injects the
// failures of the real store. It is not part of any program.
package fakestore

import (
	"context"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

// Failure is the way in which calls fail.
type Failure int

// Failures for Store.Fail.
const (
	// None makes calls succeed.
	None Failure = iota
	// Refused makes calls return rowstore.ErrRefused; they are not carried out.
	Refused
	// AnswerLost makes calls return rowstore.ErrUnanswered; writes are carried out.
	AnswerLost
	// RequestLost makes calls return rowstore.ErrUnanswered; they are not carried out.
	RequestLost
	// Silent makes Follow return rowstore.ErrUnanswered once its time-out has passed,
	// also for calls that are in progress when the failure begins or ends. Other calls
	// fail as with RequestLost.
	Silent
	// Unheard makes Follow answer with the newest version and without the changes, as a
	// store does that drops its history.
	Unheard
)

// followSlack is the time that Follow may take beyond its wait before it counts as
// unanswered, like that of the platform's client.
const followSlack = 800 * time.Millisecond

// Store is the in-memory store. Its methods are safe for concurrent use.
type Store struct {
	clock clockwork.Clock
	start time.Time

	mu          sync.Mutex
	epoch       int64
	version     int64
	rows        map[rowstore.Table]map[string]rowstore.Row
	history     []change
	compactedTo int64
	failure     Failure
	// silences is the number of times that Silent was set.
	silences int
	changed  chan struct{}
	calls    int
}

type change struct {
	table rowstore.Table
	row   rowstore.Row
}

// Copy is a copy of a store.
type Copy struct {
	number int64
	rows   map[rowstore.Table]map[string]rowstore.Row
}

// Copy returns a copy of the store.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{rowstore.Number(s.version), cloneRows(s.rows)}
}

// Epoch returns the epoch of the store.
func (s *Store) Epoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Restore replaces the content by that of a copy. The numbers of versions go back, the
// epoch rises by one, and the change history is lost.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.version = rowstore.VersionAt(s.epoch, c.number)
	s.rows = cloneRows(c.rows)
	for _, rows := range s.rows {
		for key, r := range rows {
			r.Version = rowstore.VersionAt(s.epoch, rowstore.Number(r.Version))
			rows[key] = r
		}
	}
	s.compactedTo, s.history = s.version, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneRows(rows map[rowstore.Table]map[string]rowstore.Row) map[rowstore.Table]map[string]rowstore.Row {
	clone := make(map[rowstore.Table]map[string]rowstore.Row, len(rows))
	for t, table := range rows {
		clone[t] = maps.Clone(table)
	}
	return clone
}

// New returns an empty store in its first epoch; its monotonic time starts at zero.
func New(clock clockwork.Clock) *Store {
	return &Store{
		epoch:   1,
		version: rowstore.VersionAt(1, 0),
		clock:   clock,
		start:   clock.Now(),
		rows:    make(map[rowstore.Table]map[string]rowstore.Row),
		changed: make(chan struct{}),
	}
}

// Fail sets the failure of all later calls; None makes them succeed again.
func (s *Store) Fail(f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = f
	if f == Silent {
		s.silences++
	}
}

// Compact discards the change history: Follow returns rowstore.ErrHistoryTruncated
// for versions before the current one.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo, s.history = s.version, nil
}

// Calls returns the number of calls so far. Follow counts one call for each time
// that it looks for changes.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) now() time.Duration { return s.clock.Since(s.start) }

// beginCall counts a call. It returns whether the call is carried out, and its error.
func (s *Store) beginCall() (executed bool, err error) {
	s.calls++
	switch s.failure {
	case Refused:
		return false, rowstore.ErrRefused
	case AnswerLost:
		return true, rowstore.ErrUnanswered
	case RequestLost, Silent:
		return false, rowstore.ErrUnanswered
	case None, Unheard:
	}
	return true, nil
}

// List implements rowstore.Store.
func (s *Store) List(_ context.Context, t rowstore.Table) (rowstore.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.beginCall(); err != nil {
		return rowstore.Page{}, err
	}
	return s.table(t), nil
}

// Table returns a table as List does; the set failure does not apply.
func (s *Store) Table(t rowstore.Table) rowstore.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table(t)
}

func (s *Store) table(t rowstore.Table) rowstore.Page {
	page := rowstore.Page{Version: s.version, Time: s.now()}
	for _, r := range s.rows[t] {
		page.Rows = append(page.Rows, r)
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Key < page.Rows[j].Key })
	return page
}

// Follow implements rowstore.Store.
func (s *Store) Follow(ctx context.Context, t rowstore.Table, after int64, wait time.Duration) (rowstore.Page, error) {
	timeout, lost := s.clock.After(wait), s.clock.After(wait+followSlack)
	s.mu.Lock()
	silences := s.silences
	s.mu.Unlock()
	for {
		s.mu.Lock()
		_, err := s.beginCall()
		if s.failure == Silent || s.silences != silences {
			s.mu.Unlock()
			select {
			case <-lost:
			case <-ctx.Done():
			}
			return rowstore.Page{}, rowstore.ErrUnanswered
		}
		if err == nil && (after < s.compactedTo || after > s.version) {
			err = rowstore.ErrHistoryTruncated
		}
		page := rowstore.Page{Version: s.version, Time: s.now()}
		for _, c := range s.history {
			if s.failure != Unheard && c.table == t && c.row.Version > after {
				page.Rows = append(page.Rows, c.row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout:
			if s.silencedSince(silences) {
				continue
			}
			return page, nil
		case <-ctx.Done():
			return page, rowstore.ErrUnanswered
		}
	}
}

// silencedSince reports whether Silent was set after it had been set n times.
func (s *Store) silencedSince(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silences != n
}

// Write implements rowstore.Store.
func (s *Store) Write(_ context.Context, writes ...rowstore.Write) (rowstore.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	executed, err := s.beginCall()
	if !executed {
		return rowstore.Result{}, err
	}
	restored := false
	for i := range writes {
		if w := &writes[i]; w.Expect > 0 && rowstore.Epoch(w.Expect) != s.epoch {
			// The store compares numbers alone: the condition may hold by chance.
			restored, w.Expect = true, rowstore.VersionAt(s.epoch, rowstore.Number(w.Expect))
		}
	}
	result := s.apply(writes)
	if restored {
		return rowstore.Result{}, rowstore.ErrRestored
	}
	if err != nil {
		return rowstore.Result{}, err
	}
	return result, nil
}

func (s *Store) apply(writes []rowstore.Write) rowstore.Result {
	result := rowstore.Result{Applied: true, Version: s.version, Time: s.now()}
	for _, w := range writes {
		current := s.rows[w.Table][w.Key]
		if w.Expect != rowstore.AnyVersion && current.Version != w.Expect {
			result.Applied = false
			result.Current = append(result.Current, current)
		}
	}
	if !result.Applied {
		return result
	}
	s.version++
	result.Version = s.version
	for _, w := range writes {
		row := rowstore.Row{Key: w.Key, Value: w.Value, Version: s.version, Deleted: w.Delete}
		if s.rows[w.Table] == nil {
			s.rows[w.Table] = make(map[string]rowstore.Row)
		}
		if w.Delete {
			delete(s.rows[w.Table], w.Key)
		} else {
			s.rows[w.Table][w.Key] = row
		}
		s.history = append(s.history, change{w.Table, row})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return result
}

// Put writes a row like another client of the store; the set failure does not
// apply.
func (s *Store) Put(t rowstore.Table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]rowstore.Write{{Table: t, Key: key, Expect: rowstore.AnyVersion, Value: value}})
}

// Delete deletes a row like another client of the store; the set failure does
// not apply.
func (s *Store) Delete(t rowstore.Table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]rowstore.Write{{Table: t, Key: key, Expect: rowstore.AnyVersion, Delete: true}})
}
