package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	adapterSlots  = 8
	adapterLoad   = 10 * time.Millisecond
	modelLoad     = 1200 * time.Millisecond
	weightsMB     = 220000
	modelMB       = 65100
	firstEvent    = 60 * time.Millisecond
	eventInterval = 20 * time.Millisecond
	eventCount    = 10
	// longInterval and longCount are those of requests with long answers.
	longInterval = 60 * time.Millisecond
	longCount    = 58
	heartbeat    = 1200 * time.Millisecond
)

// order is an order as an engine received it.
type order struct {
	at        time.Time
	engine    string
	holder    string
	fence     int64
	operation string
	model     string
	adapter   string
	expected  int64
	status    int
	// late is set if the answer is delayed.
	late bool
}

// engine is a stand-in for a model engine, or for a server of a plain service if it has no models.
type engine struct {
	w       *world
	id      string
	service string
	zone    string
	address string
	born    int64

	mu sync.Mutex
	// models has the adapters of each model that is held.
	models map[string]map[string]bool
	// inUse counts the requests by model/adapter.
	inUse map[string]int
	// coming has the adapters under way, leaving those that go when their requests have ended.
	coming, leaving map[string]bool
	busy            bool
	seq             int64
	// orderDelay is how late a share lateShare of the orders is answered.
	orderDelay time.Duration
	running    int
	crashed    bool
	// restart serves on a listener.
	restart func(l net.Listener)
	// serve, if set, serves a request instead of the default.
	serve func(w http.ResponseWriter, r *http.Request, id string) bool
}

// newEngine starts an engine that listens on a free port of ip, and registers it in the store.
func newEngine(w *world, id, service, zone, ip string, models ...string) (*engine, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	e := &engine{
		w: w, id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(),
		models: map[string]map[string]bool{}, inUse: map[string]int{}, coming: map[string]bool{}, leaving: map[string]bool{},
	}
	for _, m := range models {
		e.models[m] = map[string]bool{}
	}
	go func() { _ = http.Serve(l, e) }()
	e.register()
	go func() {
		for range time.Tick(heartbeat) {
			e.register()
		}
	}()
	return e, nil
}

func (e *engine) setOrderDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderDelay = d
}

// modelList returns what the engine holds. The caller holds e.mu.
func (e *engine) modelList() []map[string]any {
	list := []map[string]any{}
	for m, adapters := range e.models {
		names := []string{}
		for a := range adapters {
			names = append(names, a)
		}
		sort.Strings(names)
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": names})
	}
	return list
}

func (e *engine) register() {
	e.mu.Lock()
	row, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "models": e.modelList(), "seq": e.seq, "born": e.born,
	})
	e.mu.Unlock()
	e.w.store.put("servers", e.id, row)
}

// ServeHTTP serves reports, orders and requests.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		e.report(w)
		return
	}
	if want := r.Header.Get("Fireflypier-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Fireflypier-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/order" {
		e.order(w, r)
		return
	}
	e.run(w, r)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	coming := []string{}
	for key := range e.coming {
		coming = append(coming, key+"@1")
	}
	data, _ := json.Marshal(map[string]any{
		"stage": "both", "models": e.modelList(), "busy": e.busy, "seq": e.seq, "waiting": 0, "running": e.running,
		"kv_used": 0, "kv_total": 270933, "handles": 0, "born": e.born, "coming": coming, "state": "ready",
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
	})
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// order carries out an order as it arrives, and answers it after orderDelay.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var o struct {
		Operation    string `json:"operation"`
		Model        string `json:"model"`
		Adapter      string `json:"adapter"`
		Expected     *int64 `json:"expected"`
		Holder       string `json:"holder"`
		FencingToken int64  `json:"fencing_token"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &o) != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := http.StatusConflict
	if o.Expected == nil || *o.Expected == e.seq {
		status = e.carryOut(o.Operation, o.Model, o.Adapter)
	}
	delay := e.orderDelay
	if rand.Float64() >= lateShare {
		delay = 0
	}
	e.mu.Unlock()
	expected := int64(-1)
	if o.Expected != nil {
		expected = *o.Expected
	}
	e.w.recordOrder(order{at: arrived, engine: e.id, holder: o.Holder, fence: o.FencingToken, operation: o.Operation, model: o.Model, adapter: o.Adapter, expected: expected, status: status, late: delay > 0})
	time.Sleep(delay)
	w.WriteHeader(status)
}

// carryOut returns the status of the answer. The caller holds e.mu.
func (e *engine) carryOut(operation, model, adapter string) int {
	adapters, held := e.models[model]
	key := model + "/" + adapter
	switch {
	case adapter != "" && operation == "load":
		if !held {
			return http.StatusBadRequest
		}
		if adapters[adapter] || e.coming[key] {
			return http.StatusOK
		}
		e.seq++
		e.coming[key] = true
		if e.adapterCount() > adapterSlots {
			e.crashed = true
		}
		time.AfterFunc(adapterLoad, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.coming, key)
			if a, ok := e.models[model]; ok {
				a[adapter] = true
			}
		})
		return http.StatusAccepted
	case adapter != "":
		if !held || !adapters[adapter] {
			return http.StatusOK
		}
		e.seq++
		if e.inUse[key] > 0 {
			e.leaving[key] = true // until its requests have ended
			return http.StatusAccepted
		}
		delete(adapters, adapter)
		return http.StatusOK
	case operation == "load":
		if held {
			return http.StatusOK
		}
		if e.busy {
			return http.StatusConflict
		}
		e.seq++
		e.busy = true
		time.AfterFunc(modelLoad, func() {
			e.mu.Lock()
			e.busy = false
			e.models[model] = map[string]bool{}
			e.mu.Unlock()
			e.register()
		})
		return http.StatusAccepted
	default:
		if !held {
			return http.StatusOK
		}
		if e.busy {
			return http.StatusConflict
		}
		e.seq++
		delete(e.models, model)
		return http.StatusAccepted
	}
}

func (e *engine) adapterCount() int {
	n := len(e.coming)
	for _, adapters := range e.models {
		n += len(adapters)
	}
	return n
}

// run runs a request.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Fireflypier-Request-Id")
	if e.serve != nil && e.serve(w, r, id) {
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	name := r.Header.Get("Fireflypier-Model")
	if name == "" {
		e.w.recordRun(id, e.id)
		time.Sleep(30 * time.Millisecond)
		e.head(w, id)
		_, _ = fmt.Fprintf(w, "answer of %s to %s", e.id, id)
		return
	}
	model, adapter, _ := strings.Cut(name, "/")
	e.mu.Lock()
	adapters, held := e.models[model]
	if !held || (adapter != "" && !adapters[adapter]) {
		e.mu.Unlock()
		w.Header().Set("Fireflypier-Request-Id", id)
		w.Header().Set("Fireflypier-Instance-Id", e.id)
		w.Header().Set("Fireflypier-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.leaving[name] {
		e.mu.Unlock()
		w.Header().Set("Fireflypier-Request-Id", id)
		w.Header().Set("Fireflypier-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.inUse[name]++
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.inUse[name]--
		e.running--
		if e.leaving[name] && e.inUse[name] == 0 {
			delete(e.leaving, name)
			delete(e.models[model], adapter)
		}
	}()
	e.w.recordRun(id, e.id)
	e.head(w, id)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(firstEvent)
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	count, interval := eventCount, eventInterval
	if strings.HasPrefix(r.URL.Path, "/ask/") {
		count, interval = longCount, longInterval
	}
	for i := first; i <= count; i++ {
		if r.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(interval)
	}
}

func (e *engine) head(w http.ResponseWriter, id string) {
	w.Header().Set("Fireflypier-Request-Id", id)
	w.Header().Set("Fireflypier-Server-Seal", "seal-"+e.id)
}
