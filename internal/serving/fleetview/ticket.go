package fleetview

import (
	"time"

	"fireflypier.example/fireflypier/internal/serving/mesh/meshpb"
)

// Ticket accounts for the load of one request at a target, from Begin to End.
// It is used by one goroutine.
type Ticket struct {
	v       *View
	state   *state
	model   string
	adapter string

	load load
	rank int
	// expected is zero if the time of the request is not observed.
	expected time.Duration
	// pace is the pace in expected, nil for plain services; ownShare is that of Choice.
	pace      *modelPace
	ownShare  float64
	began     time.Time
	prefilled bool
	ended     bool
}

// Begin adds the load of a request that is about to be sent to the chosen
// target, and records its prompt as cached there. Call End on the ticket.
func (v *View) Begin(c *Choice, r *Requirements, now time.Time) *Ticket {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := &Ticket{v: v, model: r.Model, adapter: r.Adapter, expected: c.Expected, began: now, rank: r.Rank}
	if r.Late {
		t.expected = 0
	}
	t.load.requests[r.Rank] = 1
	t.load.prompt[r.Rank] = max(0, r.PromptTokens-c.Cached)
	if r.Pool.Engine != nil {
		pace := v.modelPace(r.Pool, r.Model)
		t.pace, t.ownShare = &pace, c.ownShare
		t.load.prompt[r.Rank] = pace.scale(t.load.prompt[r.Rank])
	}
	t.load.kv[r.Rank] = r.PromptTokens + r.AnswerTokens
	t.state = v.targets[c.Target.ID]
	if t.state == nil {
		t.state = newState(c.Target) // the target was removed since Choose; sending will fail
	}
	t.state.own.add(&t.load)
	t.state.outstanding[t] = struct{}{}
	v.herding.record(t.load.prompt[r.Rank], now)
	if len(r.Chain) > 0 {
		t.state.prefixes.add(r.Chain, r.ChainTokens, int(cacheShare*float64(r.Pool.Engine.KVTokens)))
		send := &meshpb.Send{Target: c.Target.ID, Parts: r.Chain, Tokens: make([]uint32, len(r.ChainTokens))}
		for i, n := range r.ChainTokens {
			send.Tokens[i] = uint32(max(0, n))
		}
		v.recordSend(send, true)
	}
	return t
}

// observe corrects the paces of the pool and of the size, and the slowdown of the target by the time to
// the first event.
func (t *Ticket) observe(actual time.Duration, now time.Time) {
	if t.expected <= 0 {
		return
	}
	ratio := t.state.currentSlowdown(t.began) * float64(actual) / float64(t.expected)
	t.state.observeSlowdown(ratio, now)
	if t.pace != nil {
		own := t.ownShare * float64(t.expected)
		t.pace.observe(ratio, own/float64(max(t.expected, actual)))
	}
}

// Started records that the first event or the whole answer has arrived: the
// prompt is prefilled. Calls after the first are ignored.
func (t *Ticket) Started(now time.Time) {
	t.v.mu.Lock()
	defer t.v.mu.Unlock()
	if t.prefilled {
		return
	}
	t.prefilled = true
	delete(t.state.outstanding, t)
	t.state.lastStarted = now
	t.state.own.prompt.add(&t.load.prompt, -1)
	t.state.backoff = 0
	t.observe(now.Sub(t.began), now)
}

// End removes the load of the request from the target, and updates the target's
// failure rate; failed is set if the target failed the request. Calls after the
// first are ignored.
func (t *Ticket) End(failed bool, now time.Time) {
	t.v.mu.Lock()
	defer t.v.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	delete(t.state.outstanding, t)
	if !t.prefilled {
		t.state.own.prompt.add(&t.load.prompt, -1)
		if waited := now.Sub(t.began); !failed && t.expected > 0 && waited > t.expected {
			// The caller has left before the first event: it would have taken longer.
			t.observe(waited, now)
		}
	}
	t.state.own.requests.add(&t.load.requests, -1)
	t.state.own.kv.add(&t.load.kv, -1)
	t.state.observeOutcome(failed, now)
}

// Unreachable records that the target could not be reached. It gets no requests
// until its backoff ends.
func (t *Ticket) Unreachable(now time.Time) {
	t.v.mu.Lock()
	defer t.v.mu.Unlock()
	t.state.unreachable(now)
}

// Absent records that the engine answered that it does not hold the weights of
// the request. They count as absent for absentTTL.
func (t *Ticket) Absent(now time.Time) {
	t.v.mu.Lock()
	defer t.v.mu.Unlock()
	key := t.model
	if t.adapter != "" {
		key += "/" + t.adapter
	}
	t.state.absent[key] = now.Add(absentTTL)
}
