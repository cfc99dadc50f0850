// Package plainroute carries requests to plain services. Bodies are streamed,
// except where a request must run at most once under an id.
package plainroute

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/admission"
	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/claim"
	"fireflypier.example/fireflypier/internal/ejection"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/limiter"
	"fireflypier.example/fireflypier/internal/retry"
	"fireflypier.example/fireflypier/internal/transport"
)

// Headers that callers set.
const (
	headerRequestID     = "X-Request-Id"
	headerNotRepeatable = "X-Not-Repeatable"
	headerIdempotency   = "Idempotency-Key"
	maxIdempotencyKey   = 255
)

// headerCustomer tells a target for which customer a request runs; it is
// empty on open routes.
const headerCustomer = "X-Customer"

// Config holds the dependencies and limits of Routes.
type Config struct {
	// Clock and Logger serve all requests.
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Admission checks keys, Limiter charges.
	Admission *admission.Admission
	Limiter   *limiter.Limiter
	// Claims make requests with an id run at most once.
	Claims *claim.Claims
	// Budget and Ejection decide about retries.
	Budget   *retry.Budget
	Ejection *ejection.Ejection
	// Leaving reports whether a target takes no new work.
	Leaving func(target string) bool
	// MaxBodyBytes and Timeout bound requests whose route names no bounds.
	MaxBodyBytes int64
	Timeout      time.Duration
	// BodyTimeout bounds the arrival of a body that is read whole.
	BodyTimeout time.Duration
	// WriteTimeout bounds one write to a slow caller.
	WriteTimeout time.Duration
	// MaxRecordedBytes bounds the recorded body of an answer.
	MaxRecordedBytes int
	// WriteError answers a refusal.
	WriteError func(w http.ResponseWriter, err error)
}

// Routes is the handler of all paths that the objects of kind route name.
type Routes struct {
	parts   Config
	client  *http.Client
	targets *targets
}

// New returns the handler.
func New(p Config) *Routes {
	return &Routes{
		parts:   p,
		targets: newTargets(p.Ejection, p.Leaving),
		client: &http.Client{
			Transport:     transport.New(),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// passage is one request on its way.
type passage struct {
	w          http.ResponseWriter
	r          *http.Request
	route      catalog.Route
	ticket     admission.Ticket
	body       *body
	repeatable bool
	// check tells, right before the first byte, whether the request may still
	// be sent.
	check func() error
}

// ServeHTTP carries r to a target of the route with the longest prefix.
func (s *Routes) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := s.serve(w, r); err != nil {
		s.parts.Logger.Info("request failed", "request_id", r.Header.Get(headerRequestID), "reason", err)
		s.parts.WriteError(w, err)
	}
}

func (s *Routes) serve(w http.ResponseWriter, r *http.Request) error {
	route, ok := s.parts.Admission.Catalog().Route(r.URL.Path)
	if !ok {
		return failure.New(failure.UnknownRoute, "there is no route for %s", r.URL.Path)
	}
	ticket, err := s.admit(r, &route)
	if err != nil {
		return err
	}
	p := &passage{w: w, r: r, route: route, ticket: ticket, check: ticket.Check}
	if p.repeatable, err = repeatable(r, &route); err != nil {
		return err
	}
	if len(r.Header.Get(headerIdempotency)) > maxIdempotencyKey {
		return failure.New(failure.BadRequest, "%s is longer than %d characters", headerIdempotency, maxIdempotencyKey)
	}
	if r.ContentLength > s.maxBodyBytes(&route) {
		return failure.New(failure.BodyTooLarge, "the body is larger than %d bytes", s.maxBodyBytes(&route))
	}
	r.Header.Set(headerCustomer, ticket.Customer)
	charge, err := s.charge(p)
	if err != nil {
		return err
	}
	used, err := s.run(p)
	if charge != nil && !used {
		charge.Settle(0)
	}
	return err
}

// run carries the request; used tells whether it is to be paid for.
func (s *Routes) run(p *passage) (used bool, err error) {
	timeout := s.timeout(&p.route)
	if !p.repeatable && p.r.Header.Get(headerIdempotency) != "" {
		return s.runClaimed(p, timeout)
	}
	ctx, cancel := context.WithTimeout(p.r.Context(), timeout)
	defer cancel()
	if err := s.prepareBody(p); err != nil {
		return false, err
	}
	answer, err := s.send(ctx, p)
	if err != nil {
		return !failure.From(err).Answer().NotRun, err
	}
	defer answer.close()
	s.deliver(p, answer)
	return true, nil
}

func (s *Routes) charge(p *passage) (*limiter.Charge, error) {
	if p.route.CostTokens <= 0 || p.ticket.Customer == "" {
		return nil, nil
	}
	charge, err := s.parts.Limiter.Take(p.r.Context(), p.ticket.Customer, p.route.CostTokens)
	if err != nil {
		return nil, err
	}
	return &charge, nil
}

func (s *Routes) admit(r *http.Request, route *catalog.Route) (admission.Ticket, error) {
	if route.Open {
		return s.parts.Admission.Open(), nil
	}
	return s.parts.Admission.Admit(r.Header.Get("Authorization"))
}

// repeatable tells whether the request may be sent again. A caller can only
// forbid it.
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
	return s.parts.MaxBodyBytes
}

func (s *Routes) timeout(route *catalog.Route) time.Duration {
	if route.Timeout > 0 {
		return route.Timeout
	}
	return s.parts.Timeout
}
