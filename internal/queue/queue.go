// Package queue orders waiting requests: by class, then by the tokens that
// each customer was served, weighted by its rate.
package queue

import (
	"container/heap"
	"time"

	"fireflypier.example/fireflypier/internal/object"
)

const (
	classCount = 3
	// maxDebt bounds, in seconds of a customer's rate, how far it starts
	// behind the least served customer when its requests begin to wait.
	maxDebt = 10
	// maxIdleCustomers bounds the customers that are remembered.
	maxIdleCustomers = 4096
)

// Limits limit a Queue.
type Limits struct {
	// MaxWaiting bounds the waiting items. A customer may hold at most as many
	// as are free, so that nobody takes the last place.
	MaxWaiting int
	// AgingInterval is how long a class with waiting items goes unserved in a lane
	// before one of its items goes first.
	AgingInterval time.Duration
}

// Selector names items that the same targets can serve.
type Selector struct {
	// Model and Adapter name the weights.
	Model, Adapter string
	// Exclude lists targets that must not serve, joined by commas.
	Exclude string
}

// Item is one waiting request. The fields below must not change while it
// waits.
type Item struct {
	// Customer is charged Cost tokens; Weight is its rate in tokens a second.
	Customer string
	Cost     float64
	Weight   float64
	// Class and Lane place the item.
	Class    object.Class
	Selector Selector
	// Deadline is when the item stops waiting.
	Deadline time.Time
	// Owner is for the user of the queue.
	Owner any

	flow           *flow
	previous, next *Item
	sequence       int64
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue struct {
	limits    Limits
	customers map[string]*customer
	active    customerHeap
	lanes     map[Selector]*lane
	byModel   map[string][]*lane
	late      []*Item
	waiting   int
	sequence  int64
	last      float64
}

// New returns an empty queue.
func New(b Limits) *Queue {
	return &Queue{
		limits: b, customers: map[string]*customer{},
		lanes: map[Selector]*lane{}, byModel: map[string][]*lane{},
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.waiting }

// HasWaiting reports whether items wait in a lane.
func (q *Queue) HasWaiting(l Selector) bool {
	lane, ok := q.lanes[l]
	return ok && lane.waiting > 0
}

// HasWaitingFor reports whether items wait for any of the models.
func (q *Queue) HasWaitingFor(models []string) bool {
	if q.waiting == 0 {
		return false
	}
	for _, model := range models {
		for _, l := range q.byModel[model] {
			if l.waiting > 0 {
				return true
			}
		}
	}
	return false
}

// Push adds an item. It returns false when the queue has no room for another
// item of the customer.
func (q *Queue) Push(it *Item, now time.Time) bool {
	c := q.customer(it.Customer)
	if c.waiting >= q.limits.MaxWaiting-q.waiting {
		return false
	}
	c.weight = it.Weight
	q.activate(c)
	q.sequence++
	it.sequence = q.sequence
	l := q.lane(it.Selector)
	l.class(it.Class).push(l, it, c, now)
	l.waiting++
	c.waiting++
	q.waiting++
	return true
}

// Charge counts tokens served to a customer that did not wait.
func (q *Queue) Charge(name string, weight, tokens float64) {
	c := q.customer(name)
	c.weight = weight
	if c.waiting == 0 {
		c.counter = max(c.counter, q.base())
	}
	c.charge(tokens)
}

// Refund returns tokens that were charged but not generated; they lower the
// customer's next charges.
func (q *Queue) Refund(name string, tokens float64) {
	if c, ok := q.customers[name]; ok {
		c.credit += tokens
	}
}

// ServedSeconds returns the tokens counted for a customer in seconds of its rate.
func (q *Queue) ServedSeconds(name string) float64 {
	if c, ok := q.customers[name]; ok {
		return c.counter
	}
	return 0
}

// Next returns the first item among the lanes of the models for which serves
// is true, or nil. Items past their deadline are moved to the late ones.
func (q *Queue) Next(now time.Time, models []string, serves func(*Selector) bool) *Item {
	var best *Item
	var bestRank rank
	for _, model := range models {
		for _, l := range q.byModel[model] {
			if l.waiting == 0 || !serves(&l.name) {
				continue
			}
			it, r := q.head(l, now)
			if it != nil && (best == nil || r.before(bestRank)) {
				best = it
				bestRank = r
			}
		}
	}
	return best
}

// Dequeue removes an item that is being served and charges its customer.
func (q *Queue) Dequeue(it *Item, now time.Time) {
	c := it.flow.customer
	it.flow.class.served = now
	q.last = c.counter
	q.Remove(it)
	c.charge(it.Cost)
}

// Remove removes an item without charge; one that does not wait is ignored.
func (q *Queue) Remove(it *Item) {
	f := it.flow
	if f == nil {
		return
	}
	f.remove(it)
	l := f.class.lane
	l.waiting--
	q.waiting--
	f.customer.waiting--
	if f.customer.waiting == 0 {
		heap.Remove(&q.active, f.customer.index)
	}
	if l.waiting == 0 {
		q.drop(l)
	}
}

// TakeExpired returns the items that were found past their deadline since the
// last call; they no longer wait.
func (q *Queue) TakeExpired() []*Item {
	late := q.late
	q.late = nil
	return late
}

// Ahead estimates the tokens that are served before an item that would be
// pushed now: those of higher classes, and those of its class up to its
// customer's turn.
func (q *Queue) Ahead(it *Item) float64 {
	l, ok := q.lanes[it.Selector]
	if !ok {
		return 0
	}
	ahead := 0.0
	at := indexOf(it.Class)
	for i := range at {
		ahead += l.classes[i].cost
	}
	return ahead + l.classes[at].ahead(q.customers[it.Customer], it.Weight)
}

// head returns the first item of a lane.
func (q *Queue) head(l *lane, now time.Time) (*Item, rank) {
	for {
		it, r := l.first(now, q.limits.AgingInterval)
		if it == nil || it.Deadline.After(now) {
			return it, r
		}
		q.late = append(q.late, it)
		q.Remove(it)
	}
}

// base returns the counter of the least served customer that waits, or of
// the last one that did.
func (q *Queue) base() float64 {
	if c := q.active.least(); c != nil {
		return c.counter
	}
	return q.last
}

// activate brings a customer whose items begin to wait near the others.
func (q *Queue) activate(c *customer) {
	if c.waiting > 0 {
		return
	}
	base := q.base()
	if c.counter < base {
		c.counter = base
		c.credit = 0
	}
	c.counter = min(c.counter, base+maxDebt)
	c.key = c.counter
	heap.Push(&q.active, c)
}

func (q *Queue) customer(name string) *customer {
	c, ok := q.customers[name]
	if ok {
		return c
	}
	if len(q.customers) >= maxIdleCustomers {
		q.forgetIdle()
	}
	c = &customer{name: name, counter: q.base()}
	q.customers[name] = c
	return c
}

// forgetIdle forgets customers that would start at the base anyway.
func (q *Queue) forgetIdle() {
	base := q.base()
	for name, c := range q.customers {
		if c.waiting == 0 && c.counter <= base {
			delete(q.customers, name)
		}
	}
}

func (q *Queue) lane(name Selector) *lane {
	l, ok := q.lanes[name]
	if ok {
		return l
	}
	l = newLane(name)
	q.lanes[name] = l
	q.byModel[name.Model] = append(q.byModel[name.Model], l)
	return l
}

// drop forgets an empty lane that excludes targets; the others are kept for
// the next item.
func (q *Queue) drop(l *lane) {
	if l.name.Exclude == "" {
		return
	}
	delete(q.lanes, l.name)
	lanes := q.byModel[l.name.Model]
	for i, other := range lanes {
		if other == l {
			lanes[i] = lanes[len(lanes)-1]
			q.byModel[l.name.Model] = lanes[:len(lanes)-1]
			return
		}
	}
}

func indexOf(class object.Class) int {
	switch class {
	case object.ClassUrgent:
		return 0
	case object.ClassBackground:
		return 2
	default:
		return 1
	}
}
