// Package forward forwards callers' requests to targets and returns their
// answers. Within the retry budget it resends requests that certainly have not
// run or that may run twice. It resumes broken streams, and it never lets a
// truncated answer look complete.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/buffermemory"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fingerprint"
	"fireflypier.example/fireflypier/internal/serving/fleetview"
	"fireflypier.example/fireflypier/internal/serving/policy"
	"fireflypier.example/fireflypier/internal/serving/quarantine"
	"fireflypier.example/fireflypier/internal/serving/ratelimit"
	"fireflypier.example/fireflypier/internal/serving/retrybudget"
	"fireflypier.example/fireflypier/internal/serving/target"
	"fireflypier.example/fireflypier/internal/transport"
)

// Placer records the demand for weights and has engines load them.
type Placer interface {
	// RecordDemand counts a request for weights and its size in tokens; waits
	// is set if no engine has loaded them.
	RecordDemand(pool, model, adapter string, tokens int, waits bool)
	// AddRunning changes the number of running requests: by 1 when one is
	// sent, by -1 when it has ended.
	AddRunning(pool, model, adapter string, change int)
	// LoadAdapter has an engine load an adapter and returns the engine's ID,
	// or an empty string if no engine can load it now.
	LoadAdapter(ctx context.Context, pool, model, adapter string) (string, error)
}

// Config holds the components that a Forwarder uses.
type Config struct {
	// Policy returns the configuration in force, or nil before one is loaded.
	Policy func() *policy.Policy
	// View chooses targets, Sender sends requests to them, Placer has engines
	// load weights.
	View   *fleetview.View
	Sender exchange.Sender
	Placer Placer
	// Rates limits the rates of customers. Borrow charges a request that this VM's
	// own share of a customer's rate does not cover at the customer's lender.
	Rates  *ratelimit.Limiter
	Borrow func(ctx context.Context, customer string, cost float64) (ok bool, after time.Duration, err error)
	// Reserve reserves a call to a target with a limit within maxWait. It returns the time
	// until the call, or, if reserved is false, until one could be made, and when the lender
	// that answered was asked: the wait begins between then and its answer.
	Reserve func(ctx context.Context, t *target.Target, l target.Limit, maxWait time.Duration) (wait time.Duration, reserved bool, asked time.Time, err error)
	// Stale reports whether this VM may have missed the evacuation of a data centre; nil if
	// it never does. ColdLearned is called when an answer has told that a target is cold; it
	// may be nil.
	Stale       func() bool
	ColdLearned func()
	// Quarantine keeps requests on which engines crash away from them.
	Quarantine *quarantine.Quarantine
	// Retries limits retries; VMs returns the number of VMs that share its bound.
	Retries *retrybudget.Budget
	VMs     func() int
	Metrics *Metrics
	Clock   clockwork.Clock
	Logger  hclog.Logger
	// Buffered is the memory in bytes for plain answers that are being read, at most
	// maxBufferedBytes; that is also the default, for zero.
	Buffered int64
}

// Forwarder forwards requests to targets. Its methods are safe for concurrent
// use.
type Forwarder struct {
	Config

	mu sync.Mutex // guards Rates and Retries
	// corrections are those of the expected times of requests that count as on time.
	corrections *corrections
	returns     *returns
	shares      *shares
	// running is the number of requests that are being served.
	running atomic.Int64
	// buffered is the memory of the plain answers that are being read.
	buffered *buffermemory.Budget
	// work ends when giveUp is called, at the end of a departure.
	work      context.Context //nolint:containedctx // ends all requests
	giveUp    context.CancelFunc
	departure atomic.Pointer[departure]
	// policyLoaded is closed by PolicyLoaded.
	policyLoaded chan struct{}
	policyOnce   sync.Once
	faults       faultLog
}

// New returns a Forwarder. Until Policy returns a configuration or PolicyLoaded
// is called, its requests wait for up to policyWait.
func New(p Config) *Forwarder {
	if p.Buffered <= 0 {
		p.Buffered = maxBufferedBytes
	}
	if p.ColdLearned == nil {
		p.ColdLearned = func() {}
	}
	f := &Forwarder{
		Config: p, policyLoaded: make(chan struct{}), buffered: buffermemory.New(min(p.Buffered, maxBufferedBytes)),
		corrections: newCorrections(), returns: newReturns(), shares: newShares(),
	}
	f.work, f.giveUp = context.WithCancel(context.Background())
	return f
}

// PolicyLoaded releases the requests that wait for the first configuration.
// Calls after the first have no effect.
func (f *Forwarder) PolicyLoaded() { f.policyOnce.Do(func() { close(f.policyLoaded) }) }

const (
	// maxSends bounds the sends of one request, including those that targets
	// certainly have not run; the route bounds those that may have run.
	maxSends = 4
	// defaultTimeout applies if the route has no timeout; a shorter time limit
	// of the caller still applies.
	defaultTimeout = 30 * time.Second
	// minTimeLeft is the time before the deadline that an attempt needs; with
	// less, no target can answer in time.
	minTimeLeft = 15 * time.Millisecond
	// loadWaitShare is the fraction of a caller's time for which its request
	// may wait for weights; after that, an early refusal serves the caller
	// better.
	loadWaitShare = 0.4
	// responseTimeoutFactor times the expected time, plus
	// responseTimeoutSlack, bounds the wait for the first event or the whole
	// answer if another target may be tried. This detects targets that crash
	// without closing their connections before callers disconnect.
	responseTimeoutFactor = 3
	responseTimeoutSlack  = 250 * time.Millisecond
	// policyWait is how long a request waits at a VM that has no
	// configuration yet. It is below the two seconds after which callers of
	// streams may disconnect.
	policyWait = 800 * time.Millisecond
	// policyRetryAfter is the retry delay that such a VM returns to callers.
	policyRetryAfter = time.Second
	// loadRetryAfter is the retry delay for models that the pool does not have,
	// busyRetryAfter the one for busy targets and adapters.
	loadRetryAfter = time.Second
	busyRetryAfter = 300 * time.Millisecond
	// retrySpread is the fraction of a retry delay over which the returns of
	// callers are spread.
	retrySpread = 0.2
)

// UsageByCustomer returns the usage of each customer that this VM reports to
// its peers.
func (f *Forwarder) UsageByCustomer() map[string]ratelimit.Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Rates.UsageByCustomer(f.Clock.Now())
}

// Deduct deducts what other VMs have admitted from the rates, by customer.
func (f *Forwarder) Deduct(admitted map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for customer, cost := range admitted {
		f.Rates.Deduct(customer, cost)
	}
}

// Lend charges a cost to a customer's rate for another VM. It reports whether the rate
// allows it; if not, after is the time until it does.
func (f *Forwarder) Lend(customer string, cost float64) (ok bool, after time.Duration) {
	p := f.Policy()
	if p == nil {
		return false, policyRetryAfter
	}
	c, ok := p.CustomerNamed(customer)
	if !ok {
		return false, policyRetryAfter
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Rates.Lend(c, cost, f.Clock.Now())
}

// SetPeerDemand sets the demand at the live peers by customer, the number of
// live peers, and the number of those that are silent but may still admit
// requests.
func (f *Forwarder) SetPeerDemand(demand map[string]float64, live, silent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Rates.SetPeers(demand, live, silent)
	f.setShares(demand, f.Clock.Now())
}

// SetBounds replaces the operators' bounds on rates and on retries.
func (f *Forwarder) SetBounds(t ratelimit.Tolerance, b retrybudget.Bound) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Rates.SetTolerance(t)
	f.Retries.SetBound(b)
}

// job is the state of one request while it is served.
type job struct {
	f        *Forwarder
	w        http.ResponseWriter
	r        *exchange.Request
	route    *policy.Route
	customer *policy.Customer
	pool     *policy.Pool
	want     fleetview.Requirements
	deadline time.Time
	cost     float64

	// sends counts attempts; runs counts those that may have run the request.
	sends, runs int
	// boundPart is the part of its objective that a request admitted as on time is
	// expected to take; zero if its time says nothing of the bound.
	boundPart float64
	// counted is set once the request is counted in its customer's demand for the pool,
	// overShare if it exceeds the customer's share.
	counted, overShare bool
	// reservations counts the lenders that were asked for calls to targets with limits.
	reservations     int
	adapterRequested bool
	// lastTarget is the ID of the target of the last attempt.
	lastTarget string
	// missingSince is when the request first found that no engine has loaded its
	// weights; zero if that did not happen.
	missingSince time.Time
	// retryExcluded is set once targets that failed the request may be tried
	// again.
	retryExcluded bool
	// headerWritten is set once the header of the answer is written.
	headerWritten bool
	stream        *stream
	// history is that of all attempts, ending that of the last one.
	history *transport.History
	ending  *transport.Ending
	// target and status are those of the answer; timeToFirstEvent is measured
	// from the arrival of the request.
	target           string
	status           int
	timeToFirstEvent time.Duration
	// lastEvent is when events of a stream last arrived, longestPause the longest time
	// without any after the first one, from pauseBegan on.
	lastEvent, pauseBegan time.Time
	longestPause          time.Duration
}

// Serve answers a request on w, or returns the failure for the caller. It panics
// with http.ErrAbortHandler if an answer fails after its header was written.
func (f *Forwarder) Serve(w http.ResponseWriter, hr *http.Request, r *exchange.Request) error {
	f.running.Add(1)
	defer f.running.Add(-1)
	f.awaitPolicy(hr.Context())
	j, err := f.admit(hr.Context(), w, r)
	if err == nil {
		ctx, cancel := j.withEnd(hr.Context())
		defer cancel()
		ctx, j.history = transport.WithHistory(ctx)
		err = j.run(ctx)
	}
	f.finish(r, j, err)
	if err != nil && j != nil && j.headerWritten {
		panic(http.ErrAbortHandler) // so that the answer does not look complete
	}
	return err
}

// awaitPolicy waits up to policyWait for the first configuration.
func (f *Forwarder) awaitPolicy(ctx context.Context) {
	if f.Policy() != nil {
		return
	}
	select {
	case <-f.policyLoaded:
	case <-f.Clock.After(policyWait):
	case <-ctx.Done():
	}
}

// admit finds the route, the customer and the pool, and charges the request to
// the customer's rate. The job is nil without a configuration or a route.
func (f *Forwarder) admit(ctx context.Context, w http.ResponseWriter, r *exchange.Request) (*job, error) {
	p := f.Policy()
	if p == nil {
		e := failure.New(failure.StaleConfiguration, "no configuration has been loaded yet")
		e.RetryAfter = policyRetryAfter
		return nil, e
	}
	route, ok := p.Route(r.HostName, r.Path)
	if !ok {
		return nil, failure.New(failure.UnknownRoute, "no route matches the path")
	}
	j := &job{f: f, w: w, r: r, route: route}
	customer, known := p.Customer(r.Key)
	switch {
	case known:
		j.customer = customer
	case route.Open || !p.RequiresKey():
	case r.Key == "":
		return j, failure.New(failure.MissingKey, "the route requires a key")
	default:
		return j, failure.New(failure.InvalidKey, "the key is unknown")
	}
	j.pool, ok = p.Pool(pickPool(route.Split))
	if !ok {
		return j, failure.New(failure.Internal, "the route's pool does not exist")
	}
	r.Fingerprint = fingerprint.Of(j.customerName(), r.Body, r.Method, r.HostName, r.URI)
	j.setDeadline()
	if err := j.checkDeparture(); err != nil {
		return j, err
	}
	j.setRequirements()
	if err := j.checkQuarantine(); err != nil {
		return j, err
	}
	return j, j.charge(ctx)
}

// pickPool returns a random pool, with probabilities in proportion to the weights.
func pickPool(split []policy.Share) string {
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
	if j.r.TimeLimit > 0 {
		limit = min(limit, j.r.TimeLimit)
	}
	j.deadline = j.r.Arrival.Add(limit)
}

// setRequirements sets what the request needs from a target.
func (j *job) setRequirements() {
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
	if j.route.Kind == policy.Stream && j.route.Objective > 0 {
		j.want.MaxGap = j.route.MaxGap
	}
	j.resetRank()
	j.setSpillover()
}

// charge charges the cost of the request to the customer's rate, at the customer's
// lender if only this VM's share is too small. It returns the failure for the caller
// if the customer is above its rate.
func (j *job) charge(ctx context.Context) error {
	f, c := j.f, j.customer
	if c == nil {
		return nil
	}
	j.setCost()
	result, after := j.take()
	label, lenderError := chargeExceeded, ""
	switch result {
	case ratelimit.Admitted:
		f.Metrics.countCharge(chargeOwn)
		return nil
	case ratelimit.Short:
		ok, lenderAfter, err := f.Borrow(ctx, c.Name, j.cost)
		switch {
		case ok:
			f.Metrics.countCharge(chargeLent)
			return nil
		case err != nil:
			label, lenderError = chargeNoLender, err.Error()
		default:
			label, after = chargeNotLent, lenderAfter
		}
	case ratelimit.Exceeded:
	}
	f.Metrics.countCharge(label)
	now := f.Clock.Now()
	f.mu.Lock()
	level, share := f.Rates.Level(c.Name, now)
	f.mu.Unlock()
	j.log(now).Info("request refused, the customer is above its rate", "cost", j.cost, "level", level, "share", share,
		"result", label, "lender_error", lenderError, "after_ms", after.Milliseconds())
	e := failure.New(failure.RateExceeded, "the customer has exceeded its rate")
	e.RetryAfter = after
	return e
}

// setCost sets what the request costs its customer.
func (j *job) setCost() {
	j.cost = 1
	if j.customer.ByTokens {
		j.cost = j.customer.PlainCost
		if j.r.Sized {
			j.cost = float64(j.r.Tokens())
		}
	}
}

// take charges the cost to this VM's copy of the customer's rate.
func (j *job) take() (result ratelimit.Result, after time.Duration) {
	j.f.mu.Lock()
	defer j.f.mu.Unlock()
	return j.f.Rates.Take(j.customer, j.cost, j.f.Clock.Now())
}

// refund credits the cost of the request to the customer.
func (j *job) refund() {
	if j.customer == nil {
		return
	}
	j.f.mu.Lock()
	defer j.f.mu.Unlock()
	j.f.Rates.Refund(j.customer, j.cost)
}

// log returns a logger with the fields of the request.
func (j *job) log(now time.Time) hclog.Logger {
	return j.f.Logger.With("request", j.r.ID, "route", j.route.Name, "customer", j.customerName(), "age_ms", now.Sub(j.r.Arrival).Milliseconds())
}

// customerName returns the name of the customer; empty if the request has none.
func (j *job) customerName() string {
	if j.customer == nil {
		return ""
	}
	return j.customer.Name
}

// finish logs the end of a request and counts it; j is nil if admit found
// no configuration or no route.
func (f *Forwarder) finish(r *exchange.Request, j *job, err error) {
	now := f.Clock.Now()
	if j == nil {
		j = &job{f: f, r: r, route: &policy.Route{}}
	}
	outcome := "answered"
	if err != nil {
		outcome = failure.From(err).Kind.String()
	}
	took := now.Sub(r.Arrival)
	if j.runs > 0 && took > j.route.Objective {
		j.observeObjective(took)
	}
	f.Metrics.observeRequest(j.route.Kind.String(), outcome, took)
	if err != nil {
		f.Logger.Warn("request failed", "request", r.ID, "route", j.route.Name, "outcome", outcome, "status", failure.From(err).Answer().Status,
			"header_written", j.headerWritten, "error", err, "sends", j.sends, "runs", j.runs, "took_ms", took.Milliseconds())
		return
	}
	f.Logger.Info("request answered", "request", r.ID, "route", j.route.Name, "target", j.target, "status", j.status,
		"sends", j.sends, "runs", j.runs, "first_ms", j.timeToFirstEvent.Milliseconds(),
		"pause_ms", j.longestPause.Milliseconds(), "pause_began_ms", max(0, j.pauseBegan.Sub(r.Arrival)).Milliseconds(), "took_ms", took.Milliseconds())
}

var errCallerCanceled = errors.New("the caller has disconnected")
