package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in for a model engine that holds one model.
type engine struct {
	id      string
	addr    string
	service string
	zone    string
	model   string
	born    int64
	slots   int
	// events is the number of events of a stream, gap the time between two of them.
	events int
	gap    time.Duration
	// pause, if it is set, returns the time for which an event is held back.
	pause func() time.Duration
	// stays is set if the engine works on when the connection of a request closes.
	stays bool
	// ran is called with each request that begins to run, and returns a function for its end.
	ran func(e *engine, id string, from int) (ended func(how string))

	mu     sync.Mutex
	orders int
}

func (e *engine) held() []map[string]any {
	return []map[string]any{{"name": e.model, "version": 1, "adapters": []string{}}}
}

// row is the entry of the engine in the store.
func (e *engine) row() map[string]any {
	return map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "models": e.held(), "seq": 1, "born": e.born,
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Fireflypier-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Fireflypier-Instance-Id", e.id)
		w.Header().Set("Fireflypier-Request-Id", r.Header.Get("Fireflypier-Request-Id"))
		w.Header().Set("Fireflypier-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	case "/health":
		w.Header().Set("Fireflypier-Instance-Id", e.id)
	default:
		e.stream(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.held(), "busy": false, "seq": e.orders, "waiting": 0, "running": 0,
		"kv_used": 0, "kv_total": 265689, "handles": 0, "born": e.born,
	})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter string
		Expected                  *int
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Expected != nil && *o.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
	case o.Operation == "load" && o.Model == e.model && o.Adapter == "":
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// stream answers a request with numbered events. It stops when it finds the connection closed, unless it
// stays.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Fireflypier-Request-Id")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	ended := e.ran(e, id, from)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Fireflypier-Request-Id", id)
	h.Set("Fireflypier-Server-Seal", "seal."+e.id)
	h.Set("Fireflypier-Weight-Versions", "1")
	for n := from + 1; n <= e.events; n++ {
		if n > from+1 {
			time.Sleep(e.gap)
		}
		if e.pause != nil {
			time.Sleep(e.pause())
		}
		if r.Context().Err() != nil && !e.stays {
			ended("dropped, its connection is closed")
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil && !e.stays {
			ended("dropped, its connection is broken")
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	ended("complete")
}

// listen returns a listener on a free port of an address.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	return l
}
