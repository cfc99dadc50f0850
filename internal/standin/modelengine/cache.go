package modelengine

import (
	"container/list"
	"time"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/prefix"
)

// maxEvents is the maximum number of cache events kept for reports.
const maxEvents = 4096

// cache is a prefix cache with LRU eviction; the mutex of the engine guards it.
type cache struct {
	limit    int
	order    *list.List
	blocks   map[uint64]*list.Element
	sequence int64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks of the prompt that are cached.
func (c *cache) match(hashes prefix.Hashes) int {
	for i, h := range hashes {
		if _, ok := c.blocks[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

// add inserts the blocks as the most recently used, evicts those above the limit and
// records a cache event.
func (c *cache) add(hashes prefix.Hashes, now time.Time) {
	if c.limit == 0 {
		return
	}
	var added, removed []uint64
	for _, h := range hashes {
		if e, ok := c.blocks[h]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		added = append(added, h)
	}
	for len(c.blocks) > c.limit {
		oldest := c.order.Back()
		h, ok := c.order.Remove(oldest).(uint64)
		if !ok {
			continue
		}
		delete(c.blocks, h)
		removed = append(removed, h)
	}
	if len(added)+len(removed) == 0 {
		return
	}
	c.sequence++
	event := engine.CacheEvent{Sequence: c.sequence, Added: added, Removed: removed}
	c.events = append(c.events, timedEvent{at: now, event: event})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events that follow the sequence number after and occurred
// no later than until. Events whose sequence number is a multiple of lose are
// omitted, unless lose is zero.
func (c *cache) eventsAfter(after int64, until time.Time, lose int64) []engine.CacheEvent {
	var events []engine.CacheEvent
	for _, e := range c.events {
		if e.event.Sequence <= after || e.at.After(until) {
			continue
		}
		if lose > 0 && e.event.Sequence%lose == 0 {
			continue
		}
		events = append(events, e.event)
	}
	return events
}
