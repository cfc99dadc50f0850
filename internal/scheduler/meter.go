package scheduler

import (
	"fireflypier.example/fireflypier/internal/assigner"
	"fireflypier.example/fireflypier/internal/request"
)

// Meter counts the demand for weights; demandmeter.Meter implements it.
type Meter interface {
	// RecordRequest adds the tokens of a request to the demand for a model or
	// adapter.
	RecordRequest(name string, tokens int)
	// RecordWaiting counts a queued request whose weights no engine has loaded,
	// until ended is called.
	RecordWaiting(name string) (ended func())
}

// WithMeter makes the Scheduler record every request in m, so that controllers
// place models and adapters by demand.
func WithMeter(m Meter) Option { return func(s *Scheduler) { s.meter = m } }

// recordRequest records a request unless the attempt excludes engines, so that
// repeated attempts are not counted.
func (s *Scheduler) recordRequest(r *request.Request, exclude []string) {
	if s.meter != nil && len(exclude) == 0 {
		s.meter.RecordRequest(weightsName(r), int(r.Cost()))
	}
}

// recordWaiting records a queued job if no engine has its weights loaded.
func (s *Scheduler) recordWaiting(j *assigner.Job) (ended func()) {
	s.mu.Lock()
	hasReplica := s.assigner.HasReplica(j)
	s.mu.Unlock()
	if s.meter == nil || hasReplica {
		return func() {}
	}
	return s.meter.RecordWaiting(weightsName(j.Request))
}

// weightsName returns the name of the adapter, or of the model if there is none.
func weightsName(r *request.Request) string {
	if r.Weights.Adapter != "" {
		return r.Weights.Adapter
	}
	return r.Weights.Model
}
