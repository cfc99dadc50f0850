// Package plainroute carries requests to plain services, bodies streamed.
package plainroute

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/admission"
	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/limiter"
	"fireflypier.example/fireflypier/internal/object"
)

const (
	dialTimeout        = time.Second
	idleConnsPerTarget = 64
	idleConnTimeout    = 90 * time.Second
	copyBufferBytes    = 32 << 10
)

// headerCustomer tells a target for which customer a request runs; it is
// empty on open routes.
const headerCustomer = "X-Customer"

// droppedHeaders are never sent to a target: they carry keys or belong to
// one connection.
var droppedHeaders = []string{
	"Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization", "Cookie",
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Parts are what the routes stand on.
type Parts struct {
	// Clock and Logger serve all requests.
	Clock  clockwork.Clock
	Logger hclog.Logger
	// Admission checks keys, Limiter charges.
	Admission *admission.Admission
	Limiter   *limiter.Limiter
	// Leaving reports whether a target takes no new work.
	Leaving func(target string) bool
	// MaxBodyBytes and Timeout bound requests whose route names no bounds.
	MaxBodyBytes int64
	Timeout      time.Duration
	// WriteError answers a refusal.
	WriteError func(w http.ResponseWriter, err error)
}

// Routes is the handler of all paths that the objects of kind route name.
type Routes struct {
	parts  Parts
	client *http.Client
	next   atomic.Uint64
}

// New returns the handler.
func New(p Parts) *Routes {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Routes{
		parts: p,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: idleConnsPerTarget,
				IdleConnTimeout:     idleConnTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// ServeHTTP carries r to a target of the route with the longest prefix.
func (s *Routes) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := s.serve(w, r); err != nil {
		s.parts.Logger.Info("request failed", "request_id", r.Header.Get("X-Request-Id"), "reason", err)
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
	if route.CostTokens > 0 && ticket.Customer != "" {
		if _, err := s.parts.Limiter.Take(r.Context(), ticket.Customer, route.CostTokens); err != nil {
			return err
		}
	}
	r.Header.Set(headerCustomer, ticket.Customer)
	target, err := s.choose(&route)
	if err != nil {
		return err
	}
	if err := ticket.Check(); err != nil {
		return err
	}
	return s.forward(w, r, &route, &target)
}

func (s *Routes) admit(r *http.Request, route *catalog.Route) (admission.Ticket, error) {
	if route.Open {
		return s.parts.Admission.Open(), nil
	}
	return s.parts.Admission.Admit(r.Header.Get("Authorization"))
}

func (s *Routes) choose(route *catalog.Route) (object.Target, error) {
	objects := &s.parts.Admission.Catalog().Snapshot().Objects
	names := slices.DeleteFunc(objects.PoolTargets(route.Pool), s.parts.Leaving)
	if len(names) == 0 {
		return object.Target{}, failure.New(failure.NoReplica, "pool %s has no target that takes work", route.Pool)
	}
	return objects.Targets[names[s.next.Add(1)%uint64(len(names))]], nil
}

func (s *Routes) forward(w http.ResponseWriter, r *http.Request, route *catalog.Route, target *object.Target) error {
	limit := route.MaxBodyBytes
	if limit == 0 {
		limit = s.parts.MaxBodyBytes
	}
	if r.ContentLength > limit {
		return failure.New(failure.BodyTooLarge, "the body is larger than %d bytes", limit)
	}
	address := url.URL{Scheme: "http", Host: target.Address.String(), Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, address.String(), http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return failure.Wrap(failure.BadRequest, err, "the request cannot be carried")
	}
	out.ContentLength = r.ContentLength
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	out.GetBody = nil
	copyHeaders(out.Header, r.Header)
	answer, err := s.client.Do(out)
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = answer.Body.Close() }()
	copyHeaders(w.Header(), answer.Header)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.WriteHeader(answer.StatusCode)
	copyBody(w, answer.Body)
	return nil
}

// copyBody streams the answer; a broken answer breaks the caller's
// connection, so that it is never taken for a whole one.
func copyBody(w http.ResponseWriter, body io.Reader) {
	flusher := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return
			}
			_ = flusher.Flush()
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if slices.Contains(droppedHeaders, name) || connectionHeader(from, name) {
			continue
		}
		to[name] = slices.Clone(values)
	}
}

// connectionHeader reports whether the Connection header names the header.
func connectionHeader(h http.Header, name string) bool {
	for _, value := range h["Connection"] {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

func transportError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return failure.Wrap(failure.OutcomeUnknown, err, "the body is larger than %d bytes", large.Limit)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return failure.Wrap(failure.NoReplica, err, "the target cannot be reached")
	}
	return failure.Wrap(failure.OutcomeUnknown, err, "the target's answer was lost")
}
