// Package cloud is an in-memory stand-in for the platform. One HTTP handler serves
// the table service, the object store, the weight store and a delayed VM list.
package cloud

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/standin/tablestore"
	"fireflypier.example/fireflypier/internal/table"
	"fireflypier.example/fireflypier/internal/vmlist"
)

const maxBodyBytes = 64 << 20

// Fault is a set of faults that the platform injects.
type Fault struct {
	tablestore.Fault
	// Delay is the time by which each call of the table service and the object store
	// is delayed.
	Delay time.Duration `json:"delay,omitzero"`
	// ListOutage makes requests for the VM list fail.
	ListOutage bool `json:"list_outage,omitzero"`
}

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	clock   clockwork.Clock
	store   *tablestore.Store
	weights *weights

	mu        sync.Mutex
	fault     Fault
	vms       []vmlist.VM
	listDelay time.Duration
	// listVersion is incremented with each change of the VM list; it is the ETag.
	listVersion int
}

// New returns a platform with an empty store. Changes of the VM list become visible
// after listLag.
func New(cfg WeightConfig, listLag time.Duration, clock clockwork.Clock) *Platform {
	return &Platform{
		clock:     clock,
		store:     tablestore.New(),
		weights:   &weights{clock: clock, cfg: cfg},
		listDelay: listLag,
	}
}

// Handler returns the HTTP handler of the platform.
func (c *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/table/row", c.delayed(c.serveRow))
	router.HandlerFunc(http.MethodGet, "/table/scan", c.delayed(c.serveScan))
	router.HandlerFunc(http.MethodPost, "/table/commit", c.delayed(c.serveCommit))
	router.HandlerFunc(http.MethodGet, "/objects/*key", c.delayed(c.serveObject))
	router.HandlerFunc(http.MethodPut, "/objects/*key", c.delayed(c.servePutObject))
	router.HandlerFunc(http.MethodGet, "/vms", c.serveVMs)
	router.HandlerFunc(http.MethodPost, "/weights/load", c.serveLoad)
	router.HandlerFunc(http.MethodPost, "/standin/fault", c.serveFault)
	router.HandlerFunc(http.MethodPost, "/standin/weights", c.serveWeights)
	router.HandlerFunc(http.MethodPost, "/standin/vms", c.serveSetVMs)
	router.HandlerFunc(http.MethodGet, "/standin/counts", c.serveCounts)
	return router
}

// delayed returns a handler that calls h after Delay.
func (c *Platform) delayed(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		delay := c.fault.Delay
		c.mu.Unlock()
		if delay > 0 {
			c.clock.Sleep(delay)
		}
		h(w, r)
	}
}

// writeResponse writes v, or err if it is not nil. For OutcomeUnknown it closes the
// connection without a response.
func writeResponse(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.MarshalWrite(w, v)
	case failure.Is(err, failure.OutcomeUnknown):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), failure.From(err).Answer().Status)
	}
}

// readBody decodes the request body into v. If that fails, it writes an error
// response and returns false.
func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		err = document.Decode("body", data, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (c *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := c.store.Get(r.Context(), r.URL.Query().Get("key"))
	if err == nil && row.Version == 0 {
		err = failure.New(failure.NotFound, "the row does not exist")
	}
	writeResponse(w, row, err)
}

func (c *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	rows, err := c.store.Scan(r.Context(), r.URL.Query().Get("prefix"))
	writeResponse(w, struct {
		Rows []table.Row `json:"rows"`
	}{rows}, err)
}

func (c *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx table.Tx
	if !readBody(w, r, &tx) {
		return
	}
	version, err := c.store.Commit(r.Context(), tx)
	writeResponse(w, struct {
		Version int64 `json:"version"`
	}{version}, err)
}

func (c *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	data, err := c.store.Objects().Get(r.Context(), strings.TrimPrefix(r.URL.Path, "/objects/"))
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (c *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = c.store.Objects().Put(r.Context(), strings.TrimPrefix(r.URL.Path, "/objects/"), data)
	writeResponse(w, struct{}{}, err)
}

func (c *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	etag := strconv.Quote(strconv.Itoa(c.listVersion))
	w.Header().Set("ETag", etag)
	if c.fault.ListOutage {
		writeResponse(w, nil, failure.New(failure.StoreUnavailable, "the VM list is unavailable"))
		return
	}
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeResponse(w, struct {
		VMs []vmlist.VM `json:"vms"`
	}{c.vms}, nil)
}

func (c *Platform) serveLoad(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Kind object.Kind `json:"kind"`
		Name string      `json:"name"`
	}
	if !readBody(w, r, &body) {
		return
	}
	if err := c.weights.load(r.Context(), body.Kind); err != nil {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, struct{}{}, nil)
}

func (c *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if !readBody(w, r, &fault) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
	c.store.SetFault(fault.Fault)
}

func (c *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	var cfg WeightConfig
	if readBody(w, r, &cfg) {
		c.weights.setConfig(cfg)
	}
}

func (c *Platform) serveSetVMs(w http.ResponseWriter, r *http.Request) {
	var body struct {
		VMs []vmlist.VM `json:"vms"`
	}
	if !readBody(w, r, &body) {
		return
	}
	c.clock.AfterFunc(c.listDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.vms = body.VMs
		c.listVersion++
	})
}

func (c *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, c.store.Counts(), nil)
}
