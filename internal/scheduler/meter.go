package scheduler

import (
	"fireflypier.example/fireflypier/internal/assigner"
	"fireflypier.example/fireflypier/internal/request"
)

// Meter is told of the work that arrives; demandmeter.Meter implements it.
type Meter interface {
	// RecordRequest counts the tokens of a request for a model or adapter.
	RecordRequest(name string, tokens int)
	// RecordWaiting counts a request that no engine holds the weights for until
	// ended is called.
	RecordWaiting(name string) (ended func())
}

// WithMeter tells m of every request, so that controllers place models and
// adapters by demand.
func WithMeter(m Meter) Option { return func(s *Scheduler) { s.meter = m } }

// arrived tells the meter of a request's first attempt.
func (s *Scheduler) arrived(r *request.Request, exclude []string) {
	if s.meter != nil && len(exclude) == 0 {
		s.meter.RecordRequest(weightsName(r), int(r.Cost()))
	}
}

// waits tells the meter of a job for which no engine holds the weights.
func (s *Scheduler) waits(j *assigner.Job) (ended func()) {
	s.mu.Lock()
	held := s.assigner.HasReplica(j)
	s.mu.Unlock()
	if s.meter == nil || held {
		return func() {}
	}
	return s.meter.RecordWaiting(weightsName(j.Request))
}

func weightsName(r *request.Request) string {
	if r.Weights.Adapter != "" {
		return r.Weights.Adapter
	}
	return r.Weights.Model
}
