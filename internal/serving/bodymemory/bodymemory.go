// Package bodymemory decides which request bodies a process goes on receiving when the memory
// for bodies is used up. It answers two loads: callers who stop before the end of their bodies, or
// go on without one, must not keep the memory from those who end theirs; and of more ordinary
// callers than there is memory for, those who have begun must be able to end. So a body is given up
// for others once it has stalled, or takes much longer than ordinary ones, and a new one is
// refused if there is none such. Bodies that have arrived stay. The package does no I/O.
package bodymemory

import (
	"container/list"
	"sync"
	"time"

	"fireflypier.example/fireflypier/internal/serving/buffermemory"
)

const (
	// stallTime is the time without a part of a body after which it may be given up.
	stallTime = 500 * time.Millisecond
	// arrivalTime is the time from its beginning after which a body may be given up that still
	// arrives. It is the time that operators give callers for a request's header.
	arrivalTime = 3 * time.Second
)

// Budget is the memory for the bodies of all requests in progress. Its methods are safe for
// concurrent use.
type Budget struct {
	memory *buffermemory.Budget

	mu sync.Mutex
	// arriving has the bodies that have not arrived, in the order in which they began.
	arriving *list.List
	// ending is the memory of bodies that were given up and not released yet. changed is closed,
	// and replaced, when memory is released or a body is given up.
	ending  int64
	changed chan struct{}
	evicted int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{memory: buffermemory.New(limit), arriving: list.New(), changed: make(chan struct{})}
}

// Body is the body of a request.
type Body struct {
	budget *Budget
	evict  func()

	// The budget's mutex protects the fields below.
	place   *list.Element
	held    int64
	evicted bool
	// began and progressed are the times at which the body began, and at which the last part
	// of it arrived.
	began, progressed time.Time
}

// Open accounts for a body that begins to arrive. The budget calls evict at most once, before the
// body is whole or released, when it gives the body up: its reader is to end and to release it.
// evict must not block nor call the budget.
func (b *Budget) Open(now time.Time, evict func()) *Body {
	b.mu.Lock()
	defer b.mu.Unlock()
	body := &Body{budget: b, evict: evict, began: now, progressed: now}
	body.place = b.arriving.PushBack(body)
	return body
}

// Received tells that a part of a body has arrived.
func (body *Body) Received(now time.Time) {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	body.progressed = now
}

// Reserve reserves n bytes for a body. It returns false if the body has been given up, or if there
// is no room. If room is about to be made, wait is not nil: call Reserve again when it is closed.
func (body *Body) Reserve(n int64, now time.Time) (ok bool, wait <-chan struct{}) {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case body.evicted:
		return false, nil
	case b.memory.Reserve(n):
		body.held += n
		return true, nil
	}
	missing := b.memory.Used() - b.ending + n - b.memory.Limit()
	victims, found := b.overdue(body, missing, now)
	if !found {
		return false, nil
	}
	for _, v := range victims {
		b.giveUp(v)
	}
	return false, b.changed
}

// overdue returns bodies other than except that may be given up and hold as much as is missing,
// those first that began first.
func (b *Budget) overdue(except *Body, missing int64, now time.Time) (victims []*Body, found bool) {
	for e := b.arriving.Front(); e != nil && missing > 0; e = e.Next() {
		body, _ := e.Value.(*Body)
		if body == except || now.Sub(body.progressed) < stallTime && now.Sub(body.began) < arrivalTime {
			continue
		}
		victims = append(victims, body)
		missing -= body.held
	}
	return victims, missing <= 0
}

// ShrinkTo releases what a body holds above n bytes.
func (body *Body) ShrinkTo(n int64) {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	extra := body.held - n
	if body.evicted {
		b.ending -= extra
	}
	body.held = n
	b.release(extra)
}

// Whole tells that a body has arrived. It returns false if it has been given up: its request must
// not be passed on.
func (body *Body) Whole() bool {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	body.leave()
	return !body.evicted
}

// Release releases the memory of a body. The body must not be used afterwards.
func (body *Body) Release() {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	body.leave()
	if body.evicted {
		b.ending -= body.held
	}
	b.release(body.held)
	body.held = 0
}

func (body *Body) leave() {
	if body.place != nil {
		body.budget.arriving.Remove(body.place)
		body.place = nil
	}
}

func (b *Budget) giveUp(body *Body) {
	body.leave()
	body.evicted = true
	b.ending += body.held
	b.evicted++
	body.evict()
	b.tellChanged()
}

func (b *Budget) release(n int64) {
	b.memory.Release(n)
	b.tellChanged()
}

func (b *Budget) tellChanged() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Usage is how much of a budget is used.
type Usage struct {
	// Memory and Limit are in bytes.
	Memory, Limit int64
	// Arriving is the number of bodies that have not arrived, Evicted that of those given up
	// since the start.
	Arriving, Evicted int64
}

// Usage returns how much of the budget is used.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{b.memory.Used(), b.memory.Limit(), int64(b.arriving.Len()), b.evicted}
}
