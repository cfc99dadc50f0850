// Package scheduler assigns requests to slots of engines and blocks them until a
// slot is free. The decisions are made by package assigner.
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

// Scheduler assigns requests to slots of engines. It is safe for concurrent use.
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

// Option configures a Scheduler in New.
type Option func(*Scheduler)

// WithClock replaces the system clock, for tests.
func WithClock(c clockwork.Clock) Option { return func(s *Scheduler) { s.clock = c } }

// WithWeight sets the function that returns the weight of a customer, its rate
// in tokens per second. By default, all customers have the same weight.
func WithWeight(f func(customer string) float64) Option {
	return func(s *Scheduler) { s.weight = f }
}

// WithAssignerOptions passes options to the Assigner.
func WithAssignerOptions(opts ...assigner.Option) Option {
	return func(s *Scheduler) { s.assignerOptions = append(s.assignerOptions, opts...) }
}

// WithMetrics registers the metrics of the Scheduler in r.
func WithMetrics(r prometheus.Registerer) Option {
	return func(s *Scheduler) { s.registry = r }
}

// New returns a Scheduler that receives the updates of views.
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

// State returns the current state for dumps.
func (s *Scheduler) State() assigner.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assigner.State(s.clock.Now())
}

// Waiting returns the number of queued requests.
func (s *Scheduler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assigner.Waiting()
}

// Slot is the right to run one attempt on an engine. It must be released when
// the attempt has ended.
type Slot struct {
	// Target is the name of the engine, Address its network address.
	Target  string
	Address netip.AddrPort
	// Version is the model version to request from the engine. During a version
	// roll-out it may be older than the configured one.
	Version string

	scheduler *Scheduler
	job       assigner.Job
	once      sync.Once
	generated int
}

// Acquire waits for a slot of an engine that has the weights of the request
// loaded and is not excluded. The errors are Overloaded (the queue is full, or
// the expected wait exceeds the deadline), DeadlineExceeded, NoReplica (no
// engine had the weights loaded at the deadline) and Canceled (the caller
// canceled ctx).
func (s *Scheduler) Acquire(ctx context.Context, r *request.Request, exclude []string) (*Slot, error) {
	s.recordRequest(r, exclude)
	slot := &Slot{scheduler: s}
	slot.job = assigner.Job{Request: r, Exclude: exclude, Weight: s.weight(r.Ticket.Customer)}
	if s.submit(&slot.job) {
		if slot.job.Err != nil {
			s.refused.Inc()
		}
		return slot.result()
	}
	s.waiting.Inc()
	ended := s.recordWaiting(&slot.job)
	defer ended()
	ready := make(chan struct{})
	if s.setNotify(&slot.job, ready) {
		select {
		case <-ready:
		case <-ctx.Done():
			if err := s.withdraw(ctx, &slot.job); err != nil {
				return nil, err
			}
		}
	}
	return slot.result()
}

// submit submits the job and reports whether it was placed or refused at once.
func (s *Scheduler) submit(j *assigner.Job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assigner.Submit(j, s.clock.Now())
	return j.Placed || j.Err != nil
}

// setNotify makes the assigner close ready when the queued job is placed or
// refused. It returns false when that has already happened.
func (s *Scheduler) setNotify(j *assigner.Job, ready chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.Placed || j.Err != nil {
		return false
	}
	j.Notify = func() { close(ready) }
	return true
}

// withdraw removes a job from the queue after its context has ended. If the job
// was placed meanwhile, its slot is released; if it was refused, that error is
// returned.
func (s *Scheduler) withdraw(ctx context.Context, j *assigner.Job) error {
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

func waitError(ctx context.Context, hasReplica bool) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return failure.New(failure.Canceled, "the caller disconnected while the request was queued")
	case !hasReplica:
		return failure.New(failure.NoReplica, "no engine has the model loaded")
	}
	return failure.New(failure.DeadlineExceeded, "no engine slot was free before the deadline")
}

func (slot *Slot) result() (*Slot, error) {
	if slot.job.Err != nil {
		return nil, slot.job.Err
	}
	slot.Target = slot.job.Target
	slot.Address = slot.job.Address
	slot.Version = slot.job.Version
	return slot, nil
}

// RecordFirstToken records that the first token of the attempt has arrived.
// Calls after the first have no effect.
func (slot *Slot) RecordFirstToken() {
	s := slot.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assigner.PrefillDone(&slot.job, s.clock.Now())
}

// SetGenerated sets the number of tokens that the attempt has generated. It must
// be called before Release and on the same goroutine.
func (slot *Slot) SetGenerated(tokens int) { slot.generated = tokens }

// Release frees the slot and refunds the tokens that were charged but not used.
// Calls after the first have no effect.
func (slot *Slot) Release() {
	slot.once.Do(func() {
		s := slot.scheduler
		used := float64(slot.job.Request.PromptTokens() + slot.generated)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.assigner.Finish(&slot.job, used, s.clock.Now())
	})
}
