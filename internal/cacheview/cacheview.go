// Package cacheview maintains an estimate of the contents of an engine's prefix
// cache from events that may arrive late or be lost.
package cacheview

import (
	"math/bits"
	"sort"

	"fireflypier.example/fireflypier/internal/prefix"
)

const (
	// unconfirmed is the sequence of a block that no event has confirmed.
	unconfirmed = 0
	// ways is the associativity of the table: the number of entries per set.
	ways = 2
)

// Cache is the estimated content of one engine's prefix cache: a set-associative
// table of fixed size, in which newer blocks replace older ones. It is not safe
// for concurrent use.
type Cache struct {
	limit    int
	bootID   string
	sequence int64
	// gap is the sequence up to which entries are unconfirmed.
	gap   int64
	table []entry
}

// entry is a block with the sequence of the event that added it; the zero entry
// is free.
type entry struct {
	hash     uint64
	sequence int64
}

// New returns an empty view that holds at most limit blocks, rounded down to a
// power of two. A limit below two counts as two.
func New(limit int) *Cache {
	return &Cache{limit: 1 << (bits.Len(uint(max(ways, limit))) - 1)}
}

// SetBoot clears the view if id differs from the boot id of the previous call,
// that is, after a restart of the engine.
func (c *Cache) SetBoot(id string) {
	if id == c.bootID {
		return
	}
	*c = Cache{limit: c.limit, bootID: id}
}

// Apply applies one event, unless its sequence is not above that of the last
// applied event. After a gap in the sequence, removals may have been lost, so all
// existing entries become unconfirmed.
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

// AddExpected adds the blocks of a prompt that was sent to the engine as
// unconfirmed entries, until events confirm them. It skips the first matched
// blocks, which the view already contains.
func (c *Cache) AddExpected(hashes prefix.Hashes, matched int) {
	for _, h := range hashes[matched:] {
		if c.find(h) == nil {
			c.put(h, unconfirmed)
		}
	}
}

// Match returns the number of leading blocks that are estimated to be in the
// cache, and how many of these are confirmed by events: all or none. Since the
// hashes are chained, it looks up the first block and then runs a binary search
// for the last one.
func (c *Cache) Match(hashes prefix.Hashes) (blocks, confirmed int) {
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
	if c.isConfirmed(first) && c.isConfirmed(last) {
		confirmed = blocks
	}
	return blocks, confirmed
}

// Len returns the number of blocks in the view.
func (c *Cache) Len() int {
	n := 0
	for i := range c.table {
		if c.table[i] != (entry{}) {
			n++
		}
	}
	return n
}

func (c *Cache) isConfirmed(e *entry) bool { return e != nil && e.sequence > c.gap }

// set returns the entries that may hold block h; nil while the table is empty.
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

// put adds a block. It replaces the entry of the same block, or else the oldest
// entry of its set.
func (c *Cache) put(h uint64, sequence int64) {
	if c.table == nil {
		c.table = make([]entry, c.limit)
	}
	slot := c.find(h)
	if slot == nil {
		set := c.set(h)
		slot = &set[0]
		for i := range set {
			if set[i].sequence < slot.sequence {
				slot = &set[i]
			}
		}
	}
	*slot = entry{hash: h, sequence: sequence}
}
