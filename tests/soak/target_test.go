package soak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/faultproxy"
)

const (
	modelMB         = 70
	engineMB        = 200
	loadTime        = 300 * time.Millisecond
	slots           = 8
	leaseDuration   = 3 * time.Second        // lease_ms in the settings of the nodes
	thawGrace       = 300 * time.Millisecond // orders in transit when a VM is thawed are not violations
	eventInterval   = 20 * time.Millisecond
	eventsPerAnswer = 8
)

// target is one instance of a plain service or an engine, behind a fault proxy.
type target struct {
	site    *testSite
	id      string
	pool    string
	born    int64
	server  *httptest.Server
	proxy   *faultproxy.Proxy
	mu      sync.Mutex
	models  []string
	loading string
	seq     int64
	// holder is the sender of the last order, which arrived at orderAt.
	holder   string
	orderAt  time.Time
	draining bool
	trouble  trouble
	// place holds one run, and waiting counts those that wait for it or have it, while the
	// target fills up.
	place   chan struct{}
	waiting atomic.Int32
	// limit is the limit that the target names, if it is above zero. Until distantUntil it
	// turns requests away and wants none. calls has the times of all calls in that time.
	limit        int
	distantUntil time.Time
	calls        []time.Time
	// successor serves at the target's address after the target has ended.
	successor atomic.Pointer[target]
}

// recordCall records a call, and has its answer say what the target wants. It returns the
// time for which the target turns requests away.
func (t *target) recordCall(w http.ResponseWriter) (distance time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	distance = t.distantUntil.Sub(now)
	if t.limit > 0 || distance > 0 {
		t.calls = append(t.calls, now)
	}
	if t.limit > 0 {
		w.Header().Set("Server-Limit", strconv.Itoa(t.limit))
	}
	if t.draining {
		w.Header().Set("Server-Leaving", "1")
	}
	return distance
}

// serve answers reports and orders, and runs and records any other request.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Fireflypier-Request-Id")
	distance := t.recordCall(w)
	switch {
	case r.URL.Path == "/report":
		t.report(w)
		return
	case r.Header.Get("Fireflypier-Expect-Instance") != t.id:
		t.misdirect(w, r, id)
		return
	case r.URL.Path == "/order":
		t.order(w, r)
		return
	case r.Header.Get("Authorization") != "":
		t.site.reportViolation("%s received the API key of request %s", t.id, id)
	}
	if distance > 0 {
		w.Header().Set("Fireflypier-Request-Id", id)
		w.Header().Set("Fireflypier-Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(distance.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if model := r.Header.Get("Fireflypier-Model"); model != "" && !t.holds(model) {
		t.misdirect(w, r, id)
		return
	}
	if arrived := t.site.arrived.Load(); arrived != nil && (*arrived)(w, r, id) {
		return
	}
	if t.refuseOften(w, r, id) || t.misbehave(w, r, id) {
		return
	}
	// Until it has read the body, net/http does not notice that the sender has left.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the request is not complete
	}
	defer t.site.recordRun(id, t.id)()
	if bytes.HasPrefix(body, []byte(deadlyMark)) {
		t.crash(string(body))
	}
	w.Header().Set("Fireflypier-Request-Id", id)
	w.Header().Set("Fireflypier-Server-Seal", "seal-"+t.id)
	if t.pool != "engines" {
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "answer %s", id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	stallAt, late := t.stallAt()
	for i := lastEvent(r) + 1; i <= eventsPerAnswer; i++ {
		if i == stallAt {
			<-r.Context().Done()
			time.Sleep(late)
		}
		if r.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventInterval)
	}
}

func (t *target) holds(model string) bool {
	return slices.Contains(t.held(), model)
}

// held returns the models that the target holds.
func (t *target) held() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.models)
}

func (t *target) report(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	body := struct {
		Models []heldModel `json:"models"`
		Busy   bool        `json:"busy"`
		Seq    int64       `json:"seq"`
		Born   int64       `json:"born"`
	}{Models: []heldModel{}, Busy: t.loading != "", Seq: t.seq, Born: t.born}
	for _, m := range t.models {
		body.Models = append(body.Models, heldModel{Name: m, Version: 1})
	}
	_ = json.MarshalWrite(w, &body)
}

type heldModel struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// order executes an order. It reports a violation if orders of two holders arrive
// less than a lease apart, or if a model does not fit into memory.
func (t *target) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Expected  int64  `json:"expected"`
		Holder    string `json:"holder"`
	}
	if err := json.UnmarshalRead(r.Body, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.holder != "" && t.holder != o.Holder && now.Sub(t.orderAt) < leaseDuration && !t.site.recentlyThawed(now) {
		t.site.reportViolation("%s received orders from %s and %s within %s", t.id, t.holder, o.Holder, now.Sub(t.orderAt))
	}
	t.holder, t.orderAt = o.Holder, now
	if t.loading != "" || o.Expected != t.seq {
		w.WriteHeader(http.StatusConflict)
		return
	}
	t.seq++
	if o.Operation == "unload" {
		for i, m := range t.models {
			if m == o.Model {
				t.models = append(t.models[:i], t.models[i+1:]...)
				break
			}
		}
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if (len(t.models)+1)*modelMB > engineMB {
		t.site.reportViolation("%s was ordered to load %s, which does not fit into memory beside %v", t.id, o.Model, t.models)
	}
	t.loading = o.Model
	time.AfterFunc(loadTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.models, t.loading = append(t.models, t.loading), ""
		t.site.putRow(t)
	})
	w.WriteHeader(http.StatusAccepted)
}

// row returns the target's row in the store. The caller holds the target's mutex,
// or no other goroutine has access to the target.
func (t *target) row() []byte {
	var models []string
	for _, m := range t.models {
		models = append(models, fmt.Sprintf(`{"name":%q,"version":1,"adapters":[]}`, m))
	}
	state := "ready"
	if t.draining {
		state = "draining"
	}
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","version":"v1","slots":%d,"state":%q,"cold_left_ms":0,"seq":%d,"born":%d,"models":[%s]}`,
		t.pool, t.proxy.Addr(), slots, state, t.seq, t.born, strings.Join(models, ","))
}
