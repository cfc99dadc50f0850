// Package connbudget decides which connections a process keeps when their memory or their
// number reaches its limit. It does no I/O: the caller accounts for what arrives, and closes
// what the budget gives up. The memory of a connection that was given up counts until its
// goroutine has ended; who needs it waits.
package connbudget

import (
	"container/list"
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/serving/buffermemory"
)

const (
	// connectionBytes is the memory of a connection on which nothing is in progress: its
	// goroutines and its buffers, with what the garbage collector leaves.
	connectionBytes = 16 << 10
	// requestBytes is the memory of a whole request beside its header and body.
	requestBytes = 16 << 10
	// bufferedRequestBytes is the parsed form of a request that was read together with the
	// one before: a read buffer (4 KB) of short lines.
	bufferedRequestBytes = 64 << 10
)

// state is what a connection does.
type state int

const (
	// sending: no whole request has arrived since the connection was opened, or since the
	// first byte after the last request.
	sending state = iota
	// serving: a whole request has arrived and is in progress.
	serving
	// idle: the last request has ended and nothing has arrived since.
	idle
	// ending: the connection was given up, and its goroutine has not ended yet.
	ending
	closed
)

// Budget is the memory and the number of connections that a group of listeners has. Its
// methods are safe for concurrent use.
type Budget struct {
	memory *buffermemory.Budget
	limit  int

	mu   sync.Mutex
	open int
	// waiting has the connections that are sending and those that are idle, in the order in
	// which they began to be so.
	waiting map[state]*list.List
	// ending is the memory of connections that were given up and have not been closed yet.
	// changed is closed, and replaced, when some of it is released, or more is given up.
	ending  int64
	changed chan struct{}
	evicted int64
	refused int64
}

// New returns a budget of memory in bytes for at most limit connections.
func New(memory int64, limit int) *Budget {
	return &Budget{
		memory:  buffermemory.New(memory),
		limit:   limit,
		waiting: map[state]*list.List{sending: list.New(), idle: list.New()},
		changed: make(chan struct{}),
	}
}

// Connection is an open connection. The budget calls evict at most once, without a lock, when
// it gives the connection up; the connection is to be closed then.
type Connection struct {
	budget *Budget
	evict  func(age time.Duration)

	// The budget's mutex protects the fields below.
	state state
	since time.Time
	place *list.Element
	// held is the memory that is reserved for the connection.
	held int64
}

// Open accounts for a new connection. It returns nil if there is no room and no connection can
// be given up for it, since all of them serve requests. If room is about to be made, wait is
// not nil: call Open again when it is closed.
func (b *Budget) Open(now time.Time, evict func(age time.Duration)) (c *Connection, wait <-chan struct{}) {
	c = &Connection{budget: b, evict: evict, state: closed}
	b.mu.Lock()
	var victims []*Connection
	for b.open >= b.limit {
		v := b.giveUpOne()
		if v == nil {
			break
		}
		victims = append(victims, v)
	}
	full := b.open >= b.limit
	if !full {
		var more []*Connection
		more, full, wait = b.reserve(c, connectionBytes)
		victims = append(victims, more...)
	}
	switch {
	case wait != nil:
	case full:
		b.refused++
	default:
		b.open++
		b.enter(c, sending, now)
	}
	b.mu.Unlock()
	tell(victims, now)
	if full || wait != nil {
		return nil, wait
	}
	return c, nil
}

// Refuse counts a connection that is closed since no room was made for it in time.
func (b *Budget) Refuse() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
}

// Received accounts for memory that a part of a request takes. kept is false if the
// connection has been given up. If room is about to be made, wait is not nil: call Received
// again when it is closed.
func (c *Connection) Received(cost int64, now time.Time) (kept bool, wait <-chan struct{}) {
	b := c.budget
	b.mu.Lock()
	if c.state == idle {
		b.enter(c, sending, now)
	}
	var victims []*Connection
	if c.state == sending {
		victims, _, wait = b.reserve(c, cost)
	}
	kept = c.open()
	b.mu.Unlock()
	tell(victims, now)
	return kept, wait
}

// Whole tells that a whole request has arrived. kept is false if the connection has been
// given up, also now, for want of memory: the request must not be passed on. If room is about
// to be made, wait is not nil: call Whole again when it is closed.
func (c *Connection) Whole(now time.Time) (kept bool, wait <-chan struct{}) {
	b := c.budget
	b.mu.Lock()
	var victims []*Connection
	if c.state == sending || c.state == idle {
		cost := int64(requestBytes)
		if c.state == idle {
			cost += bufferedRequestBytes
		}
		var full bool
		if victims, full, wait = b.reserve(c, cost); !full && wait == nil && c.open() {
			b.enter(c, serving, now)
		}
	}
	kept = c.open()
	b.mu.Unlock()
	tell(victims, now)
	return kept, wait
}

// GiveUp gives up the connection, for which no room was made in time, unless it serves a
// request.
func (c *Connection) GiveUp(now time.Time) {
	b := c.budget
	b.mu.Lock()
	given := c.state == sending || c.state == idle
	if given {
		b.giveUp(c)
	}
	b.mu.Unlock()
	if given {
		c.evict(now.Sub(c.since))
	}
}

// open reports whether the connection has not been given up. The caller holds the budget's
// mutex.
func (c *Connection) open() bool { return c.state != ending && c.state != closed }

// Rest tells that the request in progress has ended. Its memory is released.
func (c *Connection) Rest(now time.Time) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.open() || c.state == idle {
		return
	}
	b.release(c.held - connectionBytes)
	c.held = connectionBytes
	b.enter(c, idle, now)
}

// Answered tells that the handler of a request has returned. It returns true if the request is
// not whole: its header no longer counts, and must be released. The connection counts as sending.
func (c *Connection) Answered() bool {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.state != sending {
		return false
	}
	b.release(c.held - connectionBytes)
	c.held = connectionBytes
	return true
}

// Close tells that the connection is closed and its goroutine is about to end.
func (c *Connection) Close() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.remove(c)
}

// GiveUpIncomplete gives up the connection that has been sending longest without a whole
// request. It returns false if there is none.
func (b *Budget) GiveUpIncomplete(now time.Time) bool {
	b.mu.Lock()
	v := b.giveUpFirst(sending)
	b.mu.Unlock()
	if v == nil {
		return false
	}
	v.evict(now.Sub(v.since))
	return true
}

// reserve reserves memory for c and gives up connections for it, possibly c itself. full tells
// that it has not reserved the memory, wait that it will be there when connections that were
// given up have ended.
func (b *Budget) reserve(c *Connection, n int64) (victims []*Connection, full bool, wait <-chan struct{}) {
	for !b.memory.Reserve(n) {
		if b.memory.Used()-b.ending+n <= b.memory.Limit() {
			return victims, false, b.changed
		}
		v := b.giveUpOneFor(c)
		if v == nil {
			return victims, true, nil
		}
		victims = append(victims, v)
		if v == c {
			return victims, true, nil
		}
	}
	c.held += n
	return victims, false, nil
}

// release releases memory and tells those who wait for it.
func (b *Budget) release(n int64) {
	b.memory.Release(n)
	b.tellChanged()
}

func (b *Budget) tellChanged() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// giveUpOneFor is giveUpOne, but gives up an idle connection before c if no other one is sending.
func (b *Budget) giveUpOneFor(c *Connection) *Connection {
	if first := b.waiting[sending].Front(); first != nil && first == c.place && b.waiting[sending].Len() == 1 {
		if v := b.giveUpFirst(idle); v != nil {
			return v
		}
	}
	return b.giveUpOne()
}

// giveUpOne gives up the connection that has been sending longest without a whole request, or
// else the one that has been idle longest; nil if there is none.
func (b *Budget) giveUpOne() *Connection {
	if c := b.giveUpFirst(sending); c != nil {
		return c
	}
	return b.giveUpFirst(idle)
}

func (b *Budget) giveUpFirst(s state) *Connection {
	first := b.waiting[s].Front()
	if first == nil {
		return nil
	}
	c, _ := first.Value.(*Connection)
	b.giveUp(c)
	return c
}

// giveUp gives up a connection. Its memory counts until it is closed.
func (b *Budget) giveUp(c *Connection) {
	b.leave(c)
	c.state = ending
	b.ending += c.held
	b.open--
	b.evicted++
	b.tellChanged()
}

func (b *Budget) enter(c *Connection, s state, now time.Time) {
	b.leave(c)
	c.state, c.since = s, now
	if waiting := b.waiting[s]; waiting != nil {
		c.place = waiting.PushBack(c)
	}
}

func (b *Budget) leave(c *Connection) {
	if c.place != nil {
		b.waiting[c.state].Remove(c.place)
		c.place = nil
	}
}

func (b *Budget) remove(c *Connection) {
	switch c.state {
	case closed:
		return
	case ending:
		b.ending -= c.held
	case sending, serving, idle:
		b.leave(c)
		b.open--
	}
	c.state = closed
	b.release(c.held)
	c.held = 0
}

func tell(victims []*Connection, now time.Time) {
	for _, v := range victims {
		v.evict(now.Sub(v.since))
	}
}

// Usage is how much of a budget is used.
type Usage struct {
	// Memory and MemoryLimit are in bytes.
	Memory, MemoryLimit int64
	// Open is the number of connections, of which Sending have not sent a whole request and
	// Idle have no request in progress.
	Open, Limit, Sending, Idle int
	// Evicted and Refused count connections since the start.
	Evicted, Refused int64
}

// Usage returns how much of the budget is used.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{
		Memory: b.memory.Used(), MemoryLimit: b.memory.Limit(),
		Open: b.open, Limit: b.limit, Sending: b.waiting[sending].Len(), Idle: b.waiting[idle].Len(),
		Evicted: b.evicted, Refused: b.refused,
	}
}
