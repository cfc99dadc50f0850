// Package follower keeps a process at the highest state: it reads the head
// and adopts what it names, and when the store does not confirm the state in
// time, it lets the witnesses confirm it.
package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/head"
	"fireflypier.example/fireflypier/internal/publication"
	"fireflypier.example/fireflypier/internal/registry"
)

// The ages at which a state is confirmed anew. Each process adds a random
// part, so that a few confirm first and vouch for the others.
const (
	checkInterval = 100 * time.Millisecond
	readAge       = time.Second
	readSpread    = 500 * time.Millisecond
	confirmAge    = 1800 * time.Millisecond
	confirmSpread = 700 * time.Millisecond
	retryInterval = 500 * time.Millisecond
	readTimeout   = time.Second
	// fetchTimeout bounds the reading of what a head names.
	fetchTimeout = 10 * time.Second
)

// Parts are what a follower stands on.
type Parts struct {
	Publication *publication.Publication
	Registry    *registry.Registry
	Adoption    *adoption.Adoption
	// Confirm asks the witnesses of the region; see gossip.Gossip.
	Confirm func(ctx context.Context) bool
	Clock   clockwork.Clock
	Logger  hclog.Logger
}

// Follower follows the head.
type Follower struct {
	parts Parts
	done  chan struct{}
}

// New returns a follower of the head.
func New(p Parts) *Follower { return &Follower{parts: p, done: make(chan struct{})} }

// Run follows until ctx ends. It may be called once.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		f.whenOlder(ctx, readAge, readSpread, func() {
			if err := f.read(ctx); err != nil && ctx.Err() == nil {
				f.parts.Logger.Warn("configuration not read", "error", err)
			}
		})
	})
	wg.Go(func() {
		f.whenOlder(ctx, confirmAge, confirmSpread, func() {
			if !f.parts.Confirm(ctx) && ctx.Err() == nil {
				f.parts.Logger.Debug("state not confirmed by the witnesses")
			}
		})
	})
}

// Done is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// whenOlder calls renew whenever the last vouch is older than age and a
// random part of spread.
func (f *Follower) whenOlder(ctx context.Context, age, spread time.Duration, renew func()) {
	limit := age + rand.N(spread)
	for {
		wait := checkInterval
		if last, ok := f.parts.Adoption.Age(); !ok || last >= limit {
			renew()
			limit = age + rand.N(spread)
			if last, ok := f.parts.Adoption.Age(); !ok || last >= limit {
				wait = retryInterval/2 + rand.N(retryInterval)
			}
		}
		timer := f.parts.Clock.NewTimer(wait)
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// read reads the head once. The vouch counts from before the read.
func (f *Follower) read(ctx context.Context) error {
	asked := f.parts.Clock.Now()
	h, err := f.head(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := f.adoptConfiguration(ctx, h); err != nil {
		return err
	}
	if err := f.adoptMembers(ctx, h); err != nil {
		return err
	}
	f.parts.Adoption.Vouch(h.State(), asked)
	return nil
}

func (f *Follower) head(ctx context.Context) (head.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.parts.Publication.Head(ctx)
}

func (f *Follower) adoptConfiguration(ctx context.Context, h head.Head) error {
	have := f.parts.Adoption.Current().Revision()
	if h.Revision <= have {
		return nil
	}
	if have >= h.ObjectRevision {
		records, err := f.parts.Publication.Records(ctx, have, h)
		if err != nil {
			return err
		}
		if err := f.parts.Adoption.Replay(records); err != nil {
			return err
		}
	} else {
		s, err := f.parts.Publication.Snapshot(ctx, h)
		if err != nil {
			return err
		}
		f.parts.Adoption.Adopt(s)
	}
	f.parts.Logger.Info("configuration adopted", "revision", f.parts.Adoption.Current().Revision())
	return nil
}

func (f *Follower) adoptMembers(ctx context.Context, h head.Head) error {
	changes, list, err := f.parts.Registry.Changes(ctx, f.parts.Adoption.Members(), h)
	if err != nil {
		return err
	}
	if list != nil {
		f.parts.Adoption.AdoptMembers(list)
	}
	f.parts.Adoption.ChangeMembers(changes)
	return nil
}
