// Package assigner decides which engine runs a request and which waiting
// request is served next. It contains the decisions of package scheduler
// without concurrency: the time is a parameter, and no call blocks.
package assigner

import (
	"math/rand/v2"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/queue"
	"fireflypier.example/fireflypier/internal/routing"
)

const (
	defaultMaxWaiting    = 4096
	defaultAgingInterval = 5 * time.Second
	defaultChoices       = 2
	minRetryAfter        = time.Second
	maxRetryAfter        = time.Minute
)

// Assigner assigns jobs to engines. It is not safe for concurrent use.
type Assigner struct {
	costs       routing.Costs
	choices     int
	dataCentre  string
	queueLimits queue.Limits
	random      *rand.Rand

	queue   *queue.Queue
	engines map[string]*engine
	byModel map[string]*replicas
	recent  recentEngines
}

// Option configures an Assigner in New.
type Option func(*Assigner)

// WithDataCentre sets the data centre of the gateway. Engines in other data
// centres are scored as remote.
func WithDataCentre(name string) Option { return func(a *Assigner) { a.dataCentre = name } }

// WithSeed makes the random choices reproducible.
func WithSeed(seed uint64) Option {
	return func(a *Assigner) { a.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithChoices sets how many randomly chosen engines are compared for each job.
// The default is two. The engine to which the longest prefix of the prompt was
// last sent is compared in addition.
func WithChoices(n int) Option { return func(a *Assigner) { a.choices = n } }

// WithQueueLimits replaces the default limits of the queue.
func WithQueueLimits(l queue.Limits) Option { return func(a *Assigner) { a.queueLimits = l } }

// New returns an Assigner without engines; Update adds them.
func New(opts ...Option) *Assigner {
	a := &Assigner{
		costs:       routing.DefaultCosts(),
		choices:     defaultChoices,
		queueLimits: queue.Limits{MaxWaiting: defaultMaxWaiting, AgingInterval: defaultAgingInterval},
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		engines:     map[string]*engine{},
		byModel:     map[string]*replicas{},
	}
	for _, opt := range opts {
		opt(a)
	}
	a.queue = queue.New(a.queueLimits)
	return a
}

// Waiting returns the number of queued jobs.
func (a *Assigner) Waiting() int { return a.queue.Len() }

// Submit places j on an engine, queues it or refuses it. When j is placed,
// Placed is set; when it is refused, Err is set. If that happens after j was
// queued, Notify is called as well.
func (a *Assigner) Submit(j *Job, now time.Time) {
	j.initItem()
	if !a.queue.HasWaiting(j.item.Selector) {
		if e := a.choose(j, now); e != nil {
			a.queue.Charge(j.item.Customer, j.item.Weight, j.item.Cost)
			a.place(j, e, now)
			return
		}
	}
	if err := a.refusal(j, now); err != nil {
		j.Err = err
		return
	}
	if !a.queue.Push(&j.item, now) {
		j.Err = failure.New(failure.Overloaded, "queue limit reached for customer %s", j.item.Customer).
			WithRetryAfter(retryAfter(a.expectedWait(j, now)))
	}
}

// refusal returns an Overloaded error when the expected queue wait of j ends
// after its deadline, nil otherwise.
func (a *Assigner) refusal(j *Job, now time.Time) error {
	remaining := j.item.Deadline.Sub(now)
	expectedWait := a.expectedWait(j, now)
	if expectedWait <= remaining {
		return nil
	}
	return failure.New(failure.Overloaded, "expected queue wait of %s exceeds the %s left until the deadline", expectedWait.Round(time.Second), remaining.Round(time.Second)).
		WithRetryAfter(retryAfter(expectedWait - remaining))
}

// expectedWait estimates how long j would be queued, from the tokens ahead of it
// and the throughput of its model. It returns zero when the throughput is
// unknown.
func (a *Assigner) expectedWait(j *Job, now time.Time) time.Duration {
	r, ok := a.byModel[j.item.Selector.Model]
	if !ok {
		return 0
	}
	rate := r.finished.perSecond(now)
	if rate <= 0 {
		return 0
	}
	return time.Duration(a.queue.Ahead(&j.item) / rate * float64(time.Second))
}

func retryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Cancel removes a queued job. A placed job must be passed to Finish instead.
func (a *Assigner) Cancel(j *Job) { a.queue.Remove(&j.item) }

// HasReplica reports whether any engine has the weights of j loaded. Engines that
// j excludes count as well.
func (a *Assigner) HasReplica(j *Job) bool {
	r, ok := a.byModel[j.item.Selector.Model]
	if !ok {
		return false
	}
	selector := j.item.Selector
	selector.Exclude = ""
	for _, e := range r.engines {
		if e.canRun(&selector) {
			return true
		}
	}
	return false
}

// PrefillDone records that the first token of a placed job has arrived: it
// updates the congestion window of the engine and places queued jobs on it.
// Calls after the first have no effect.
func (a *Assigner) PrefillDone(j *Job, now time.Time) {
	if j.engine == nil || j.pendingPrefill == 0 {
		return
	}
	j.engine.window.FirstToken(now, j.pendingPrefill, now.Sub(j.placedAt))
	j.pendingPrefill = 0
	a.placeWaiting(j.engine, now)
}

// Finish ends a placed job, refunds the tokens charged in excess of used, and
// places queued jobs on its engine. It has no effect on a job that is not placed.
func (a *Assigner) Finish(j *Job, used float64, now time.Time) {
	e := j.engine
	if e == nil {
		return
	}
	j.engine = nil
	e.requests--
	e.window.Abandon(j.pendingPrefill)
	e.backlog.Finish(now, float64(j.Request.MaxTokens))
	if used < j.item.Cost {
		a.queue.Refund(j.item.Customer, j.item.Cost-used)
	}
	if r, ok := a.byModel[j.item.Selector.Model]; ok {
		r.finished.add(now, j.item.Cost)
	}
	a.placeWaiting(e, now)
}

// Update applies new engine views and places queued jobs on the engines that
// have free capacity. A view with a zero Collected time stands for an engine
// that is no longer configured, and removes it.
func (a *Assigner) Update(views []engineview.View, now time.Time) {
	for i := range views {
		e := a.engine(views[i].Target)
		a.update(e, &views[i], now)
		for k := range views[i].Events {
			a.recent.put(views[i].Events[k].Added, e)
		}
		a.placeWaiting(e, now)
		if views[i].Collected.IsZero() {
			delete(a.engines, views[i].Target)
		}
	}
}

// Outstanding returns the tokens of unfinished answers that this gateway has sent
// to an engine, counted as MaxTokens for each request.
func (a *Assigner) Outstanding(target string) int64 {
	e, ok := a.engines[target]
	if !ok {
		return 0
	}
	return int64(e.backlog.Outstanding())
}

// placeWaiting places queued jobs on e, in queue order, while it has capacity and
// its congestion window is open.
func (a *Assigner) placeWaiting(e *engine, now time.Time) {
	if a.queue.Len() == 0 {
		return
	}
	for e.hasCapacity() && e.window.Open() {
		it := a.queue.Next(now, e.models, e.canRun)
		a.refuseExpired()
		if it == nil {
			return
		}
		j, ok := it.Owner.(*Job)
		a.queue.Dequeue(it, now)
		if !ok {
			continue
		}
		a.place(j, e, now)
		j.notify()
	}
}

// refuseExpired refuses the queued jobs whose deadline has passed.
func (a *Assigner) refuseExpired() {
	for _, it := range a.queue.TakeExpired() {
		if j, ok := it.Owner.(*Job); ok {
			j.Err = failure.New(failure.DeadlineExceeded, "no engine slot was free before the deadline")
			j.notify()
		}
	}
}

// place assigns j to e and updates the estimated state of e.
func (a *Assigner) place(j *Job, e *engine, now time.Time) {
	e.requests++
	e.backlog.Add(now, float64(j.Request.MaxTokens))
	cached, _ := e.cache.Match(j.Request.Prefix)
	e.cache.AddExpected(j.Request.Prefix, cached)
	a.recent.put(j.Request.Prefix, e)
	j.pendingPrefill = max(1, float64(j.Request.PromptTokens()-cached*tokensPerBlock))
	j.placedAt = now
	e.window.Send(j.pendingPrefill)
	j.engine = e
	j.Placed = true
	j.Target = e.view.Target
	j.Address = e.view.Address
	j.Version = e.version(j.item.Selector.Model, j.Request.Weights.Version)
}

// choose returns the engine with the lowest score among those compared for j
// (see WithChoices), or nil when no engine accepts j.
func (a *Assigner) choose(j *Job, now time.Time) *engine {
	r, ok := a.byModel[j.item.Selector.Model]
	if !ok || len(r.engines) == 0 {
		return nil
	}
	best := a.recent.latest(j.Request.Prefix)
	if best != nil && (!slices.Contains(best.models, j.item.Selector.Model) || !a.accepts(best, &j.item.Selector)) {
		best = nil
	}
	var bestScore time.Duration
	if best != nil {
		bestScore = a.score(j, best, now)
	}
	for range min(a.choices, len(r.engines)) {
		e := a.nextAccepting(r, a.random.IntN(len(r.engines)), &j.item.Selector, best)
		if e == nil {
			return best
		}
		if score := a.score(j, e, now); best == nil || score < bestScore {
			best = e
			bestScore = score
		}
	}
	return best
}

func (a *Assigner) score(j *Job, e *engine, now time.Time) time.Duration {
	blocks, confirmed := e.cache.Match(j.Request.Prefix)
	return a.costs.Score(&routing.Candidate{
		Ahead:             e.backlog.Ahead(now),
		Concurrency:       e.concurrency(),
		PromptTokens:      float64(j.Request.PromptTokens()),
		ConfirmedTokens:   float64(confirmed * tokensPerBlock),
		UnconfirmedTokens: float64((blocks - confirmed) * tokensPerBlock),
		Remote:            e.view.DataCentre != a.dataCentre,
	})
}

func (a *Assigner) engine(name string) *engine {
	e, ok := a.engines[name]
	if !ok {
		e = newEngine()
		a.engines[name] = e
	}
	return e
}

// update replaces the view of e. The index by model is rebuilt for e only when
// its models have changed.
func (a *Assigner) update(e *engine, v *engineview.View, now time.Time) {
	models := modelsOf(v)
	if !slices.Equal(models, e.models) {
		a.unindex(e)
		e.models = models
		a.index(e)
	}
	e.setView(v, now)
}

func modelsOf(v *engineview.View) []string {
	if !v.Reachable {
		return nil
	}
	var models []string
	for l := range v.Loaded {
		if l.Kind == string(object.KindModel) {
			models = append(models, l.Name)
		}
	}
	return sortedUnique(models)
}
