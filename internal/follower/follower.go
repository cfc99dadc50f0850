// Package follower keeps a process at the highest configuration: it reads the
// head and adopts what it names.
package follower

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/publication"
)

const readInterval = time.Second

// Follower reads the head about once a second.
type Follower struct {
	publication *publication.Publication
	adoption    *adoption.Adoption
	clock       clockwork.Clock
	logger      hclog.Logger
	done        chan struct{}
}

// New returns a follower that keeps a at the highest revision.
func New(p *publication.Publication, a *adoption.Adoption, clock clockwork.Clock, logger hclog.Logger) *Follower {
	return &Follower{publication: p, adoption: a, clock: clock, logger: logger, done: make(chan struct{})}
}

// Run follows until ctx ends. It may be called once.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	ticker := f.clock.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.logger.Warn("configuration not read", "error", err)
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// step reads the head once. The vouch counts from before the read.
func (f *Follower) step(ctx context.Context) error {
	asked := f.clock.Now()
	head, err := f.publication.Head(ctx)
	if err != nil {
		return err
	}
	if head.Revision > f.adoption.Current().Revision() {
		s, err := f.publication.Snapshot(ctx, head)
		if err != nil {
			return err
		}
		f.adoption.Adopt(s)
		f.logger.Info("configuration adopted", "revision", s.Revision)
	}
	f.adoption.Vouch(head.Revision, asked)
	return nil
}
