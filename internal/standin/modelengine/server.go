package modelengine

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/julienschmidt/httprouter"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/failure"
)

const maxRequestBytes = 64 << 20

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/v1/generate", e.serveGenerate)
	router.HandlerFunc(http.MethodPost, "/v1/cancel", e.serveCancel)
	router.HandlerFunc(http.MethodGet, "/v1/report", e.serveReport)
	router.HandlerFunc(http.MethodPost, "/v1/orders", e.serveOrder)
	router.HandlerFunc(http.MethodGet, "/standin/ran", e.serveRan)
	router.HandlerFunc(http.MethodPost, "/standin/fault", e.serveFault)
	return router
}

// readBody decodes the request body into v. If that fails, it writes an error
// response and returns false.
func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err == nil {
		err = document.Decode("body", data, v)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, engine.RefusedBadRequest, err.Error())
		return false
	}
	return true
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.MarshalWrite(w, engine.Refusal{Code: code, Message: message})
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req engine.GenerateRequest
	if !readBody(w, r, &req) {
		return
	}
	flusher := http.NewResponseController(w)
	started := false
	buffer := make([]byte, 0, 256)
	emit := func(f engine.Frame) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
		}
		data, err := json.Marshal(f)
		if err != nil {
			return err
		}
		buffer = append(buffer[:0], "data: "...)
		buffer = append(buffer, data...)
		buffer = append(buffer, "\n\n"...)
		if _, err := w.Write(buffer); err != nil {
			return err
		}
		return flusher.Flush()
	}
	err := e.Generate(r.Context(), &req, emit)
	switch {
	case err == nil:
	case started:
		panic(http.ErrAbortHandler)
	case failure.Is(err, failure.NoReplica):
		refuse(w, http.StatusNotFound, engine.RefusedNotLoaded, err.Error())
	case failure.Is(err, failure.Overloaded):
		refuse(w, http.StatusServiceUnavailable, engine.RefusedOverloaded, err.Error())
	default:
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		AttemptID string `json:"attempt_id"`
	}
	if readBody(w, r, &body) {
		e.Cancel(body.AttemptID)
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, engine.RefusedBadRequest, "query parameter after is not an integer")
		return
	}
	writeJSON(w, e.Report(after))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readBody(w, r, &order) {
		return
	}
	fault := e.takeOrderFault()
	switch {
	case fault.DropOrders > 0:
		panic(http.ErrAbortHandler)
	case fault.OrderDelay > 0:
		e.scheduleOrder(&order, fault.OrderDelay)
		e.scheduleOrder(&order, 2*fault.OrderDelay)
		panic(http.ErrAbortHandler)
	}
	if !e.Order(&order) {
		refuse(w, http.StatusConflict, engine.RefusedFencing, "the fencing token is below the highest one seen")
		return
	}
	if fault.LoseOrderAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) scheduleOrder(o *engine.Order, d time.Duration) {
	e.clock.AfterFunc(d, func() { e.Order(o) })
}

// takeOrderFault returns the faults that apply to an order, and counts the order
// against DropOrders or LoseOrderAnswers.
func (e *Engine) takeOrderFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault := e.fault
	e.fault.DropOrders = max(0, fault.DropOrders-1)
	if fault.DropOrders == 0 {
		e.fault.LoseOrderAnswers = max(0, fault.LoseOrderAnswers-1)
	}
	return fault
}

func (e *Engine) serveRan(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, struct {
		Ran []Generation `json:"ran"`
	}{e.Generations()})
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if readBody(w, r, &fault) {
		e.SetFault(fault)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, v)
}
