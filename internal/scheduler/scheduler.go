// Package scheduler gives requests places at engines and makes them wait for
// one. The decisions are those of package assigner.
package scheduler

import (
	"context"
	"net/netip"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"fireflypier.example/fireflypier/internal/assigner"
	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/request"
)

// Scheduler gives requests places at engines. Its methods may be called at
// the same time.
type Scheduler struct {
	clock           clockwork.Clock
	weight          func(customer string) float64
	assignerOptions []assigner.Option
	meter           Meter

	registry prometheus.Registerer
	waiting  prometheus.Counter
	refused  prometheus.Counter

	mu       sync.Mutex
	assigner *assigner.Assigner
}

// Option changes a Schedule under construction.
type Option func(*Scheduler)

// WithClock replaces the real clock.
func WithClock(c clockwork.Clock) Option { return func(s *Scheduler) { s.clock = c } }

// WithWeight gives the weight of each customer, its rate in tokens a second;
// by default all weigh the same.
func WithWeight(f func(customer string) float64) Option {
	return func(s *Scheduler) { s.weight = f }
}

// WithAssignerOptions passes options on to the decisions.
func WithAssignerOptions(opts ...assigner.Option) Option {
	return func(s *Scheduler) { s.assignerOptions = append(s.assignerOptions, opts...) }
}

// WithMetrics registers the metrics of the schedule.
func WithMetrics(r prometheus.Registerer) Option {
	return func(s *Scheduler) { s.registry = r }
}

// New returns a schedule that follows the views.
func New(views *engineview.Views, opts ...Option) *Scheduler {
	s := &Scheduler{
		clock:  clockwork.NewRealClock(),
		weight: func(string) float64 { return 1 },
	}
	for _, opt := range opts {
		opt(s)
	}
	s.assigner = assigner.New(s.assignerOptions...)
	s.register()
	views.OnUpdate(s.update)
	return s
}

func (s *Scheduler) update(views []engineview.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assigner.Update(views, s.clock.Now())
}

func (s *Scheduler) register() {
	s.waiting = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "fireflypier_waits_total", Help: "Attempts that had to wait for an engine.",
	})
	s.refused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "fireflypier_early_refusals_total", Help: "Attempts refused at once, since the queue had no room or their turn would come after the deadline.",
	})
	if s.registry == nil {
		return
	}
	waiting := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "fireflypier_requests_waiting", Help: "Requests that wait for an engine.",
	}, func() float64 { return float64(s.Waiting()) })
	s.registry.MustRegister(waiting, s.waiting, s.refused)
}

// State returns the state for dumps.
func (s *Scheduler) State() assigner.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assigner.State(s.clock.Now())
}

// Waiting returns the number of requests that wait for a place.
func (s *Scheduler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assigner.Waiting()
}

// Slot is a place at an engine. Release it when the attempt has ended.
type Slot struct {
	// Target is the engine's name, Address where it listens.
	Target  string
	Address netip.AddrPort
	// Version is the model's version to ask for. During a roll it may be
	// older than the configured one.
	Version string

	scheduler *Scheduler
	job       assigner.Job
	once      sync.Once
	generated int
}

// Acquire waits for a place at an engine that holds the request's weights
// and is not excluded. The errors are Overloaded (no room to wait, or no turn
// expected before the deadline), DeadlineExceeded, NoReplica (no engine had
// the weights until the deadline) and Canceled.
func (s *Scheduler) Acquire(ctx context.Context, r *request.Request, exclude []string) (*Slot, error) {
	s.arrived(r, exclude)
	p := &Slot{scheduler: s}
	p.job = assigner.Job{Request: r, Exclude: exclude, Weight: s.weight(r.Ticket.Customer)}
	if s.submit(&p.job) {
		if p.job.Err != nil {
			s.refused.Inc()
		}
		return p.placed()
	}
	s.waiting.Inc()
	ended := s.waits(&p.job)
	defer ended()
	ready := make(chan struct{})
	if s.wait(&p.job, ready) {
		select {
		case <-ready:
		case <-ctx.Done():
			if err := s.abandon(ctx, &p.job); err != nil {
				return nil, err
			}
		}
	}
	return p.placed()
}

// submit reports whether the job is settled at once.
func (s *Scheduler) submit(j *assigner.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assigner.Submit(j, s.clock.Now())
	return j.Placed || j.Err != nil
}

// wait asks for a notice of a waiting job; false when it was settled
// meanwhile.
func (s *Scheduler) wait(j *assigner.Job, ready chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.Placed || j.Err != nil {
		return false
	}
	j.Notify = func() { close(ready) }
	return true
}

// abandon takes a job out of the queue; a place that came meanwhile is given
// back.
func (s *Scheduler) abandon(ctx context.Context, j *assigner.Job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.Err != nil {
		return j.Err
	}
	if j.Placed {
		s.assigner.Finish(j, 0, s.clock.Now())
	} else {
		s.assigner.Cancel(j)
	}
	return waitError(ctx, s.assigner.HasReplica(j))
}

func waitError(ctx context.Context, found bool) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return failure.New(failure.Canceled, "the caller left while the request waited")
	case !found:
		return failure.New(failure.NoReplica, "no engine has the model loaded")
	}
	return failure.New(failure.DeadlineExceeded, "no engine had room before the deadline")
}

func (p *Slot) placed() (*Slot, error) {
	if p.job.Err != nil {
		return nil, p.job.Err
	}
	p.Target = p.job.Target
	p.Address = p.job.Address
	p.Version = p.job.Version
	return p, nil
}

// RecordFirstToken tells that the attempt's first token has come; later calls do
// nothing.
func (p *Slot) RecordFirstToken() {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assigner.PrefillDone(&p.job, s.clock.Now())
}

// SetGenerated tells how many tokens the attempt has generated. Call it before
// Release, from the goroutine that releases.
func (p *Slot) SetGenerated(tokens int) { p.generated = tokens }

// Release gives the place back; it may be called more than once.
func (p *Slot) Release() {
	p.once.Do(func() {
		s := p.scheduler
		used := float64(p.job.Request.PromptTokens() + p.generated)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.assigner.Finish(&p.job, used, s.clock.Now())
	})
}
