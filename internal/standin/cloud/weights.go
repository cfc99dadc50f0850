package cloud

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/object"
)

// WeightConfig sets the speed of the weight store.
type WeightConfig struct {
	// LoadsPerSecond is the maximum rate at which model loads start; zero means no
	// limit.
	LoadsPerSecond float64 `json:"loads_per_second,omitzero"`
	// LoadsAtOnce is the number of concurrent model loads that run at full speed; a
	// load that starts above it takes proportionally longer. Zero means no limit.
	LoadsAtOnce int `json:"loads_at_once,omitzero"`
	// LoadTime is the duration of a model load at full speed.
	LoadTime time.Duration `json:"load_time,omitzero"`
	// AdapterLoadsAtOnce is the equivalent of LoadsAtOnce for adapter loads.
	AdapterLoadsAtOnce int `json:"adapter_loads_at_once,omitzero"`
	// AdapterLoadTime is the duration of an adapter load at full speed.
	AdapterLoadTime time.Duration `json:"adapter_load_time,omitzero"`
}

// weights is the weight store.
type weights struct {
	clock clockwork.Clock

	mu        sync.Mutex
	cfg       WeightConfig
	nextStart time.Time
	models    int
	adapters  int
	loads     int64
}

// load blocks for the duration of a load, or until ctx ends.
func (s *weights) load(ctx context.Context, kind object.Kind) error {
	wait := s.beginLoad(kind)
	defer s.endLoad(kind)
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginLoad counts a load and returns its duration, including the wait for its start.
func (s *weights) beginLoad(kind object.Kind) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	if kind == object.KindAdapter {
		s.adapters++
		return loadDuration(s.cfg.AdapterLoadTime, s.adapters, s.cfg.AdapterLoadsAtOnce)
	}
	s.models++
	now := s.clock.Now()
	start := now
	if s.cfg.LoadsPerSecond > 0 {
		if s.nextStart.After(start) {
			start = s.nextStart
		}
		s.nextStart = start.Add(time.Duration(float64(time.Second) / s.cfg.LoadsPerSecond))
	}
	return start.Sub(now) + loadDuration(s.cfg.LoadTime, s.models, s.cfg.LoadsAtOnce)
}

func (s *weights) endLoad(kind object.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == object.KindAdapter {
		s.adapters--
		return
	}
	s.models--
}

func (s *weights) setConfig(cfg WeightConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg = cfg
}

// loadDuration returns the duration of a load that takes d at full speed and starts
// as one of active loads. Above limit, the bandwidth is shared.
func loadDuration(d time.Duration, active, limit int) time.Duration {
	if limit <= 0 || active <= limit {
		return d
	}
	return d * time.Duration(active) / time.Duration(limit)
}
