// Package callerapi serves callers: the OpenAI-compatible generation calls,
// the list of models, the entry addresses, and the routes to plain services.
package callerapi

import (
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/julienschmidt/httprouter"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/admission"
	"fireflypier.example/fireflypier/internal/claim"
	"fireflypier.example/fireflypier/internal/dispatch"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/keyguard"
	"fireflypier.example/fireflypier/internal/limiter"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/prefix"
	"fireflypier.example/fireflypier/internal/request"
)

// Headers of the callers' API.
const (
	headerRequestID     = "X-Request-Id"
	headerClass         = "X-Priority-Class"
	headerAuthorization = "Authorization"
	headerNotRepeatable = "X-Not-Repeatable"
	headerIdempotency   = "Idempotency-Key"
	maxIdempotencyKey   = 255
	maxRequestIDLength  = 128
)

// Limits bound what one request may ask for.
type Limits struct {
	// MaxBodyBytes and BodyTimeout bound request bodies.
	MaxBodyBytes int64
	BodyTimeout  time.Duration
	// RequestTimeout bounds a request from its arrival.
	RequestTimeout time.Duration
	// WriteTimeout bounds one write to a slow caller.
	WriteTimeout time.Duration
	// MaxRecordedBytes bounds the recorded body of an answer.
	MaxRecordedBytes int
	// DefaultMaxTokens bounds answers whose request names no bound.
	DefaultMaxTokens int
	// EntryTTL is how long a caller keeps an entry answer.
	EntryTTL time.Duration
}

// Config holds the dependencies and limits of an API.
type Config struct {
	// Clock, Logger and Limits serve all calls.
	Clock  clockwork.Clock
	Logger hclog.Logger
	Limits Limits
	// Admission checks keys, Limiter charges, Dispatcher runs generations.
	Admission  *admission.Admission
	Limiter    *limiter.Limiter
	Dispatcher *dispatch.Dispatcher
	// Claims make requests with an id run at most once.
	Claims *claim.Claims
	// Plain serves every path that is not the API's own.
	Plain http.Handler
	// Gateways chooses the addresses of GET /v1/entry.
	Gateways Gateways
}

// API is the callers' HTTP interface.
type API struct {
	clock  clockwork.Clock
	logger hclog.Logger
	limits Limits
	parts  Config
}

// New returns the callers' HTTP interface over its parts.
func New(p Config) *API {
	return &API{clock: p.Clock, logger: p.Logger, limits: p.Limits, parts: p}
}

// Handler returns the routes of the API.
func (api *API) Handler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/v1/chat/completions", api.serveChat)
	router.HandlerFunc(http.MethodPost, "/v1/completions", api.serveCompletions)
	router.HandlerFunc(http.MethodGet, "/v1/models", api.serveModels)
	router.HandlerFunc(http.MethodGet, "/v1/entry", api.serveEntry)
	router.NotFound = http.HandlerFunc(api.serveOther)
	router.MethodNotAllowed = http.HandlerFunc(serveMethodNotAllowed)
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	return withoutKey(withRequestID(router))
}

// withoutKey keeps the key of each request from travelling on.
func withoutKey(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := keyguard.New(r.Header.Get(headerAuthorization)).Protect(r); err != nil {
			WriteError(w, err)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// withRequestID gives every answer the caller's request id, or a fresh one.
func withRequestID(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerRequestID)
		if !validRequestID(id) {
			id = uuid.NewString()
			r.Header.Set(headerRequestID, id)
		}
		w.Header().Set(headerRequestID, id)
		h.ServeHTTP(w, r)
	})
}

func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDLength {
		return false
	}
	for _, c := range id {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

func serveMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	WriteError(w, failure.New(failure.MethodNotAllowed, "%s does not take %s", r.URL.Path, r.Method))
}

func (api *API) serveOther(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		WriteError(w, failure.New(failure.UnknownRoute, "there is no %s", r.URL.Path))
		return
	}
	api.parts.Plain.ServeHTTP(w, r)
}

func (api *API) serveModels(w http.ResponseWriter, r *http.Request) {
	ticket, err := api.parts.Admission.Admit(r.Header.Get(headerAuthorization))
	if err != nil {
		WriteError(w, err)
		return
	}
	type modelBody struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	c := api.parts.Admission.Catalog()
	created := c.Snapshot().Time.Unix()
	models := []modelBody{}
	for _, name := range c.Names(ticket.Customer) {
		models = append(models, modelBody{name, "model", created, "fireflypier"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, struct {
		Object string      `json:"object"`
		Data   []modelBody `json:"data"`
	}{"list", models})
}

func (api *API) serveChat(w http.ResponseWriter, r *http.Request) {
	api.serveGeneration(w, r, &chatShape)
}

func (api *API) serveCompletions(w http.ResponseWriter, r *http.Request) {
	api.serveGeneration(w, r, &textShape)
}

func (api *API) serveGeneration(w http.ResponseWriter, r *http.Request, s *shape) {
	arrival := api.clock.Now()
	ticket, err := api.parts.Admission.Admit(r.Header.Get(headerAuthorization))
	if err != nil {
		WriteError(w, err)
		return
	}
	data, err := api.readBody(w, r, api.limits.MaxBodyBytes)
	if err != nil {
		WriteError(w, err)
		return
	}
	body, err := api.decodeGeneration(data, s.chat)
	if err != nil {
		WriteError(w, err)
		return
	}
	req, err := api.newRequest(r, ticket, body, s, arrival)
	if err != nil {
		WriteError(w, err)
		return
	}
	charge, err := api.parts.Limiter.Take(r.Context(), ticket.Customer, req.Cost())
	if err != nil {
		WriteError(w, err)
		return
	}
	g := &generation{w: w, r: r, request: req, body: body, raw: data, shape: s}
	charge.Settle(float64(api.run(g)))
}

func (api *API) logRefusal(req *request.Request, err error) {
	api.logger.Info("request failed", "request_id", req.ID, "customer", req.Ticket.Customer, "reason", err)
}

func (api *API) newRequest(r *http.Request, ticket admission.Ticket, body *generationBody, s *shape, arrival time.Time) (*request.Request, error) {
	weights, ok := api.parts.Admission.Catalog().Weights(body.Model)
	if !ok {
		return nil, failure.New(failure.UnknownModel, "there is no model %q", body.Model)
	}
	if !weights.Allows(ticket.Customer) {
		return nil, failure.New(failure.Forbidden, "customer %s may not use %q", ticket.Customer, body.Model)
	}
	maxTokens, err := body.maxTokens(api.limits.DefaultMaxTokens)
	if err != nil {
		return nil, err
	}
	class, err := classOf(r.Header.Get(headerClass), object.ClassNormal)
	if err != nil {
		return nil, err
	}
	notRepeatable, err := notRepeatableOf(r.Header.Get(headerNotRepeatable))
	if err != nil {
		return nil, err
	}
	prompt := body.Prompt
	if s.chat {
		prompt = body.Messages
	}
	req := &request.Request{
		ID:        r.Header.Get(headerRequestID),
		Ticket:    ticket,
		Weights:   weights,
		Class:     class,
		Prompt:    prompt,
		Sampling:  body.Sampling,
		Prefix:    prefix.HashPrompt(weights.Model, prompt),
		MaxTokens: maxTokens,
		Arrival:   arrival,
		Deadline:  arrival.Add(api.limits.RequestTimeout),

		NotRepeatable: notRepeatable,
	}
	if limit := weights.MaxRequestTokens; limit > 0 && req.Cost() > float64(limit) {
		return nil, failure.New(failure.BadRequest, "prompt and max_tokens make %.0f tokens, the model takes %d", req.Cost(), limit)
	}
	return req, nil
}

func classOf(header string, byDefault object.Class) (object.Class, error) {
	switch class := object.Class(header); class {
	case "":
		return byDefault, nil
	case object.ClassUrgent, object.ClassNormal, object.ClassBackground:
		return class, nil
	}
	return "", failure.New(failure.BadRequest, "%s must be urgent, normal or background", headerClass)
}
