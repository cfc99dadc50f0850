// Package acceptance offers committed revisions to the gateways and tells
// when a revision is accepted: from then on no gateway admits anything under
// an older one for longer than the freshness bound.
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
	firstPause = 100 * time.Millisecond
	lastPause  = 2 * time.Second
	// persistence is how long a revision is offered to gateways that do not
	// take it; afterwards only the digests carry it on.
	persistence = time.Minute
	// silentRounds is the number of rounds from one offer to silent gateways
	// to the next.
	silentRounds = 4
	pollInterval = 20 * time.Millisecond
)

// Status tells how far a revision has come.
type Status struct {
	// Revision is the revision that was asked for.
	Revision int64 `json:"revision"`
	// Accepted is true once a majority of the gateways of each region has
	// adopted the revision.
	Accepted bool `json:"accepted"`
	// Missing lists, by region, the gateways that have not acknowledged it.
	Missing []freshness.Missing `json:"missing"`
}

// Parts are what acceptance stands on.
type Parts struct {
	Adoption *adoption.Adoption
	Gossip   *gossip.Gossip
	// Unreachable reports whether a member is unreachable.
	Unreachable func(incarnation string) bool
	Clock       clockwork.Clock
	Logger      hclog.Logger
}

// Acceptance offers revisions and gathers acknowledgements. Its methods may
// be called at the same time.
type Acceptance struct {
	parts Parts
	wake  chan struct{}
	done  chan struct{}

	mu           sync.Mutex
	acknowledged map[string]freshness.State
}

// New returns an acceptance that offers nothing yet.
func New(p Parts) *Acceptance {
	return &Acceptance{
		parts: p, wake: make(chan struct{}, 1), done: make(chan struct{}),
		acknowledged: map[string]freshness.State{},
	}
}

// Committed tells that an edit was committed, and begins to offer it.
func (a *Acceptance) Committed(r *revision.Record) {
	if err := a.parts.Adoption.Replay([]revision.Record{*r}); err != nil {
		a.parts.Logger.Error("committed edit not adopted", "revision", r.Revision, "error", err)
	}
	a.begin()
}

func (a *Acceptance) begin() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run offers until ctx ends. It may be called once.
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

// offer offers the revision in force until every gateway has it, or for the
// time of persistence. A newer edit begins again.
func (a *Acceptance) offer(ctx context.Context) {
	began := a.parts.Clock.Now()
	pause := firstPause
	for round := 0; ctx.Err() == nil && a.parts.Clock.Since(began) < persistence; round++ {
		lacking := a.lacking(round%silentRounds == silentRounds-1)
		if len(lacking) == 0 && a.complete() {
			return
		}
		a.parts.Gossip.OfferTo(ctx, lacking, a.take)
		timer := a.parts.Clock.NewTimer(pause)
		select {
		case <-timer.Chan():
			pause = min(2*pause, lastPause)
		case <-a.wake:
			timer.Stop()
			began, pause, round = a.parts.Clock.Now(), firstPause, 0
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

func (a *Acceptance) complete() bool { return len(a.lacking(true)) == 0 }

// lacking returns the gateways that have not acknowledged the revision in
// force; silent ones only on request.
func (a *Acceptance) lacking(withSilent bool) []member.Member {
	rev := a.parts.Adoption.Current().Revision()
	a.mu.Lock()
	defer a.mu.Unlock()
	var lacking []member.Member
	for _, m := range a.parts.Adoption.Members().Members {
		if m.Role != member.Gateway || a.acknowledged[m.Incarnation].Revision >= rev {
			continue
		}
		if withSilent || !a.parts.Unreachable(m.Incarnation) {
			lacking = append(lacking, m)
		}
	}
	return lacking
}

func (a *Acceptance) take(states map[string]freshness.State) {
	list := a.parts.Adoption.Members()
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

// Status tells how far a revision has come.
func (a *Acceptance) Status(rev int64) Status {
	s := a.parts.Adoption.Current().Snapshot()
	status := Status{Revision: rev}
	a.mu.Lock()
	defer a.mu.Unlock()
	// A later revision was committed with a later member list, so its need
	// holds for this one too.
	need := freshness.State{Revision: rev, Members: s.MemberVersion}
	status.Accepted, status.Missing = freshness.New(a.parts.Adoption.Members()).Accepted(need, a.acknowledged)
	status.Accepted = status.Accepted && s.Revision >= rev
	return status
}

// Wait offers a revision and returns its status once it is accepted, or when
// ctx ends.
func (a *Acceptance) Wait(ctx context.Context, rev int64) Status {
	ticker := a.parts.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	status := a.Status(rev)
	if !status.Accepted {
		a.begin()
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
