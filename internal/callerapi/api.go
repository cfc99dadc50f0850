// Package callerapi implements the HTTP API for callers: OpenAI-compatible
// generation, the list of models and the addresses of gateways. All other paths
// are passed to the handler for plain services.
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

	"fireflypier.example/fireflypier/internal/auth"
	"fireflypier.example/fireflypier/internal/claim"
	"fireflypier.example/fireflypier/internal/dispatch"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/keyguard"
	"fireflypier.example/fireflypier/internal/limiter"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/prefix"
	"fireflypier.example/fireflypier/internal/request"
	"fireflypier.example/fireflypier/internal/serving/buffermemory"
)

// Request headers and their limits.
const (
	headerRequestID     = "X-Request-Id"
	headerClass         = "X-Priority-Class"
	headerAuthorization = "Authorization"
	headerNotRepeatable = "X-Not-Repeatable"
	headerIdempotency   = "Idempotency-Key"
	maxIdempotencyKey   = 255
	maxRequestIDLength  = 128
)

// Limits bounds the size and duration of requests.
type Limits struct {
	// MaxBodyBytes bounds the size of a generation body, BodyTimeout the time
	// to read it.
	MaxBodyBytes int64
	BodyTimeout  time.Duration
	// RequestTimeout bounds the time from the arrival of a generation request
	// to the end of its response.
	RequestTimeout time.Duration
	// WriteTimeout bounds one write to the caller of a stream.
	WriteTimeout time.Duration
	// MaxRecordedBytes bounds the response body that is recorded for repeated
	// requests.
	MaxRecordedBytes int
	// DefaultMaxTokens is the value of max_tokens for requests without one.
	DefaultMaxTokens int
	// EntryTTL is the time for which a caller may cache the response of
	// GET /v1/entry; it is sent in whole seconds, rounded up.
	EntryTTL time.Duration
}

// Config holds the dependencies and limits of an API.
type Config struct {
	// Clock, Logger and Limits are used by all handlers.
	Clock  clockwork.Clock
	Logger hclog.Logger
	Limits Limits
	// Authenticator authenticates callers, Limiter charges customers for tokens
	// and Dispatcher runs generations.
	Authenticator *auth.Authenticator
	Limiter       *limiter.Limiter
	Dispatcher    *dispatch.Dispatcher
	// Claims makes requests with an idempotency key run at most once.
	Claims *claim.Claims
	// Bodies is the memory for the bodies of requests in progress.
	Bodies *buffermemory.Budget
	// Plain serves the paths outside /v1/.
	Plain http.Handler
	// Gateways selects the addresses returned by GET /v1/entry.
	Gateways Gateways
}

// API is the HTTP API for callers.
type API struct {
	clock  clockwork.Clock
	logger hclog.Logger
	limits Limits
	config Config
}

// New returns an API with the given dependencies.
func New(cfg Config) *API {
	return &API{clock: cfg.Clock, logger: cfg.Logger, limits: cfg.Limits, config: cfg}
}

// Handler returns the handler of all paths. It sets X-Request-Id on every
// response, except the error response to a URL that contains the API key.
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
	return protectKey(withRequestID(router))
}

// protectKey keeps the API key of a request from reaching a target in other
// headers, the URL or the body.
func protectKey(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := keyguard.New(r.Header.Get(headerAuthorization)).Protect(r); err != nil {
			WriteError(w, err)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// withRequestID sets X-Request-Id on the response to the caller's ID if that is
// valid, and to a new one otherwise.
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
	WriteError(w, failure.New(failure.MethodNotAllowed, "%s does not support method %s", r.URL.Path, r.Method))
}

func (api *API) serveOther(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		WriteError(w, failure.New(failure.UnknownRoute, "unknown path %s", r.URL.Path))
		return
	}
	api.config.Plain.ServeHTTP(w, r)
}

func (api *API) serveModels(w http.ResponseWriter, r *http.Request) {
	ticket, err := api.config.Authenticator.Authenticate(r.Header.Get(headerAuthorization))
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
	c := api.config.Authenticator.Catalog()
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
	api.serveGeneration(w, r, &chatFormat)
}

func (api *API) serveCompletions(w http.ResponseWriter, r *http.Request) {
	api.serveGeneration(w, r, &completionFormat)
}

func (api *API) serveGeneration(w http.ResponseWriter, r *http.Request, f *format) {
	arrival := api.clock.Now()
	ticket, err := api.config.Authenticator.Authenticate(r.Header.Get(headerAuthorization))
	if err != nil {
		WriteError(w, err)
		return
	}
	data, release, err := api.readBody(w, r, api.limits.MaxBodyBytes)
	defer release()
	if err != nil {
		WriteError(w, err)
		return
	}
	body, err := api.decodeGeneration(data, f.chat)
	if err != nil {
		WriteError(w, err)
		return
	}
	req, err := api.newRequest(r, ticket, body, f, arrival)
	if err != nil {
		WriteError(w, err)
		return
	}
	charge, err := api.config.Limiter.Take(r.Context(), ticket.Customer, req.Cost())
	if err != nil {
		WriteError(w, err)
		return
	}
	g := &generation{w: w, r: r, request: req, body: body, raw: data, format: f}
	charge.Settle(float64(api.run(g)))
}

func (api *API) logFailure(req *request.Request, err error) {
	api.logger.Info("request failed", "request_id", req.ID, "customer", req.Ticket.Customer, "reason", err)
}

func (api *API) newRequest(r *http.Request, ticket auth.Ticket, body *generationBody, f *format, arrival time.Time) (*request.Request, error) {
	weights, ok := api.config.Authenticator.Catalog().Weights(body.Model)
	if !ok {
		return nil, failure.New(failure.UnknownModel, "unknown model %q", body.Model)
	}
	if !weights.Allows(ticket.Customer) {
		return nil, failure.New(failure.Forbidden, "customer %s is not allowed to use %q", ticket.Customer, body.Model)
	}
	maxTokens, err := body.maxTokens(api.limits.DefaultMaxTokens)
	if err != nil {
		return nil, err
	}
	class, err := parseClass(r.Header.Get(headerClass), object.ClassNormal)
	if err != nil {
		return nil, err
	}
	notRepeatable, err := parseNotRepeatable(r.Header.Get(headerNotRepeatable))
	if err != nil {
		return nil, err
	}
	prompt := body.Prompt
	if f.chat {
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
		return nil, failure.New(failure.BadRequest, "prompt and max_tokens add up to %.0f tokens; the model accepts at most %d", req.Cost(), limit)
	}
	return req, nil
}

func parseClass(header string, defaultClass object.Class) (object.Class, error) {
	switch class := object.Class(header); class {
	case "":
		return defaultClass, nil
	case object.ClassUrgent, object.ClassNormal, object.ClassBackground:
		return class, nil
	}
	return "", failure.New(failure.BadRequest, "%s must be urgent, normal or background", headerClass)
}
