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
	prefillTokens      = 128 // in one step
	blockTokens        = prefix.BlockBytes / 4
	creditFloorTokens  = 256
	creditOvercommit   = 1.25
	engineTokens       = engineConcurrency * maxTokens
	creditGrowthFactor = 2
)

// modelled is an engine with continuous batching and a prefix cache, on the
// trial's clock.
type modelled struct {
	w        *world
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

type sequence struct {
	call    *call
	prefill int
	left    int
	started func()
	ended   func()
}

func (e *modelled) start(c *call, started, ended func()) {
	e.tokens += maxTokens
	e.waiting = append(e.waiting, &sequence{call: c, left: c.tokens, started: started, ended: ended})
	if !e.stepping {
		e.step()
	}
}

// admit moves waiting sequences into the batch.
func (e *modelled) admit() {
	for len(e.waiting) > 0 && len(e.running) < engineConcurrency {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.call.cached = e.touch(s.call.job.Request.Prefix)
		s.prefill = (prefixBlocks + ownBlocks - s.call.cached) * blockTokens
		e.running = append(e.running, s)
	}
}

// touch returns the cached blocks of a prompt and caches all of it.
func (e *modelled) touch(hashes prefix.Hashes) int {
	matched := 0
	for matched < len(hashes) && e.cache[hashes[matched]] != nil {
		matched++
	}
	added := slices.Clone(hashes[matched:])
	for i := len(hashes) - 1; i >= 0; i-- {
		if known := e.cache[hashes[i]]; known != nil {
			e.order.MoveToFront(known)
			continue
		}
		e.cache[hashes[i]] = e.order.PushFront(hashes[i])
	}
	e.sequence++
	e.events = append(e.events, engineview.CacheEvent{Sequence: e.sequence, Added: added, Removed: e.evict()})
	return matched
}

// evict removes the least recently used blocks above the limit.
func (e *modelled) evict() []uint64 {
	var removed []uint64
	for e.order.Len() > engineCacheBlocks {
		h, _ := e.order.Remove(e.order.Back()).(uint64)
		delete(e.cache, h)
		removed = append(removed, h)
	}
	return removed
}

// step runs one step of the batch.
func (e *modelled) step() {
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
	if e.w.slowEngine && e.name == 0 {
		d *= 2
	}
	e.w.after(d, e.endStep)
}

func (e *modelled) endStep() {
	var ended []*sequence
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.prefill > 0 {
			return false
		}
		if s.call.first.IsZero() {
			s.call.first = e.w.now
			s.started()
		}
		s.left--
		if s.left == 0 {
			ended = append(ended, s)
		}
		return s.left == 0
	})
	for _, s := range ended {
		s.call.end = e.w.now
		e.tokens -= maxTokens
		s.ended()
	}
	e.step()
}

// view is the report of now with the cache events since the last one, of
// which some are lost.
func (e *modelled) view() engineview.View {
	v := engineview.View{
		Target: fmt.Sprint(e.name), Concurrency: engineConcurrency, Reachable: true,
		Loaded: map[engineview.Loaded]bool{}, Adapters: map[string]bool{},
	}
	for m, replicas := range e.w.replicas {
		if slices.Contains(replicas, e.name) {
			v.Loaded[engineview.Loaded{Kind: "model", Name: fmt.Sprint("model-", m), Version: version}] = true
		}
	}
	v.Collected = e.w.now
	v.QueuedTokens = e.tokens
	for _, event := range e.events {
		if e.w.loseEvents == 0 || event.Sequence%e.w.loseEvents != 0 {
			v.Events = append(v.Events, event)
		}
	}
	e.events = nil
	return v
}

// credits divides the engine among the gateways by what they have there.
func (w *world) credits(e *modelled) []int64 {
	demands := make([]int64, len(w.gateways))
	for g, a := range w.gateways {
		demands[g] = creditGrowthFactor * a.Outstanding(fmt.Sprint(e.name))
	}
	shares := make([]int64, len(demands))
	floor := min(creditFloorTokens, int64(engineTokens/len(demands)))
	credit.Allocator{Capacity: int64(creditOvercommit * float64(engineTokens)), MinShare: floor}.Allocate(demands, shares)
	return shares
}
