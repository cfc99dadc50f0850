package dispatch

import "fireflypier.example/fireflypier/internal/schedule"

// startSink tells a place when the first token of an attempt comes.
type startSink struct {
	Sink

	place   *schedule.Place
	started bool
}

// Token implements Sink.
func (s *startSink) Token(text string) error {
	if !s.started {
		s.started = true
		s.place.Started()
	}
	return s.Sink.Token(text)
}
