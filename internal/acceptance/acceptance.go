// Package acceptance offers committed revisions to the gateways and reports when
// a revision is accepted: from then on, no gateway admits requests under an older
// revision for longer than the freshness bound.
package acceptance

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/adoption"
	"fireflypier.example/fireflypier/internal/freshness"
	"fireflypier.example/fireflypier/internal/gossip"
	"fireflypier.example/fireflypier/internal/member"
	"fireflypier.example/fireflypier/internal/revision"
)

const (
	firstOfferInterval = 100 * time.Millisecond
	maxOfferInterval   = 2 * time.Second
	// offerDuration is the time for which a revision is offered to gateways that do
	// not acknowledge it; afterwards it spreads through gossip digests only.
	offerDuration = time.Minute
	// silentOfferRounds is the number of rounds between offers to silent gateways.
	silentOfferRounds = 4
	pollInterval      = 20 * time.Millisecond
)

// Status is the progress of the acceptance of a revision.
type Status struct {
	// Revision is the requested revision.
	Revision int64 `json:"revision"`
	// Accepted is true once a majority of the gateways in each region has adopted
	// the revision.
	Accepted bool `json:"accepted"`
	// Missing lists, by region, the gateways that have not acknowledged it.
	Missing []freshness.Missing `json:"missing"`
}

// Config contains the dependencies of an Acceptance.
type Config struct {
	Adoption *adoption.Adoption
	Gossip   *gossip.Gossip
	// Unreachable reports whether a member is unreachable.
	Unreachable func(incarnation string) bool
	Clock       clockwork.Clock
	Logger      hclog.Logger
}

// Acceptance offers revisions and collects acknowledgements. It is safe for
// concurrent use.
type Acceptance struct {
	config Config
	wake   chan struct{}
	done   chan struct{}

	mu           sync.Mutex
	acknowledged map[string]freshness.State
}

// New returns an acceptance that offers nothing until Run is called.
func New(c Config) *Acceptance {
	return &Acceptance{
		config: c, wake: make(chan struct{}, 1), done: make(chan struct{}),
		acknowledged: map[string]freshness.State{},
	}
}

// Committed adopts a committed edit and starts to offer it.
func (a *Acceptance) Committed(r *revision.Record) {
	if err := a.config.Adoption.Replay([]revision.Record{*r}); err != nil {
		a.config.Logger.Error("could not adopt a committed edit", "revision", r.Revision, "error", err)
	}
	a.startOffer()
}

func (a *Acceptance) startOffer() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run offers revisions until ctx is done. It must be called only once.
func (a *Acceptance) Run(ctx context.Context) {
	defer close(a.done)
	for {
		select {
		case <-a.wake:
			a.offer(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed when Run has returned.
func (a *Acceptance) Done() <-chan struct{} { return a.done }

// offer offers the revision in force until every gateway has acknowledged it, or
// until offerDuration has passed. A newer edit restarts it.
func (a *Acceptance) offer(ctx context.Context) {
	startedAt := a.config.Clock.Now()
	interval := firstOfferInterval
	for round := 0; ctx.Err() == nil && a.config.Clock.Since(startedAt) < offerDuration; round++ {
		unacknowledged := a.unacknowledged(round%silentOfferRounds == silentOfferRounds-1)
		if len(unacknowledged) == 0 && a.allAcknowledged() {
			return
		}
		a.config.Gossip.OfferTo(ctx, unacknowledged, a.recordStates)
		timer := a.config.Clock.NewTimer(interval)
		select {
		case <-timer.Chan():
			interval = min(2*interval, maxOfferInterval)
		case <-a.wake:
			timer.Stop()
			startedAt, interval, round = a.config.Clock.Now(), firstOfferInterval, 0
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (a *Acceptance) allAcknowledged() bool { return len(a.unacknowledged(true)) == 0 }

// unacknowledged returns the gateways that have not acknowledged the revision in
// force, including silent ones if includeSilent is true.
func (a *Acceptance) unacknowledged(includeSilent bool) []member.Member {
	rev := a.config.Adoption.Current().Revision()
	a.mu.Lock()
	defer a.mu.Unlock()
	var unacknowledged []member.Member
	for _, m := range a.config.Adoption.Members().Members {
		if m.Role != member.Gateway || a.acknowledged[m.Incarnation].Revision >= rev {
			continue
		}
		if includeSilent || !a.config.Unreachable(m.Incarnation) {
			unacknowledged = append(unacknowledged, m)
		}
	}
	return unacknowledged
}

func (a *Acceptance) recordStates(states map[string]freshness.State) {
	list := a.config.Adoption.Members()
	a.mu.Lock()
	defer a.mu.Unlock()
	for incarnation := range a.acknowledged {
		if _, ok := list.Find(incarnation); !ok {
			delete(a.acknowledged, incarnation)
		}
	}
	for incarnation, s := range states {
		last := a.acknowledged[incarnation]
		a.acknowledged[incarnation] = freshness.State{
			Revision: max(s.Revision, last.Revision),
			Members:  max(s.Members, last.Members),
		}
	}
}

// Status returns the progress of the acceptance of revision rev.
func (a *Acceptance) Status(rev int64) Status {
	s := a.config.Adoption.Current().Snapshot()
	status := Status{Revision: rev}
	a.mu.Lock()
	defer a.mu.Unlock()
	// The revision in force was committed with the same or a later member list
	// than rev, so its member version is sufficient for rev too.
	required := freshness.State{Revision: rev, Members: s.MemberVersion}
	status.Accepted, status.Missing = freshness.New(a.config.Adoption.Members()).Accepted(required, a.acknowledged)
	status.Accepted = status.Accepted && s.Revision >= rev
	return status
}

// Wait offers the revision in force and returns the status of rev once rev is
// accepted or ctx is done.
func (a *Acceptance) Wait(ctx context.Context, rev int64) Status {
	ticker := a.config.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	status := a.Status(rev)
	if !status.Accepted {
		a.startOffer()
	}
	for !status.Accepted {
		select {
		case <-ticker.Chan():
			status = a.Status(rev)
		case <-ctx.Done():
			return a.Status(rev)
		}
	}
	return status
}
