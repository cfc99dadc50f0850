package modelengine

import (
	"container/list"
	"time"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/prefix"
)

// maxEvents bounds the cache events kept for reports.
const maxEvents = 4096

// cache is a prefix cache with least recently used eviction; the engine's
// mutex guards it.
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

// match returns the number of leading blocks in the cache.
func (c *cache) match(hashes prefix.Hashes) int {
	for i, h := range hashes {
		if _, ok := c.blocks[h]; !ok {
			return i
		}
	}
	return len(hashes)
}

// add makes the blocks the most recently used.
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

// eventsAfter returns the events after a sequence number that are older than
// the lag; each lose-th event is left out.
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
