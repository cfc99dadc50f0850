// Package schedule decides which engine runs a request, and when.
package schedule

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/request"
)

// defaultConcurrency bounds the running requests of an engine whose target
// names no bound.
const defaultConcurrency = 64

// Schedule gives requests places at engines. Its methods may be called at
// the same time.
type Schedule struct {
	views *engineview.Views

	mu          sync.Mutex
	outstanding map[string]int
	freed       chan struct{}
}

// New returns a schedule over the views.
func New(views *engineview.Views) *Schedule {
	return &Schedule{views: views, outstanding: map[string]int{}, freed: make(chan struct{})}
}

// Place is a place at an engine. Release it when the attempt has ended.
type Place struct {
	// Target is the engine's name, Address where it listens.
	Target  string
	Address netip.AddrPort

	schedule *Schedule
	once     sync.Once
}

// Acquire waits for a place at an engine that holds the request's weights
// and is not excluded. The errors are DeadlineExceeded, NoReplica (no engine
// had the weights until the deadline) and Canceled.
func (s *Schedule) Acquire(ctx context.Context, r *request.Request, exclude []string) (*Place, error) {
	for {
		changed := s.views.Changed()
		place, freed, found := s.try(r, exclude)
		if place != nil {
			return place, nil
		}
		select {
		case <-changed:
		case <-freed:
		case <-ctx.Done():
			return nil, waitError(ctx, found)
		}
	}
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

// try returns a place, or a channel that is closed when one is freed; found
// tells whether any engine holds the weights.
func (s *Schedule) try(r *request.Request, exclude []string) (p *Place, freed <-chan struct{}, found bool) {
	views := s.views.Holding(&r.Weights)
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	for i := range views {
		if slices.Contains(exclude, views[i].Target) || !s.hasRoom(&views[i]) {
			continue
		}
		if best < 0 || s.outstanding[views[i].Target] < s.outstanding[views[best].Target] {
			best = i
		}
	}
	if best < 0 {
		return nil, s.freed, len(views) > 0
	}
	s.outstanding[views[best].Target]++
	return &Place{Target: views[best].Target, Address: views[best].Address, schedule: s}, nil, true
}

func (s *Schedule) hasRoom(v *engineview.View) bool {
	limit := v.Concurrency
	if limit == 0 {
		limit = defaultConcurrency
	}
	return s.outstanding[v.Target] < limit
}

// Release gives the place back; it may be called more than once.
func (p *Place) Release() {
	p.once.Do(func() {
		s := p.schedule
		s.mu.Lock()
		defer s.mu.Unlock()
		s.outstanding[p.Target]--
		close(s.freed)
		s.freed = make(chan struct{})
	})
}
