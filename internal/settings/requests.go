package settings

import "time"

// Requests holds the gateway settings that limit running requests.
type Requests struct {
	// FirstFrameTimeout limits the wait for the first token of an engine,
	// including the time in the engine's queue, and FrameTimeout the time between
	// two tokens. After a timeout another engine continues the answer.
	FirstFrameTimeout time.Duration `json:"first_frame_timeout,omitzero"`
	FrameTimeout      time.Duration `json:"frame_timeout,omitzero"`
	// WriteTimeout limits a single write to a slow caller.
	WriteTimeout time.Duration `json:"write_timeout,omitzero"`
	// DispatchWindow limits the time from the claim of a request to the first byte
	// sent to a target.
	DispatchWindow time.Duration `json:"dispatch_window,omitzero"`
	// ClaimRetention is how long the outcome of a claimed request is stored.
	ClaimRetention time.Duration `json:"claim_retention,omitzero"`
	// ClaimWritesPerSecond limits the rate of this gateway's claim transactions.
	ClaimWritesPerSecond float64 `json:"claim_writes_per_second,omitzero"`
	// MaxRecordedBytes limits the recorded body of an answer.
	MaxRecordedBytes int `json:"max_recorded_bytes,omitzero"`
}

// Default values of Requests.
const (
	defaultFirstFrameTimeout    = 15 * time.Second
	defaultFrameTimeout         = 3 * time.Second
	defaultWriteTimeout         = 15 * time.Second
	defaultDispatchWindow       = 5 * time.Second
	defaultClaimRetention       = 24 * time.Hour
	defaultClaimWritesPerSecond = 50
	defaultMaxRecordedBytes     = 64 << 10
)

func (s *Requests) fill() {
	setDefault(&s.FirstFrameTimeout, defaultFirstFrameTimeout)
	setDefault(&s.FrameTimeout, defaultFrameTimeout)
	setDefault(&s.WriteTimeout, defaultWriteTimeout)
	setDefault(&s.DispatchWindow, defaultDispatchWindow)
	setDefault(&s.ClaimRetention, defaultClaimRetention)
	setDefault(&s.ClaimWritesPerSecond, defaultClaimWritesPerSecond)
	setDefault(&s.MaxRecordedBytes, defaultMaxRecordedBytes)
}

func (s *Requests) check(file string) error {
	switch {
	case s.FirstFrameTimeout < 0 || s.FrameTimeout < 0 || s.WriteTimeout < 0 || s.DispatchWindow < 0 || s.ClaimRetention < 0:
		return invalid(file, "/requests", "durations must not be negative")
	case s.ClaimWritesPerSecond < 0 || s.MaxRecordedBytes < 0:
		return invalid(file, "/requests", "limits must not be negative")
	}
	return nil
}
