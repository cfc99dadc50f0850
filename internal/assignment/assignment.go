// Package assignment decides which engine runs a request, and which waiting
// request goes next. It is the pure core of package schedule: the time is
// passed in, and nothing blocks.
package assignment

import (
	"math/rand/v2"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/queue"
	"fireflypier.example/fireflypier/internal/route"
)

const (
	defaultWaiting = 4096
	defaultAging   = 5 * time.Second
	defaultChoices = 2
	minRetryAfter  = time.Second
	maxRetryAfter  = time.Minute
)

// Assignment assigns jobs to engines. It is not safe for concurrent use.
type Assignment struct {
	costs      route.Costs
	choices    int
	dataCentre string
	bounds     queue.Bounds
	random     *rand.Rand

	queue   *queue.Queue
	engines map[string]*engine
	byModel map[string]*replicas
	recent  recentEngines
}

// Option changes an Assignment under construction.
type Option func(*Assignment)

// WithDataCentre tells where the gateway is.
func WithDataCentre(name string) Option { return func(a *Assignment) { a.dataCentre = name } }

// WithSeed fixes the random choices.
func WithSeed(seed uint64) Option {
	return func(a *Assignment) { a.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithChoices sets how many engines are weighed for each job; the default is
// two, besides the one that served the prompt's prefix last.
func WithChoices(n int) Option { return func(a *Assignment) { a.choices = n } }

// WithBounds replaces the bounds of the queue.
func WithBounds(b queue.Bounds) Option { return func(a *Assignment) { a.bounds = b } }

// New returns an assignment without engines.
func New(opts ...Option) *Assignment {
	a := &Assignment{
		costs:   route.DefaultCosts(),
		choices: defaultChoices,
		bounds:  queue.Bounds{Waiting: defaultWaiting, Aging: defaultAging},
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		engines: map[string]*engine{},
		byModel: map[string]*replicas{},
	}
	for _, opt := range opts {
		opt(a)
	}
	a.queue = queue.New(a.bounds)
	return a
}

// Waiting returns the number of jobs that wait.
func (a *Assignment) Waiting() int { return a.queue.Len() }

// Submit places j at once, makes it wait, or refuses it. Once it is placed or
// refused, its Placed or Err is set; for a job that had to wait, Notify is
// called then.
func (a *Assignment) Submit(j *Job, now time.Time) {
	j.fill()
	if !a.queue.Waits(j.item.Lane) {
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
		j.Err = failure.New(failure.Overloaded, "customer %s has no room for more waiting requests", j.item.Customer).
			WithRetryAfter(retryAfter(a.wait(j, now)))
	}
}

// refusal returns an error when the job's turn is not expected before its
// deadline.
func (a *Assignment) refusal(j *Job, now time.Time) error {
	left := j.item.Deadline.Sub(now)
	wait := a.wait(j, now)
	if wait <= left {
		return nil
	}
	return failure.New(failure.Overloaded, "the wait would be about %s, the deadline is in %s", wait.Round(time.Second), left.Round(time.Second)).
		WithRetryAfter(retryAfter(wait - left))
}

// wait estimates the time until a new job's turn, zero when unknown.
func (a *Assignment) wait(j *Job, now time.Time) time.Duration {
	r, ok := a.byModel[j.item.Lane.Model]
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

// Cancel takes a waiting job out; a placed one must be finished instead.
func (a *Assignment) Cancel(j *Job) { a.queue.Remove(&j.item) }

// Holds reports whether any engine holds the weights of j, an excluded one
// included.
func (a *Assignment) Holds(j *Job) bool {
	r, ok := a.byModel[j.item.Lane.Model]
	if !ok {
		return false
	}
	lane := j.item.Lane
	lane.Exclude = ""
	for _, e := range r.engines {
		if e.holds(&lane) {
			return true
		}
	}
	return false
}

// Start tells that the first token of a placed job has come; later calls do
// nothing.
func (a *Assignment) Start(j *Job, now time.Time) {
	if j.engine == nil || j.unread == 0 {
		return
	}
	j.engine.window.FirstToken(now, j.unread, now.Sub(j.sent))
	j.unread = 0
	a.fill(j.engine, now)
}

// Finish ends a placed job that used a number of tokens, and gives its place
// to the next one.
func (a *Assignment) Finish(j *Job, used float64, now time.Time) {
	e := j.engine
	if e == nil {
		return
	}
	j.engine = nil
	e.requests--
	e.window.Abandon(j.unread)
	e.backlog.Finish(now, float64(j.Request.MaxTokens))
	if used < j.item.Cost {
		a.queue.Refund(j.item.Customer, j.item.Cost-used)
	}
	if r, ok := a.byModel[j.item.Lane.Model]; ok {
		r.finished.add(now, j.item.Cost)
	}
	a.fill(e, now)
}

// Update takes new views of engines and gives the room that they show to
// waiting jobs. A view that was never collected is that of an engine which is
// no longer configured.
func (a *Assignment) Update(views []engineview.View, now time.Time) {
	for i := range views {
		e := a.engine(views[i].Target)
		a.update(e, &views[i], now)
		for k := range views[i].Events {
			a.recent.put(views[i].Events[k].Added, e)
		}
		a.fill(e, now)
		if views[i].Collected.IsZero() {
			delete(a.engines, views[i].Target)
		}
	}
}

// Own returns the unfinished answer tokens that this gateway has at an engine.
func (a *Assignment) Own(target string) int64 {
	e, ok := a.engines[target]
	if !ok {
		return 0
	}
	return int64(e.backlog.Own())
}

// fill gives the room of e to the first of the jobs that it can serve.
func (a *Assignment) fill(e *engine, now time.Time) {
	if a.queue.Len() == 0 {
		return
	}
	for e.hasRoom() && e.window.Open() {
		it := a.queue.Best(now, e.models, e.holds)
		a.refuseLate()
		if it == nil {
			return
		}
		j, ok := it.Owner.(*Job)
		a.queue.Take(it, now)
		if !ok {
			continue
		}
		a.place(j, e, now)
		j.notify()
	}
}

func (a *Assignment) refuseLate() {
	for _, it := range a.queue.TakeLate() {
		if j, ok := it.Owner.(*Job); ok {
			j.Err = failure.New(failure.DeadlineExceeded, "no engine had room before the deadline")
			j.notify()
		}
	}
}

// place sends j to e.
func (a *Assignment) place(j *Job, e *engine, now time.Time) {
	e.requests++
	e.backlog.Add(now, float64(j.Request.MaxTokens))
	known, _ := e.cache.Match(j.Request.Prefix)
	e.cache.AddExpected(j.Request.Prefix, known)
	a.recent.put(j.Request.Prefix, e)
	j.unread = max(1, float64(j.Request.PromptTokens()-known*tokensPerBlock))
	j.sent = now
	e.window.Send(j.unread)
	j.engine = e
	j.Placed = true
	j.Target = e.view.Target
	j.Address = e.view.Address
	j.Version = e.version(j.item.Lane.Model, j.Request.Weights.Version)
}

// choose returns the best of a few engines with room, or nil when no engine
// has room.
func (a *Assignment) choose(j *Job, now time.Time) *engine {
	r, ok := a.byModel[j.item.Lane.Model]
	if !ok || len(r.engines) == 0 {
		return nil
	}
	best := a.recent.latest(j.Request.Prefix)
	if best != nil && (!slices.Contains(best.models, j.item.Lane.Model) || !a.takes(best, &j.item.Lane)) {
		best = nil
	}
	var bestScore time.Duration
	if best != nil {
		bestScore = a.score(j, best, now)
	}
	for range min(a.choices, len(r.engines)) {
		e := a.probe(r, a.random.IntN(len(r.engines)), &j.item.Lane, best)
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

func (a *Assignment) score(j *Job, e *engine, now time.Time) time.Duration {
	blocks, certain := e.cache.Match(j.Request.Prefix)
	return a.costs.Score(&route.Candidate{
		Ahead:         e.backlog.Ahead(now),
		Concurrency:   e.concurrency(),
		PromptTokens:  float64(j.Request.PromptTokens()),
		CertainTokens: float64(certain * tokensPerBlock),
		GuessedTokens: float64((blocks - certain) * tokensPerBlock),
		Remote:        e.view.DataCentre != a.dataCentre,
	})
}

func (a *Assignment) engine(name string) *engine {
	e, ok := a.engines[name]
	if !ok {
		e = newEngine()
		a.engines[name] = e
	}
	return e
}

// update replaces the view of e; the index changes only when the models do.
func (a *Assignment) update(e *engine, v *engineview.View, now time.Time) {
	models := modelsOf(v)
	if !slices.Equal(models, e.models) {
		a.unindex(e)
		e.models = models
		a.index(e)
	}
	e.take(v, now)
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
