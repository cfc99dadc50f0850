package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
)

// run is a request that reached an engine.
type run struct {
	id, engine, model, prefix, tenant string
	// line is the target of the request line, path the path that it has for the engine.
	line, path          string
	at                  time.Time
	begun, done, failed bool
}

// order is an order that reached an engine.
type order struct {
	engine, holder, operation, model, adapter string
	fence                                     int64
	status                                    int
	at                                        time.Time
}

// engine is a stand-in of a model engine, or of a plain service if it has no models.
type engine struct {
	site    *site
	service string
	// crashOn is a part of prompts on which the engine crashes; back is the time after
	// which it is there again.
	crashOn string
	back    time.Duration
	// events and gap describe the streams of the engine.
	events int
	gap    time.Duration
	// work is the time of a plain request.
	work  time.Duration
	slots int
	// failing is the share of plain requests that the engine fails with 503 after it has run
	// them.
	failing float64

	mu       sync.Mutex
	id       string
	born     int64
	listener net.Listener
	server   *http.Server
	up       bool
	// silent is set once the engine writes no entry any more; cutOff is the number of the
	// requests that it ran when it left.
	silent   bool
	cutOff   int
	models   []string
	adapters map[string]bool
	seq      int64
	lastRow  string
	starts   int
	runs     []*run
	orders   []order
	crashes  []time.Time
}

var (
	engineMu    sync.Mutex
	engineCount int
)

// startEngine starts an engine that holds the given models.
func (s *site) startEngine(e *engine) *engine {
	e.site, e.adapters = s, map[string]bool{}
	s.mu.Lock()
	s.engines = append(s.engines, e)
	s.mu.Unlock()
	e.start()
	go func() {
		for {
			time.Sleep(heartbeat)
			e.beat()
		}
	}()
	return e
}

// start begins a new lifetime, under a new ID and at a new address.
func (e *engine) start() {
	engineMu.Lock()
	engineCount++
	id := fmt.Sprintf("i-%04x", 0x7f00+engineCount)
	engineMu.Unlock()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e.mu.Lock()
	e.id, e.born, e.listener, e.up, e.seq, e.lastRow = id, time.Now().UnixMilli(), l, true, 0, ""
	e.adapters = map[string]bool{}
	e.starts++
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.beat()
}

// beat writes the engine's entry if it has changed.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || e.silent {
		return
	}
	text := string(e.state(map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": "a", "version": "v1", "slots": e.slots, "state": "ready", "cold_left_ms": 0, "stage": "both",
	}))
	if text != e.lastRow {
		e.lastRow = text
		e.site.store.put("servers", e.id, []byte(text))
	}
}

// state returns what the engine says of itself with more fields; the caller holds e.mu.
func (e *engine) state(fields map[string]any) []byte {
	models := []map[string]any{}
	for _, m := range e.models {
		names := []string{}
		for a := range e.adapters {
			if model, name, _ := strings.Cut(a, "/"); model == m {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": names})
	}
	fields["models"], fields["seq"], fields["born"] = models, e.seq, e.born
	text, err := json.Marshal(fields)
	check(err)
	return text
}

// crash ends the lifetime without a word, as the end of a process does; its entry goes
// after three heartbeats of silence, and the engine is back after e.back.
func (e *engine) crash(why string) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	id, server := e.id, e.server
	e.crashes = append(e.crashes, time.Now())
	lost := 0
	for _, r := range e.runs {
		if r.begun && !r.done {
			lost++
		}
	}
	e.mu.Unlock()
	e.site.note("engine %s crashes (%s); %d streams that it had begun break off", id, why, lost)
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() { e.site.store.remove("servers", id) })
	time.AfterFunc(e.back, e.start)
}

// leave removes the engine's entry without a report that it drains, and ends its process
// after a time; until then it goes on serving. It returns the engine's ID, and its entry.
func (e *engine) leave(after time.Duration) (id, entry string) {
	e.mu.Lock()
	id, entry, server := e.id, e.lastRow, e.server
	e.silent = true
	e.mu.Unlock()
	e.site.note("engine %s leaves: its entry is removed", id)
	e.site.store.remove("servers", id)
	time.AfterFunc(after, func() {
		e.mu.Lock()
		e.up = false
		running := 0
		for _, r := range e.runs {
			if !r.done {
				running++
			}
		}
		e.cutOff = running
		e.mu.Unlock()
		_ = server.Close()
		e.site.note("engine %s has left; %d requests that it ran are cut off", id, running)
	})
	return id, entry
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Fireflypier-Request-Id")
	if id != "" {
		w.Header().Set("Fireflypier-Request-Id", id)
	}
	e.mu.Lock()
	self, up := e.id, e.up
	e.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/report" && id == "" {
		e.report(w)
		return
	}
	if expected := r.Header.Get("Fireflypier-Expect-Instance"); expected != "" && expected != self {
		w.Header().Set("Fireflypier-Instance-Id", self)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/order" && id == "" {
		e.order(w, r)
		return
	}
	e.request(w, r, id)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	running := 0
	for _, r := range e.runs {
		if r.begun && !r.done {
			running++
		}
	}
	text := e.state(map[string]any{"stage": "both", "busy": false, "waiting": 0, "running": running, "kv_used": 0, "kv_total": 200000, "handles": 0})
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// order carries out an order for an adapter.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int64
		Fence                             int64 `json:"fencing_token"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := e.execute(body.Operation, body.Model, body.Adapter, body.Expected)
	o := order{engine: e.id, holder: body.Holder, operation: body.Operation, model: body.Model, adapter: body.Adapter, fence: body.Fence, status: status, at: time.Now()}
	e.orders = append(e.orders, o)
	e.mu.Unlock()
	e.site.note("order at %s from %s fence %d: %s %s %s -> %d", o.engine, o.holder, o.fence, o.operation, o.model, o.adapter, status)
	w.WriteHeader(status)
}

// execute carries out an order and returns the status of its answer; the caller holds e.mu.
func (e *engine) execute(operation, model, adapter string, expected *int64) int {
	key := model + "/" + adapter
	switch {
	case expected != nil && *expected != e.seq:
		return http.StatusConflict
	case adapter == "" && operation == "load" && slices.Contains(e.models, model):
		return http.StatusOK
	case adapter == "":
		return http.StatusConflict
	case operation == "load" && e.adapters[key]:
		return http.StatusOK
	case operation == "load":
		e.seq++
		e.adapters[key] = true
		return http.StatusAccepted
	case !e.adapters[key]:
		return http.StatusOK
	}
	e.seq++
	delete(e.adapters, key)
	return http.StatusOK
}

// request runs a request of a caller.
func (e *engine) request(w http.ResponseWriter, r *http.Request, id string) {
	up := true
	body, _ := io.ReadAll(r.Body)
	model := r.Header.Get("Fireflypier-Model")
	x := &run{id: id, model: model, prefix: r.Header.Get("Fireflypier-Prompt-Prefix"), line: r.RequestURI, path: r.URL.Path, tenant: r.Header.Get("Fireflypier-Tenant"), at: time.Now()}
	e.mu.Lock()
	x.engine = e.id
	name, adapter, _ := strings.Cut(model, "/")
	holds := model == "" || (slices.Contains(e.models, name) && (adapter == "" || e.adapters[model]))
	if holds {
		e.runs = append(e.runs, x)
	}
	e.mu.Unlock()
	if !holds {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.site.note("request %s at engine %s: %s %s, path %s, model %q prefix %q, %d bytes", id, x.engine, r.Method, r.RequestURI, r.URL.Path, model, x.prefix, len(body))
	w.Header().Set("Fireflypier-Server-Seal", "seal."+x.engine+"."+id)
	if model == "" {
		time.Sleep(e.work)
		e.mu.Lock()
		x.failed, up = rand.Float64() < e.failing, e.up
		e.mu.Unlock()
		if !up {
			return
		}
		e.finish(x)
		if x.failed {
			e.site.note("engine %s has run request %s and fails it with 503", x.engine, id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintf(w, "answer %s", id)
		return
	}
	time.Sleep(30 * time.Millisecond)
	if e.crashOn != "" && crashes(x.prefix, e.crashOn) {
		e.crash("it begins to write an answer to " + id)
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	x.begun = e.up && e.id == x.engine
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := 1; i <= e.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id); err != nil || r.Context().Err() != nil {
			return
		}
		_ = flusher.Flush()
		time.Sleep(e.gap)
	}
	e.finish(x)
}

func (e *engine) finish(x *run) {
	e.mu.Lock()
	x.begun, x.done = true, true
	e.mu.Unlock()
}

// crashes reports whether a part, but not the last one, of a prompt is the one named.
func crashes(prefix, part string) bool {
	parts := strings.Split(prefix, ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool { return strings.HasPrefix(p, part+":") })
}

// allRuns returns the requests that reached an engine, by time.
func (s *site) allRuns() []run {
	var all []run
	for _, e := range s.engines {
		e.mu.Lock()
		for _, r := range e.runs {
			all = append(all, *r)
		}
		e.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b run) int { return a.at.Compare(b.at) })
	return all
}

// allCrashes returns the times of all crashes, in order.
func (s *site) allCrashes() []time.Time {
	var all []time.Time
	for _, e := range s.engines {
		e.mu.Lock()
		all = append(all, e.crashes...)
		e.mu.Unlock()
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}
