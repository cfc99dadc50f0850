// Package follower keeps the configuration and the member list of a process up to
// date. It reads the head periodically and adopts the revision and the members that
// the head refers to. If the store does not confirm the current state in time, the
// follower requests confirmation from peers in the region.
package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/configstore"
	"fireflypier.example/fireflypier/internal/head"
	"fireflypier.example/fireflypier/internal/registry"
)

// Ages of the last confirmation at which a state is confirmed again. Each process
// adds a random part, so that a few processes read the head first and their
// confirmations spread to the others.
const (
	checkInterval = 100 * time.Millisecond
	readAge       = time.Second
	readSpread    = 500 * time.Millisecond
	confirmAge    = 1800 * time.Millisecond
	confirmSpread = 700 * time.Millisecond
	retryInterval = 500 * time.Millisecond
	readTimeout   = time.Second
	// fetchTimeout limits reading the edits, snapshots and members that a head
	// refers to.
	fetchTimeout = 10 * time.Second
)

// Config holds the dependencies of a Follower.
type Config struct {
	ConfigStore *configstore.Repository
	Registry    *registry.Registry
	Adoption    *adoption.Adoption
	// Confirm reports whether peers in the region have confirmed the state; see
	// gossip.Gossip.
	Confirm func(ctx context.Context) bool
	Clock   clockwork.Clock
	Logger  hclog.Logger
}

// Follower keeps the state of a process up to date with the head.
type Follower struct {
	cfg  Config
	done chan struct{}
}

// New returns a follower that does nothing until Run is called.
func New(config Config) *Follower { return &Follower{cfg: config, done: make(chan struct{})} }

// Run follows the head until ctx is done. It must be called at most once.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		f.whenOlder(ctx, readAge, readSpread, func() {
			if err := f.read(ctx); err != nil && ctx.Err() == nil {
				f.cfg.Logger.Warn("failed to read configuration and member list", "error", err)
			}
		})
	})
	wg.Go(func() {
		f.whenOlder(ctx, confirmAge, confirmSpread, func() {
			if !f.cfg.Confirm(ctx) && ctx.Err() == nil {
				f.cfg.Logger.Debug("state not confirmed by peers")
			}
		})
	})
}

// Done returns a channel that is closed when Run returns.
func (f *Follower) Done() <-chan struct{} { return f.done }

// whenOlder calls renew whenever the last confirmation is older than age plus a
// random part of spread. If renew brings no newer confirmation, the next call
// follows after a random time around retryInterval.
func (f *Follower) whenOlder(ctx context.Context, age, spread time.Duration, renew func()) {
	limit := age + rand.N(spread)
	for {
		wait := checkInterval
		if last, ok := f.cfg.Adoption.Age(); !ok || last >= limit {
			renew()
			limit = age + rand.N(spread)
			if last, ok := f.cfg.Adoption.Age(); !ok || last >= limit {
				wait = retryInterval/2 + rand.N(retryInterval)
			}
		}
		timer := f.cfg.Clock.NewTimer(wait)
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// read reads the head once and adopts its state. The confirmation counts from the
// time before the read.
func (f *Follower) read(ctx context.Context) error {
	readAt := f.cfg.Clock.Now()
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
	f.cfg.Adoption.MarkConfirmed(h.State(), readAt)
	return nil
}

func (f *Follower) head(ctx context.Context) (head.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.cfg.ConfigStore.Head(ctx)
}

func (f *Follower) adoptConfiguration(ctx context.Context, h head.Head) error {
	have := f.cfg.Adoption.Current().Revision()
	if h.Revision <= have {
		return nil
	}
	if have >= h.ObjectRevision {
		records, err := f.cfg.ConfigStore.Records(ctx, have, h)
		if err != nil {
			return err
		}
		if err := f.cfg.Adoption.Replay(records); err != nil {
			return err
		}
	} else {
		s, err := f.cfg.ConfigStore.Snapshot(ctx, h)
		if err != nil {
			return err
		}
		f.cfg.Adoption.Adopt(s)
	}
	f.cfg.Logger.Info("configuration adopted", "revision", f.cfg.Adoption.Current().Revision())
	return nil
}

func (f *Follower) adoptMembers(ctx context.Context, h head.Head) error {
	changes, list, err := f.cfg.Registry.Changes(ctx, f.cfg.Adoption.Members(), h)
	if err != nil {
		return err
	}
	if list != nil {
		f.cfg.Adoption.AdoptMembers(list)
	}
	f.cfg.Adoption.ChangeMembers(changes)
	return nil
}
