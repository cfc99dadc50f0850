// Package forward carries callers' requests to targets and their answers
// back. It resends what certainly has not run, or may run twice, within the
// retry budget; it resumes broken streams; and it never makes an answer that
// is not whole look complete.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/allowance"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/retrybudget"
)

// Placer brings weights to engines.
type Placer interface {
	// Asked counts a request for weights; waits tells that no engine has them.
	Asked(pool, model, adapter string, tokens int, waits bool)
	// Running counts a request that was sent, by 1, or has ended, by -1.
	Running(pool, model, adapter string, change int)
	// Bring asks for an engine with an adapter and returns its id, empty if
	// none can be had now.
	Bring(ctx context.Context, pool, model, adapter string) (string, error)
}

// Parts are what a Forward stands on.
type Parts struct {
	// Policy returns the configuration in force; nil when none is known.
	Policy func() *policy.Policy
	// View chooses targets, Sender sends to them, Placer brings weights.
	View   *fleetview.View
	Sender exchange.Sender
	Placer Placer
	// Rates bounds customers, Retries repeated sends among VMs.
	Rates   *allowance.Allowance
	Retries *retrybudget.Budget
	VMs     func() int
	Metrics *Metrics
	Clock   clockwork.Clock
	Logger  hclog.Logger
}

// Forward carries requests to targets. Its methods may be called at the same
// time.
type Forward struct {
	Parts

	mu      sync.Mutex // guards Rates and Retries
	running sync.WaitGroup
	// known is closed once a configuration is in force.
	known     chan struct{}
	knownOnce sync.Once
}

// New returns a forward.
func New(p Parts) *Forward { return &Forward{Parts: p, known: make(chan struct{})} }

// PolicyKnown tells that a configuration is in force.
func (f *Forward) PolicyKnown() { f.knownOnce.Do(func() { close(f.known) }) }

const (
	// maxSends bounds the sends of one request, those that were turned away
	// included; the route bounds the targets that may have run it.
	maxSends = 4
	// defaultTimeout bounds requests whose caller and route name no time.
	defaultTimeout = 30 * time.Second
	// leastTime is the time below which sending a request is of no use.
	leastTime = 15 * time.Millisecond
	// waitShare is the part of a caller's time in which its request may wait
	// for weights; beyond it an early refusal serves the caller better.
	waitShare = 0.4
	// silenceFactor and silenceSlack bound the wait for the first sign of an
	// answer that may be had elsewhere, by the time that was expected; a
	// target that has crashed without a word is noticed by it before callers
	// leave.
	silenceFactor = 3
	silenceSlack  = 250 * time.Millisecond
	// policyWait is how long a request waits at a VM that has no
	// configuration yet; callers of today's streams leave after two seconds.
	policyWait = 800 * time.Millisecond
	// policyRetry is when to come back to such a VM.
	policyRetry = time.Second
	// loadRetry is when to come back for weights that are being loaded, and
	// busyRetry for a place at a busy target.
	loadRetry = time.Second
	busyRetry = 300 * time.Millisecond
)

// Uses returns what this VM tells others of each customer.
func (f *Forward) Uses() map[string]allowance.Use {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Rates.Uses(f.Clock.Now())
}

// Told takes in what a peer has admitted of a customer.
func (f *Forward) Told(peer string, incarnation int64, customer string, admitted float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Rates.Told(peer, incarnation, customer, admitted)
}

// SetOthers sets the demand at the live peers by customer, their number, and
// the number of silent ones.
func (f *Forward) SetOthers(demand map[string]float64, live, silent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Rates.Others(demand, live, silent)
}

// SetBounds replaces the operators' bounds.
func (f *Forward) SetBounds(t allowance.Tolerance, b retrybudget.Bound) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Rates.SetTolerance(t)
	f.Retries.SetBound(b)
}

// Drain waits until no request runs.
func (f *Forward) Drain() { f.running.Wait() }

// job is one request on its way.
type job struct {
	f        *Forward
	w        http.ResponseWriter
	r        *exchange.Request
	route    *policy.Route
	customer *policy.Customer
	pool     *policy.Pool
	want     fleetview.Requirements
	deadline time.Time
	cost     float64

	sends, runs int
	brought     bool
	// again tells that targets which have failed the request are tried again.
	again bool
	// answering tells that the head of an answer was written.
	answering bool
	stream    *stream
	// silence ends an attempt that shows no sign of an answer.
	silence *time.Timer
	// target and status are those of the answer, first is the time until its
	// first event.
	target string
	status int
	first  time.Duration
}

// Serve answers a request on w, or returns the failure to be told.
func (f *Forward) Serve(w http.ResponseWriter, hr *http.Request, r *exchange.Request) error {
	f.running.Add(1)
	defer f.running.Done()
	f.awaitPolicy(hr.Context())
	j, err := f.admit(w, r)
	if err == nil {
		ctx, cancel := context.WithDeadline(hr.Context(), j.deadline)
		defer cancel()
		err = j.run(ctx)
	}
	f.finish(r, j, err)
	if err != nil && j != nil && j.answering {
		panic(http.ErrAbortHandler) // the answer must not look complete
	}
	return err
}

// awaitPolicy waits a little for the first configuration.
func (f *Forward) awaitPolicy(ctx context.Context) {
	if f.Policy() != nil {
		return
	}
	select {
	case <-f.known:
	case <-f.Clock.After(policyWait):
	case <-ctx.Done():
	}
}

// admit finds the route and the customer, and charges the customer's rate.
func (f *Forward) admit(w http.ResponseWriter, r *exchange.Request) (*job, error) {
	p := f.Policy()
	if p == nil {
		e := failure.New(failure.StaleConfiguration, "no configuration is known yet")
		e.RetryAfter = policyRetry
		return nil, e
	}
	route, ok := p.Route(r.HostName, r.Path)
	if !ok {
		return nil, failure.New(failure.UnknownRoute, "no route for the path")
	}
	j := &job{f: f, w: w, r: r, route: route}
	customer, known := p.Customer(r.Key)
	switch {
	case known:
		j.customer = customer
	case route.Open || !p.Keyed():
	case r.Key == "":
		return j, failure.New(failure.MissingKey, "the route needs a key")
	default:
		return j, failure.New(failure.InvalidKey, "the key is unknown")
	}
	j.pool, ok = p.Pool(pickShare(route.Split))
	if !ok {
		return j, failure.New(failure.Internal, "the route's pool is unknown")
	}
	j.setDeadline()
	j.describe()
	return j, j.charge()
}

func pickShare(split []policy.Share) string {
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	at := rand.Float64() * total
	for _, s := range split {
		if at -= s.Weight; at < 0 {
			return s.Pool
		}
	}
	return split[len(split)-1].Pool
}

func (j *job) setDeadline() {
	limit := defaultTimeout
	if j.route.Timeout > 0 {
		limit = j.route.Timeout
	}
	if j.r.Budget > 0 {
		limit = min(limit, j.r.Budget)
	}
	j.deadline = j.r.Arrival.Add(limit)
}

// describe tells what the request needs of a target.
func (j *job) describe() {
	r := j.r
	j.want = fleetview.Requirements{
		Pool:         j.pool,
		Model:        r.Model,
		Adapter:      r.Adapter,
		PromptTokens: r.PromptTokens,
		AnswerTokens: r.AnswerTokens,
	}
	if j.pool.Engine != nil {
		j.want.Chain = fleetview.ChainHashes(r.Model, r.Adapter, r.Prefix)
		for _, p := range r.Prefix {
			j.want.ChainTokens = append(j.want.ChainTokens, p.Tokens)
		}
	}
	j.want.Rank = j.route.RankFor(j.customer)
}

func (j *job) charge() error {
	f, c := j.f, j.customer
	if c == nil {
		return nil
	}
	j.cost = 1
	if c.ByTokens {
		j.cost = c.PlainCost
		if j.r.Sized {
			j.cost = float64(j.r.Tokens())
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	ok, after := f.Rates.Take(c, j.cost, now)
	if ok {
		return nil
	}
	level, share := f.Rates.Level(c.Name, now)
	j.log(now).Info("request refused, the customer is above its rate", "cost", j.cost, "level", level, "share", share, "after_ms", after.Milliseconds())
	e := failure.New(failure.RateExceeded, "the customer is above its rate")
	e.RetryAfter = after
	return e
}

func (j *job) refund() {
	if j.customer == nil {
		return
	}
	j.f.mu.Lock()
	defer j.f.mu.Unlock()
	j.f.Rates.Refund(j.customer, j.cost)
}

// log returns a logger that names the request.
func (j *job) log(now time.Time) hclog.Logger {
	customer := ""
	if j.customer != nil {
		customer = j.customer.Name
	}
	return j.f.Logger.With("request", j.r.ID, "route", j.route.Name, "customer", customer, "age_ms", now.Sub(j.r.Arrival).Milliseconds())
}

// finish records the end of a request.
func (f *Forward) finish(r *exchange.Request, j *job, err error) {
	now := f.Clock.Now()
	if j == nil {
		j = &job{f: f, r: r, route: &policy.Route{}}
	}
	outcome := "answered"
	if err != nil {
		outcome = failure.From(err).Kind.String()
	}
	took := now.Sub(r.Arrival)
	f.Metrics.finished(j.route.Kind.String(), outcome, took)
	if err != nil {
		f.Logger.Warn("request failed", "request", r.ID, "route", j.route.Name, "outcome", outcome, "error", err,
			"sends", j.sends, "took_ms", took.Milliseconds())
		return
	}
	f.Logger.Info("request answered", "request", r.ID, "route", j.route.Name, "target", j.target, "status", j.status,
		"sends", j.sends, "first_ms", j.first.Milliseconds(), "took_ms", took.Milliseconds())
}

var errCallerLeft = errors.New("the caller has left")
