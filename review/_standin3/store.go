package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storedRow is a row of the platform's store, or a change of one.
type storedRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// storeAnswer is the body of an answer of the store.
type storeAnswer struct {
	Rows      []storedRow `json:"rows"`
	Truncated bool        `json:"truncated"`
	Ver       int64       `json:"ver"`
	NowMS     int64       `json:"now_ms"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's store.
type store struct {
	started time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[rowKey]storedRow
	history []storedRow
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowKey]storedRow{}, changed: make(chan struct{})}
}

// apply makes one transaction. The caller holds s.mu.
func (s *store) apply(changes ...storedRow) {
	s.ver++
	for _, c := range changes {
		c.Ver = s.ver
		k := rowKey{c.Table, c.Part, c.Key}
		if c.Tombstone {
			delete(s.rows, k)
		} else {
			s.rows[k] = c
		}
		s.history = append(s.history, c)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row on behalf of the operator or an engine.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storedRow{Table: table, Key: key, Value: value})
}

// remove deletes a row on behalf of the operator or an engine.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storedRow{Table: table, Key: key, Tombstone: true})
}

func (s *store) answer(w http.ResponseWriter, status int, a storeAnswer) {
	if a.Rows == nil {
		a.Rows = []storedRow{}
	}
	a.NowMS = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

// ServeHTTP implements the calls that the program makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /rows-get":
		time.Sleep(2 * time.Millisecond)
		s.get(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), q.Get("limit"))
	case "GET /rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.feed(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "POST /rows-tx":
		time.Sleep(3 * time.Millisecond)
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, table, part, from, to, limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, err := strconv.Atoi(limit)
	if err != nil || most <= 0 || most > 500 {
		most = 500
	}
	a := storeAnswer{Ver: s.ver}
	for k, row := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			a.Rows = append(a.Rows, row)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if len(a.Rows) > most {
		a.Rows, a.Truncated = a.Rows[:most], true
	}
	s.answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		a := storeAnswer{Ver: s.ver}
		for _, row := range s.history {
			if row.Table == table && row.Ver > after {
				a.Rows = append(a.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			s.answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Puts, Remove []storedRow }
	data, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil || json.Unmarshal(data, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []storedRow
	for _, row := range tx.Puts {
		changes = append(changes, storedRow{Table: row.Table, Part: row.Part, Key: row.Key, Value: row.Value})
	}
	for _, row := range tx.Remove {
		changes = append(changes, storedRow{Table: row.Table, Part: row.Part, Key: row.Key, Tombstone: true})
	}
	for _, c := range changes {
		if c.Table == "op" || c.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []storedRow
	failed := false
	for _, e := range tx.Expected {
		row, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, row)
		}
		failed = failed || row.Ver != e.Ver
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, storeAnswer{Rows: current, Ver: s.ver})
		return
	}
	s.apply(changes...)
	s.answer(w, http.StatusOK, storeAnswer{Ver: s.ver})
}
