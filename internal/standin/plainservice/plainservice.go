// Package plainservice is a stand-in for a plain service that records the requests
// that it executed.
package plainservice

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"

	"fireflypier.example/fireflypier/internal/document"
)

const maxBodyBytes = 64 << 20

// ExecutedRequest is the record of an executed request.
type ExecutedRequest struct {
	Method  string              `json:"method"`
	Path    string              `json:"path"`
	Query   string              `json:"query,omitzero"`
	Header  map[string][]string `json:"header"`
	Body    string              `json:"body"`
	Trailer map[string][]string `json:"trailer,omitzero"`
}

// Fault is a set of faults that the service injects.
type Fault struct {
	// LoseAnswers is the number of subsequent requests that are executed but whose
	// connection is closed without a response.
	LoseAnswers int `json:"lose_answers,omitzero"`
	// RefuseNext is the number of subsequent requests that are not executed and get
	// status 503 with the header Not-Run. It applies once LoseAnswers is zero.
	RefuseNext int `json:"refuse_next,omitzero"`
	// CutAnswers is the number of subsequent requests that are executed but whose
	// response is truncated.
	CutAnswers int `json:"cut_answers,omitzero"`
	// AnswerBytes is the number of bytes of padding in each response.
	AnswerBytes int `json:"answer_bytes,omitzero"`
	// Delay is the time between the execution of a request and its response.
	Delay time.Duration `json:"delay,omitzero"`
}

// Service is a stand-in for a plain service. The response to a request contains its
// body and its number in the order of execution.
type Service struct {
	clock clockwork.Clock

	mu       sync.Mutex
	requests []ExecutedRequest
	fault    Fault
}

// New returns a service that has executed no requests.
func New(clock clockwork.Clock) *Service { return &Service{clock: clock} }

// SetFault replaces the set of injected faults.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// ExecutedRequests returns the executed requests in order.
func (s *Service) ExecutedRequests() []ExecutedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/standin/ran", s.serveRan)
	router.HandlerFunc(http.MethodPost, "/standin/fault", s.serveFault)
	router.NotFound = http.HandlerFunc(s.serve)
	router.HandleMethodNotAllowed = false
	return router
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if s.takeRefusal() {
		w.Header().Set("Not-Run", "true")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	number, fault := s.record(r, body)
	if fault.Delay > 0 {
		s.clock.Sleep(fault.Delay)
	}
	if fault.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, struct {
		Number int    `json:"number"`
		Path   string `json:"path"`
		Echo   string `json:"echo"`
		Fill   string `json:"fill,omitzero"`
	}{number, r.URL.Path, string(body), strings.Repeat("x", fault.AnswerBytes)})
	if fault.CutAnswers > 0 {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// takeRefusal reports whether to refuse a request, and counts it if so.
func (s *Service) takeRefusal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.RefuseNext == 0 || s.fault.LoseAnswers > 0 {
		return false
	}
	s.fault.RefuseNext--
	return true
}

func (s *Service) record(r *http.Request, body []byte) (number int, fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, ExecutedRequest{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		Header: maps.Clone(r.Header), Body: string(body), Trailer: maps.Clone(r.Trailer),
	})
	fault = s.fault
	s.fault.LoseAnswers = max(0, fault.LoseAnswers-1)
	s.fault.CutAnswers = max(0, fault.CutAnswers-1)
	return len(s.requests), fault
}

func (s *Service) serveRan(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, struct {
		Ran []ExecutedRequest `json:"ran"`
	}{s.ExecutedRequests()})
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var fault Fault
	if err := document.Decode("body", data, &fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(fault)
}
