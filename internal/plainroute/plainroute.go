// Package plainroute forwards requests to plain services, which are HTTP services
// that are not model engines. Large bodies are streamed, except those of requests
// that run at most once under an idempotency key.
package plainroute

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/auth"
	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/claim"
	"fireflypier.example/fireflypier/internal/ejection"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/limiter"
	"fireflypier.example/fireflypier/internal/retry"
	"fireflypier.example/fireflypier/internal/serving/buffermemory"
	"fireflypier.example/fireflypier/internal/transport"
)

// Request headers set by callers, and their limits.
const (
	headerRequestID     = "X-Request-Id"
	headerNotRepeatable = "X-Not-Repeatable"
	headerIdempotency   = "Idempotency-Key"
	maxIdempotencyKey   = 255
)

// headerCustomer is the request header with the name of the customer for the
// target. It is empty on open routes.
const headerCustomer = "X-Customer"

// Config holds the dependencies and limits of Routes.
type Config struct {
	// Clock and Logger are used for all requests.
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Authenticator authenticates callers, Limiter charges customers for tokens.
	Authenticator *auth.Authenticator
	Limiter       *limiter.Limiter
	// Claims makes requests with an idempotency key run at most once.
	Claims *claim.Claims
	// Budget limits retries, Ejection excludes failing targets.
	Budget   *retry.Budget
	Ejection *ejection.Ejection
	// Leaving reports whether a target accepts no new work.
	Leaving func(target string) bool
	// MaxBodyBytes and Timeout bound the body and the duration of a request
	// if the route does not define them.
	MaxBodyBytes int64
	Timeout      time.Duration
	// BodyTimeout bounds the time to read a body that is buffered.
	BodyTimeout time.Duration
	// Bodies is the memory for the bodies that are buffered.
	Bodies *buffermemory.Budget
	// WriteTimeout bounds one write to the caller.
	WriteTimeout time.Duration
	// MaxRecordedBytes bounds the response body that is recorded for repeated
	// requests.
	MaxRecordedBytes int
	// WriteError writes the error response for err.
	WriteError func(w http.ResponseWriter, err error)
}

// Routes is the handler for the paths of all configured objects of kind route.
type Routes struct {
	config   Config
	client   *http.Client
	balancer *balancer
}

// New returns a handler with the given dependencies.
func New(cfg Config) *Routes {
	return &Routes{
		config:   cfg,
		balancer: newBalancer(cfg.Ejection, cfg.Leaving),
		client: &http.Client{
			Transport:     transport.New(),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// exchange is the state of one request.
type exchange struct {
	w      http.ResponseWriter
	r      *http.Request
	route  catalog.Route
	ticket auth.Ticket
	body   *body
	// held is the memory that is reserved for the body.
	held       int64
	repeatable bool
	// check returns an error if the request must not be sent any more. It is
	// called immediately before each attempt.
	check func() error
}

// ServeHTTP forwards r to a target of the route with the longest matching path
// prefix.
func (s *Routes) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := s.serve(w, r); err != nil {
		s.config.Logger.Info("request failed", "request_id", r.Header.Get(headerRequestID), "reason", err)
		s.config.WriteError(w, err)
	}
}

func (s *Routes) serve(w http.ResponseWriter, r *http.Request) error {
	route, ok := s.config.Authenticator.Catalog().Route(r.URL.Path)
	if !ok {
		return failure.New(failure.UnknownRoute, "no route matches %s", r.URL.Path)
	}
	ticket, err := s.admit(r, &route)
	if err != nil {
		return err
	}
	ex := &exchange{w: w, r: r, route: route, ticket: ticket, check: ticket.Check}
	if ex.repeatable, err = repeatable(r, &route); err != nil {
		return err
	}
	if len(r.Header.Get(headerIdempotency)) > maxIdempotencyKey {
		return failure.New(failure.BadRequest, "%s is longer than %d bytes", headerIdempotency, maxIdempotencyKey)
	}
	if r.ContentLength > s.maxBodyBytes(&route) {
		return failure.New(failure.BodyTooLarge, "the body is larger than %d bytes", s.maxBodyBytes(&route))
	}
	r.Header.Set(headerCustomer, ticket.Customer)
	charge, err := s.charge(ex)
	if err != nil {
		return err
	}
	used, err := s.run(ex)
	if charge != nil && !used {
		charge.Settle(0)
	}
	return err
}

// run forwards the request and writes the response. used reports whether the
// customer is charged for the request.
func (s *Routes) run(ex *exchange) (used bool, err error) {
	defer func() { s.config.Bodies.Release(ex.held) }()
	timeout := s.timeout(&ex.route)
	if !ex.repeatable && ex.r.Header.Get(headerIdempotency) != "" {
		return s.runClaimed(ex, timeout)
	}
	ctx, cancel := context.WithTimeout(ex.r.Context(), timeout)
	defer cancel()
	if err := s.prepareBody(ex); err != nil {
		return false, err
	}
	resp, err := s.send(ctx, ex)
	if err != nil {
		return !failure.From(err).Answer().NotRun, err
	}
	defer resp.close()
	s.deliver(ex, resp)
	return true, nil
}

func (s *Routes) charge(ex *exchange) (*limiter.Charge, error) {
	if ex.route.CostTokens <= 0 || ex.ticket.Customer == "" {
		return nil, nil
	}
	charge, err := s.config.Limiter.Take(ex.r.Context(), ex.ticket.Customer, ex.route.CostTokens)
	if err != nil {
		return nil, err
	}
	return &charge, nil
}

func (s *Routes) admit(r *http.Request, route *catalog.Route) (auth.Ticket, error) {
	if route.Open {
		return s.config.Authenticator.Anonymous(), nil
	}
	return s.config.Authenticator.Authenticate(r.Header.Get("Authorization"))
}

// repeatable reports whether the request may be sent again after it may have run.
// A caller can forbid this, but cannot allow it where the route does not.
func repeatable(r *http.Request, route *catalog.Route) (bool, error) {
	switch r.Header.Get(headerNotRepeatable) {
	case "", "false":
		return route.Repeatable, nil
	case "true":
		return false, nil
	}
	return false, failure.New(failure.BadRequest, "%s must be true or false", headerNotRepeatable)
}

func (s *Routes) maxBodyBytes(route *catalog.Route) int64 {
	if route.MaxBodyBytes > 0 {
		return route.MaxBodyBytes
	}
	return s.config.MaxBodyBytes
}

func (s *Routes) timeout(route *catalog.Route) time.Duration {
	if route.Timeout > 0 {
		return route.Timeout
	}
	return s.config.Timeout
}
