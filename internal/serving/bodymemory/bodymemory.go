// Package bodymemory decides which request bodies a process goes on receiving when the memory
// for bodies is used up. It answers two loads: callers who stop before the end of their bodies, or
// go on without one, must not keep the memory from those who end theirs; and of more ordinary
// callers than there is memory for, those who have begun must be able to end. So a body is given up
// for others once it has stalled, or takes much longer than ordinary ones, and a new one is
// refused if there is none such. Bodies that have arrived stay. Memory that bodies have released
// counts until the garbage collector has freed it: bodies that end at once would otherwise fill
// the process while the budget is never used up. The package does no I/O.
package bodymemory

import (
	"container/list"
	"runtime"
	"sync"
	"time"
)

const (
	// stallTime is the time without a part of a body after which it may be given up.
	stallTime = 500 * time.Millisecond
	// arrivalTime is the time from its beginning after which a body may be given up that still
	// arrives. It is the time that operators give callers for a request's header.
	arrivalTime = 3 * time.Second
	// garbageShare is the fraction of the limit that released memory may take before a
	// collection of garbage is started.
	garbageShare = 0.5
	// minBuffer is the size of the smallest buffers. The runtime allocates smaller objects
	// together, and does not free each by itself.
	minBuffer = 16
)

// Budget is the memory for the bodies of all requests in progress. Its methods are safe for
// concurrent use.
type Budget struct {
	limit   int64
	collect func()
	track   func(buffer []byte, freed func())

	mu sync.Mutex
	// arriving has the bodies that have not arrived, in the order in which they began.
	arriving *list.List
	// used is the memory of all buffers that the collector has not freed, held that of bodies that
	// have not released it, and ending the part of held whose bodies were given up.
	used, held, ending int64
	// changed is closed, and replaced, when memory is freed, or a body is given up or releases
	// its memory.
	changed    chan struct{}
	collecting bool
	evicted    int64
}

// Option configures a Budget.
type Option func(*Budget)

// WithCollector sets how garbage is collected. collect returns after a collection that began after
// its call. track has freed called once a buffer is no longer in use; freed may be called from any
// goroutine, and not by track itself. The default is the collector of the runtime.
func WithCollector(collect func(), track func(buffer []byte, freed func())) Option {
	return func(b *Budget) { b.collect, b.track = collect, track }
}

// New returns a budget of limit bytes.
func New(limit int64, opts ...Option) *Budget {
	b := &Budget{limit: limit, collect: runtime.GC, track: trackGarbage, arriving: list.New(), changed: make(chan struct{})}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

func trackGarbage(buffer []byte, freed func()) {
	runtime.AddCleanup(&buffer[:1][0], func(freed func()) { freed() }, freed)
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

// Allocate returns an empty buffer for n bytes of a body. It returns nil if the body
// has been given up, or if there is no room. If room is about to be made, wait is not nil: call
// Allocate again when it is closed.
func (body *Body) Allocate(n int64, now time.Time) (buffer []byte, wait <-chan struct{}) {
	n = max(n, minBuffer)
	b := body.budget
	ok, wait := b.reserve(body, n, now)
	if !ok {
		return nil, wait
	}
	buffer = make([]byte, 0, n)
	b.track(buffer, func() { b.free(n) })
	return buffer, nil
}

// reserve accounts for a buffer of n bytes.
func (b *Budget) reserve(body *Body, n int64, now time.Time) (ok bool, wait <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.evicted {
		return false, nil
	}
	if b.used+n <= b.limit {
		b.used += n
		b.held += n
		body.held += n
		return true, nil
	}
	victims, found := b.overdue(body, b.held-b.ending+n-b.limit, now)
	if !found {
		return false, nil
	}
	for _, v := range victims {
		b.giveUp(v)
	}
	if b.used > b.held {
		b.startCollection()
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

// ShrinkTo releases what a body holds above n bytes: the buffers must no longer be in use.
func (body *Body) ShrinkTo(n int64) {
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(body, body.held-n)
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
	b.release(body, body.held)
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

// release takes n bytes from what a body holds. They are garbage.
func (b *Budget) release(body *Body, n int64) {
	body.held -= n
	b.held -= n
	if body.evicted {
		b.ending -= n
	}
	if float64(b.used-b.held) > garbageShare*float64(b.limit) {
		b.startCollection()
	}
	b.tellChanged()
}

// free accounts for garbage of n bytes that has been collected.
func (b *Budget) free(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.tellChanged()
}

// startCollection starts a collection of garbage unless one is in progress.
func (b *Budget) startCollection() {
	if b.collecting {
		return
	}
	b.collecting = true
	go func() {
		b.collect()
		b.mu.Lock()
		defer b.mu.Unlock()
		b.collecting = false
		b.tellChanged() // memory released meanwhile takes another collection
	}()
}

func (b *Budget) tellChanged() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Usage is how much of a budget is used.
type Usage struct {
	// Memory and Limit are in bytes. Memory is what bodies hold, Garbage what they have released
	// and the collector has not freed.
	Memory, Garbage, Limit int64
	// Arriving is the number of bodies that have not arrived, Evicted that of those given up
	// since the start.
	Arriving, Evicted int64
}

// Usage returns how much of the budget is used.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{b.held, max(0, b.used-b.held), b.limit, int64(b.arriving.Len()), b.evicted}
}
