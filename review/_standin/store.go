package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store as PROTOCOL.md describes it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a sound stand-in of the platform's store: it keeps rows and their whole
// history, and answers at once.
type store struct {
	started time.Time
	address string

	mu      sync.Mutex
	ver     int64
	rows    map[string]row
	history []row
	changed chan struct{}
}

func startStore() *store {
	s := &store{started: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

func rowKey(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// put writes a row for the operator or an engine and returns its version.
func (s *store) put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: value, Ver: s.ver})
	return s.ver
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := row{Table: table, Key: key, Tombstone: true}
	if _, ok := s.rows[rowKey(r)]; !ok {
		return
	}
	s.ver++
	r.Ver = s.ver
	s.set(r)
}

// set stores a row; the caller holds s.mu.
func (s *store) set(r row) {
	if r.Tombstone {
		delete(s.rows, rowKey(r))
	} else {
		s.rows[rowKey(r)] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

type page struct {
	Rows      []row   `json:"rows"`
	Truncated bool    `json:"truncated"`
	Ver       int64   `json:"ver"`
	NowMS     float64 `json:"now_ms"`
}

func (s *store) write(w http.ResponseWriter, status int, rows []row, ver int64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(page{Rows: rows, Ver: ver, NowMS: float64(time.Since(s.started)) / 1e6})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var found []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			found = append(found, x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	s.write(w, http.StatusOK, found, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				found = append(found, x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			s.write(w, http.StatusOK, found, ver)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.write(w, http.StatusOK, nil, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range append(slices.Clone(body.Puts), body.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	holds := true
	var current []row
	for _, x := range body.Expected {
		now, ok := s.rows[rowKey(x)]
		holds = holds && now.Ver == x.Ver
		if ok {
			current = append(current, now)
		}
	}
	if !holds {
		ver := s.ver
		s.mu.Unlock()
		s.write(w, http.StatusPreconditionFailed, current, ver)
		return
	}
	s.ver++
	for _, x := range body.Puts {
		x.Ver, x.Tombstone = s.ver, false
		s.set(x)
	}
	for _, x := range body.Remove {
		x.Ver, x.Tombstone, x.Value = s.ver, true, nil
		s.set(x)
	}
	ver := s.ver
	s.mu.Unlock()
	s.write(w, http.StatusOK, nil, ver)
}
