package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, in its wire format.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r *row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's metadata store.
type store struct {
	start time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[rowID]row
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
}

// put writes a row as the operator or an engine does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
}

// count returns the number of rows in a table.
func (s *store) count(table string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.rows {
		if id.table == table {
			n++
		}
	}
	return n
}

// apply applies one transaction. The caller holds s.mu.
func (s *store) apply(puts, remove []row) {
	s.ver++
	for _, r := range puts {
		r.Ver = s.ver
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range remove {
		delete(s.rows, r.id())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

// answer writes the answer to a call. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, truncated bool) {
	if rows == nil {
		rows = []row{}
	}
	body := map[string]any{"rows": rows, "truncated": truncated, "ver": s.ver, "now_ms": time.Since(s.start).Milliseconds()}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(slices.Clone(tx.Puts), tx.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	failed := false
	for _, e := range tx.Expected {
		known, ok := s.rows[e.id()]
		failed = failed || known.Ver != e.Ver
		if ok {
			current = append(current, known)
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.apply(tx.Puts, tx.Remove)
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for id, v := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			found = append(found, v)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(found) > limit
	s.answer(w, http.StatusOK, found[:min(limit, len(found))], truncated)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		var found []row
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				found = append(found, h)
			}
		}
		if len(found) > 0 || over {
			s.answer(w, http.StatusOK, found, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
