package soak

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/fakestore"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

// store serves the platform's HTTP interface to rows from an in-memory store.
type store struct{ rows *fakestore.Store }

var tables = map[string]rowstore.Table{
	"op": rowstore.Policies, "servers": rowstore.Targets,
	"pier-members": rowstore.Members, "pier-duties": rowstore.Duties,
}

// configKey is the key under which the platform stores the configuration.
const configKey = "config"

type wireRow struct {
	Part      string `json:"part"`
	Table     string `json:"table,omitzero"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitzero"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitzero"`
}

type wirePage struct {
	Rows  []wireRow `json:"rows"`
	Ver   int64     `json:"ver"`
	NowMS float64   `json:"now_ms"`
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", func(w http.ResponseWriter, r *http.Request) {
		page, err := s.rows.List(r.Context(), tables[r.URL.Query().Get("table")])
		s.writeResult(w, r.URL.Query().Get("table"), page, err)
	})
	mux.HandleFunc("GET /rows-feed", func(w http.ResponseWriter, r *http.Request) {
		number, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		after := rowstore.VersionAt(s.rows.Epoch(), number)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		page, err := s.rows.Follow(r.Context(), tables[r.URL.Query().Get("table")], after, time.Duration(wait)*time.Millisecond)
		s.writeResult(w, r.URL.Query().Get("table"), page, err)
	})
	mux.HandleFunc("POST /rows-tx", s.transact)
	return mux
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []wireRow `json:"expected"`
		Puts     []wireRow `json:"puts"`
		Remove   []wireRow `json:"remove"`
	}
	if err := json.UnmarshalRead(r.Body, &body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expect := map[string]int64{}
	for _, row := range body.Expected {
		if row.Ver != 0 {
			row.Ver = rowstore.VersionAt(s.rows.Epoch(), row.Ver)
		}
		expect[row.Table+"/"+row.Key] = row.Ver
	}
	var writes []rowstore.Write
	add := func(row wireRow, remove bool) {
		ver, ok := expect[row.Table+"/"+row.Key]
		if !ok {
			ver = rowstore.AnyVersion
		}
		writes = append(writes, rowstore.Write{Table: tables[row.Table], Key: row.Key, Expect: ver, Value: row.Value, Delete: remove})
	}
	for _, row := range body.Puts {
		add(row, false)
	}
	for _, row := range body.Remove {
		add(row, true)
	}
	result, err := s.rows.Write(context.WithoutCancel(r.Context()), writes...)
	page := rowstore.Page{Rows: result.Current, Version: result.Version, Time: result.Time}
	if err == nil && !result.Applied {
		s.write(w, http.StatusPreconditionFailed, "", page)
		return
	}
	s.writeResult(w, "", page, err)
}

func (s *store) writeResult(w http.ResponseWriter, table string, page rowstore.Page, err error) {
	switch {
	case err == nil:
		s.write(w, http.StatusOK, table, page)
	case errors.Is(err, rowstore.ErrHistoryTruncated):
		w.Header().Set("Store-Era", strconv.FormatInt(s.rows.Epoch(), 10))
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, rowstore.ErrRefused):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
}

func (s *store) write(w http.ResponseWriter, status int, table string, page rowstore.Page) {
	out := wirePage{Rows: []wireRow{}, Ver: rowstore.Number(page.Version), NowMS: float64(page.Time) / float64(time.Millisecond)}
	for _, r := range page.Rows {
		row := wireRow{Key: r.Key, Value: r.Value, Ver: rowstore.Number(r.Version), Tombstone: r.Deleted}
		if table == "op" && r.Key == rowstore.PolicyKey {
			row.Key = configKey
		}
		out.Rows = append(out.Rows, row)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(rowstore.Epoch(page.Version), 10))
	w.WriteHeader(status)
	_ = json.MarshalWrite(w, &out)
}
