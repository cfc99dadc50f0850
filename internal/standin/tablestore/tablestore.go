// Package tablestore is an in-memory stand-in for the table service and the object
// store of the platform.
package tablestore

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/table"
)

// Store holds rows and objects in memory. It implements table.Table; the result of
// Objects implements objectstore.Store. It is safe for concurrent use. Use New to
// create one.
type Store struct {
	mu      sync.Mutex
	version int64
	rows    map[string]table.Row
	objects map[string][]byte
	counts  Counts
	fault   Fault
}

// Counts holds the numbers of calls since the store was created, without those that
// an outage refused.
type Counts struct {
	// Reads is the number of Get calls for rows and objects.
	Reads int64 `json:"reads"`
	Scans int64 `json:"scans"`
	// Commits is the number of transactions that were applied, and Conflicts the
	// number of those that failed with a version conflict.
	Commits   int64 `json:"commits"`
	Conflicts int64 `json:"conflicts"`
	// Puts is the number of object writes.
	Puts int64 `json:"puts"`
}

// Fault is a set of faults that the store injects.
type Fault struct {
	// Outage makes every call fail with StoreUnavailable.
	Outage bool `json:"outage,omitzero"`
	// LoseAnswers is the number of subsequent commits that are applied but fail with
	// OutcomeUnknown.
	LoseAnswers int `json:"lose_answers,omitzero"`
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[string]table.Row{}, objects: map[string][]byte{}}
}

// SetFault replaces the set of injected faults.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// checkOutage returns an error during an outage. The mutex is held.
func (s *Store) checkOutage() error {
	if s.fault.Outage {
		return failure.New(failure.StoreUnavailable, "the store is unavailable")
	}
	return nil
}

// Get implements table.Table.
func (s *Store) Get(_ context.Context, key string) (table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkOutage(); err != nil {
		return table.Row{}, err
	}
	s.counts.Reads++
	row, ok := s.rows[key]
	if !ok {
		return table.Row{Key: key}, nil
	}
	return row, nil
}

// Scan implements table.Table.
func (s *Store) Scan(_ context.Context, prefix string) ([]table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkOutage(); err != nil {
		return nil, err
	}
	s.counts.Scans++
	var rows []table.Row
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, s.rows[key])
		}
	}
	return rows, nil
}

// Commit implements table.Table.
func (s *Store) Commit(_ context.Context, tx table.Tx) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkOutage(); err != nil {
		return 0, err
	}
	for _, w := range tx.Writes {
		if s.rows[w.Key].Version != w.Expect {
			s.counts.Conflicts++
			return 0, failure.New(failure.Conflict, "row %s has version %d, not %d", w.Key, s.rows[w.Key].Version, w.Expect)
		}
	}
	s.version++
	s.counts.Commits++
	for _, w := range tx.Writes {
		s.apply(tx, w)
	}
	if s.fault.LoseAnswers > 0 {
		s.fault.LoseAnswers--
		return 0, failure.New(failure.OutcomeUnknown, "the response to the commit was lost")
	}
	return s.version, nil
}

func (s *Store) apply(tx table.Tx, w table.Write) {
	if w.Delete {
		delete(s.rows, w.Key)
		return
	}
	s.rows[w.Key] = table.Row{
		Key:       w.Key,
		Version:   s.version,
		AttemptID: tx.AttemptID,
		Value:     bytes.Clone(w.Value),
	}
}

// Objects returns the object store of s.
func (s *Store) Objects() *Objects { return &Objects{s: s} }

// Objects implements objectstore.Store over a Store.
type Objects struct{ s *Store }

// Put implements objectstore.Store.
func (o *Objects) Put(_ context.Context, key string, data []byte) error {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	if err := o.s.checkOutage(); err != nil {
		return err
	}
	o.s.counts.Puts++
	o.s.objects[key] = bytes.Clone(data)
	return nil
}

// Get implements objectstore.Store.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	if err := o.s.checkOutage(); err != nil {
		return nil, err
	}
	o.s.counts.Reads++
	data, ok := o.s.objects[key]
	if !ok {
		return nil, failure.New(failure.NotFound, "object %s does not exist", key)
	}
	return bytes.Clone(data), nil
}
