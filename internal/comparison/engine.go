package comparison

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"fireflypier.example/fireflypier/internal/credit"
	"fireflypier.example/fireflypier/internal/engineview"
	"fireflypier.example/fireflypier/internal/prefix"
)

const (
	version            = "2"
	engineConcurrency  = 32
	engineCacheBlocks  = 600
	stepBase           = 10 * time.Millisecond
	stepPerSequence    = 300 * time.Microsecond
	prefillPerToken    = 80 * time.Microsecond
	prefillTokens      = 128 // per step
	blockTokens        = prefix.BlockBytes / 4
	creditFloorTokens  = 256
	creditOvercommit   = 1.25
	engineTokens       = engineConcurrency * maxTokens
	creditGrowthFactor = 2
)

// modelEngine models an engine with continuous batching and a prefix cache, on
// the simulated clock.
type modelEngine struct {
	sim      *simulation
	name     int
	waiting  []*sequence
	running  []*sequence
	stepping bool
	tokens   int64
	cache    map[uint64]*list.Element
	order    *list.List
	sequence int64
	events   []engineview.CacheEvent
}

// sequence is a call that waits or runs at an engine. prefill counts the prompt
// tokens, and remaining the answer tokens, that are still to be processed.
type sequence struct {
	call      *call
	prefill   int
	remaining int
	started   func()
	ended     func()
}

func (e *modelEngine) start(c *call, started, ended func()) {
	e.tokens += maxTokens
	e.waiting = append(e.waiting, &sequence{call: c, remaining: c.tokens, started: started, ended: ended})
	if !e.stepping {
		e.step()
	}
}

// admit moves waiting sequences into the batch while it has room.
func (e *modelEngine) admit() {
	for len(e.waiting) > 0 && len(e.running) < engineConcurrency {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.call.cached = e.touch(s.call.job.Request.Prefix)
		s.prefill = (prefixBlocks + uniqueBlocks - s.call.cached) * blockTokens
		e.running = append(e.running, s)
	}
}

// touch returns the number of leading blocks of a prompt that are cached, and
// caches all its blocks.
func (e *modelEngine) touch(hashes prefix.Hashes) int {
	matched := 0
	for matched < len(hashes) && e.cache[hashes[matched]] != nil {
		matched++
	}
	added := slices.Clone(hashes[matched:])
	for i := len(hashes) - 1; i >= 0; i-- {
		if block := e.cache[hashes[i]]; block != nil {
			e.order.MoveToFront(block)
			continue
		}
		e.cache[hashes[i]] = e.order.PushFront(hashes[i])
	}
	e.sequence++
	e.events = append(e.events, engineview.CacheEvent{Sequence: e.sequence, Added: added, Removed: e.evict()})
	return matched
}

// evict removes the least recently used blocks above engineCacheBlocks and
// returns them.
func (e *modelEngine) evict() []uint64 {
	var removed []uint64
	for e.order.Len() > engineCacheBlocks {
		h, _ := e.order.Remove(e.order.Back()).(uint64)
		delete(e.cache, h)
		removed = append(removed, h)
	}
	return removed
}

// step starts one step of the batch, or stops if the batch is empty.
func (e *modelEngine) step() {
	e.admit()
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	budget := prefillTokens
	for _, s := range e.running {
		n := min(budget, s.prefill)
		s.prefill -= n
		budget -= n
	}
	d := stepBase + time.Duration(len(e.running))*stepPerSequence + time.Duration(prefillTokens-budget)*prefillPerToken
	if e.sim.slowEngine && e.name == 0 {
		d *= 2
	}
	e.sim.schedule(d, e.endStep)
}

// endStep adds a token to each sequence whose prefill is done, ends the finished
// sequences and starts the next step.
func (e *modelEngine) endStep() {
	var ended []*sequence
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.prefill > 0 {
			return false
		}
		if s.call.first.IsZero() {
			s.call.first = e.sim.now
			s.started()
		}
		s.remaining--
		if s.remaining == 0 {
			ended = append(ended, s)
		}
		return s.remaining == 0
	})
	for _, s := range ended {
		s.call.end = e.sim.now
		e.tokens -= maxTokens
		s.ended()
	}
	e.step()
}

// view returns the present state of the engine with the cache events since the
// last view, without every loseEvents-th event.
func (e *modelEngine) view() engineview.View {
	v := engineview.View{
		Target: fmt.Sprint(e.name), Concurrency: engineConcurrency, Reachable: true,
		Loaded: map[engineview.Loaded]bool{}, Adapters: map[string]bool{},
	}
	for m, replicas := range e.sim.replicas {
		if slices.Contains(replicas, e.name) {
			v.Loaded[engineview.Loaded{Kind: "model", Name: fmt.Sprint("model-", m), Version: version}] = true
		}
	}
	v.Collected = e.sim.now
	v.QueuedTokens = e.tokens
	for _, event := range e.events {
		if e.sim.loseEvents == 0 || event.Sequence%e.sim.loseEvents != 0 {
			v.Events = append(v.Events, event)
		}
	}
	e.events = nil
	return v
}

// credits divides the engine's credit among the gateways by their outstanding
// tokens.
func (sim *simulation) credits(e *modelEngine) []int64 {
	demands := make([]int64, len(sim.gateways))
	for g, a := range sim.gateways {
		demands[g] = creditGrowthFactor * a.Outstanding(fmt.Sprint(e.name))
	}
	shares := make([]int64, len(demands))
	floor := min(creditFloorTokens, int64(engineTokens/len(demands)))
	credit.Allocator{Capacity: int64(creditOvercommit * float64(engineTokens)), MinShare: floor}.Allocate(demands, shares)
	return shares
}
