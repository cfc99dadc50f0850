// Package cacheview follows the prefix cache of an engine through late events
// with gaps.
package cacheview

import (
	"math/bits"
	"sort"

	"fireflypier.example/fireflypier/internal/prefix"
)

const (
	// guess is the sequence of a block that no event has named.
	guess = 0
	// ways is the number of blocks that share a place in the table.
	ways = 2
)

// Cache is what is believed to be in one engine's prefix cache: a table of
// fixed size, in which newer blocks take the places of older ones. It is not
// safe for concurrent use.
type Cache struct {
	limit    int
	bootID   string
	sequence int64
	gap      int64
	table    []entry
}

// entry is a block with the sequence of the event that added it.
type entry struct {
	hash     uint64
	sequence int64
}

// New returns an empty view that holds at most limit blocks, rounded down to
// a power of two; limit is at least two.
func New(limit int) *Cache {
	return &Cache{limit: 1 << (bits.Len(uint(max(ways, limit))) - 1)}
}

// SetBoot empties the view when the engine has restarted.
func (c *Cache) SetBoot(id string) {
	if id == c.bootID {
		return
	}
	*c = Cache{limit: c.limit, bootID: id}
}

// Apply applies one event; one that was applied before is ignored. When the
// sequence has a gap, removals may have been lost, so everything that is
// older becomes a guess.
func (c *Cache) Apply(sequence int64, added, removed []uint64) {
	if sequence <= c.sequence {
		return
	}
	if sequence != c.sequence+1 {
		c.gap = sequence - 1
	}
	c.sequence = sequence
	for _, h := range removed {
		if e := c.find(h); e != nil {
			*e = entry{}
		}
	}
	for _, h := range added {
		c.put(h, sequence)
	}
}

// AddExpected adds the blocks of a prompt that was sent to the engine as guesses,
// until its events tell. The first known blocks are there already.
func (c *Cache) AddExpected(hashes prefix.Hashes, known int) {
	for _, h := range hashes[known:] {
		if c.find(h) == nil {
			c.put(h, guess)
		}
	}
}

// Match returns the number of leading blocks that are believed to be in the
// cache, and how many of those are certain. Since hashes are chained, it
// looks at the first block and then searches for the last.
func (c *Cache) Match(hashes prefix.Hashes) (blocks, certain int) {
	if len(hashes) == 0 {
		return 0, 0
	}
	first := c.find(hashes[0])
	if first == nil {
		return 0, 0
	}
	last := c.find(hashes[len(hashes)-1])
	blocks = len(hashes)
	if last == nil {
		blocks = 1 + sort.Search(len(hashes)-2, func(i int) bool { return c.find(hashes[i+1]) == nil })
		last = c.find(hashes[blocks-1])
	}
	if c.isCertain(first) && c.isCertain(last) {
		certain = blocks
	}
	return blocks, certain
}

// Len returns the number of blocks held.
func (c *Cache) Len() int {
	n := 0
	for i := range c.table {
		if c.table[i] != (entry{}) {
			n++
		}
	}
	return n
}

func (c *Cache) isCertain(e *entry) bool { return e != nil && e.sequence > c.gap }

// set returns the entries that may hold a block.
func (c *Cache) set(h uint64) []entry {
	if c.table == nil {
		return nil
	}
	at := h & uint64(c.limit/ways-1) * ways
	return c.table[at : at+ways]
}

func (c *Cache) find(h uint64) *entry {
	set := c.set(h)
	for i := range set {
		if set[i].hash == h {
			return &set[i]
		}
	}
	return nil
}

// put adds a block in the place of itself or of the oldest of its set.
func (c *Cache) put(h uint64, sequence int64) {
	if c.table == nil {
		c.table = make([]entry, c.limit)
	}
	place := c.find(h)
	if place == nil {
		set := c.set(h)
		place = &set[0]
		for i := range set {
			if set[i].sequence < place.sequence {
				place = &set[i]
			}
		}
	}
	*place = entry{hash: h, sequence: sequence}
}
