// Package queue implements weighted fair queueing of waiting requests. Items
// are ordered by priority class, then by the virtual time of their customer:
// the tokens charged to it divided by its rate in tokens per second.
package queue

import (
	"container/heap"
	"time"

	"fireflypier.example/fireflypier/internal/object"
)

const (
	classCount = 3
	// maxLeadSeconds limits how far the virtual time of a customer may exceed
	// that of the least served waiting customer when its first item is pushed.
	maxLeadSeconds = 10
	// maxRetainedCustomers is the number of customers at which idle ones are
	// evicted before another is added.
	maxRetainedCustomers = 4096
)

// Limits configures the size and the aging of a Queue.
type Limits struct {
	// MaxWaiting limits the number of waiting items. A customer may hold at
	// most as many items as the queue still has room for, so that no customer
	// can fill it.
	MaxWaiting int
	// AgingInterval is how long a class with waiting items may go unserved in
	// a subqueue before one of its items precedes those of higher classes.
	AgingInterval time.Duration
}

// Selector determines which targets can serve an item. Items with equal
// selectors share a subqueue.
type Selector struct {
	// Model and Adapter name the required weights; Adapter may be empty.
	Model, Adapter string
	// Exclude lists the targets that must not serve the item, joined by commas.
	Exclude string
}

// Item is one waiting request. Its exported fields must not change while it
// is in the queue.
type Item struct {
	// Customer is charged Cost tokens; Weight is its rate in tokens per second.
	Customer string
	Cost     float64
	Weight   float64
	// Class is the priority class; Selector determines the subqueue.
	Class    object.Class
	Selector Selector
	// Deadline is when the item expires.
	Deadline time.Time
	// Owner is a value of the caller; the queue does not use it.
	Owner any

	flow           *flow
	previous, next *Item
	sequence       int64
}

// Queue holds waiting items in one subqueue for each selector. It is not safe
// for concurrent use.
type Queue struct {
	limits          Limits
	customers       map[string]*customer
	active          customerHeap
	subqueues       map[Selector]*subqueue
	byModel         map[string][]*subqueue
	expired         []*Item
	waiting         int
	sequence        int64
	lastVirtualTime float64
}

// New returns an empty queue.
func New(l Limits) *Queue {
	return &Queue{
		limits: l, customers: map[string]*customer{},
		subqueues: map[Selector]*subqueue{}, byModel: map[string][]*subqueue{},
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.waiting }

// HasWaiting reports whether items with the given selector are waiting.
func (q *Queue) HasWaiting(selector Selector) bool {
	sub, ok := q.subqueues[selector]
	return ok && sub.waiting > 0
}

// HasWaitingFor reports whether items are waiting for any of the models.
func (q *Queue) HasWaitingFor(models []string) bool {
	if q.waiting == 0 {
		return false
	}
	for _, model := range models {
		for _, sub := range q.byModel[model] {
			if sub.waiting > 0 {
				return true
			}
		}
	}
	return false
}

// Push adds an item. It returns false when the customer already holds as many
// items as Limits.MaxWaiting allows.
func (q *Queue) Push(it *Item, now time.Time) bool {
	c := q.customer(it.Customer)
	if c.waiting >= q.limits.MaxWaiting-q.waiting {
		return false
	}
	c.weight = it.Weight
	q.activate(c)
	q.sequence++
	it.sequence = q.sequence
	sub := q.subqueue(it.Selector)
	sub.class(it.Class).push(sub, it, c, now)
	sub.waiting++
	c.waiting++
	q.waiting++
	return true
}

// Charge adds tokens to the virtual time of a customer whose request was
// served without waiting.
func (q *Queue) Charge(name string, weight, tokens float64) {
	c := q.customer(name)
	c.weight = weight
	if c.waiting == 0 {
		c.virtualTime = max(c.virtualTime, q.minVirtualTime())
	}
	c.charge(tokens)
}

// Refund credits tokens that were charged but not generated. The credit is
// deducted from the next charges of the customer.
func (q *Queue) Refund(name string, tokens float64) {
	if c, ok := q.customers[name]; ok {
		c.refunded += tokens
	}
}

// ServedSeconds returns the virtual time of a customer in seconds. It is zero
// for an unknown customer.
func (q *Queue) ServedSeconds(name string) float64 {
	if c, ok := q.customers[name]; ok {
		return c.virtualTime
	}
	return 0
}

// Next returns the item to serve next among the subqueues of the models for
// which serves returns true, or nil. It does not remove the item. Items past
// their deadline are removed and returned by TakeExpired.
func (q *Queue) Next(now time.Time, models []string, serves func(*Selector) bool) *Item {
	var best *Item
	var bestRank rank
	for _, model := range models {
		for _, sub := range q.byModel[model] {
			if sub.waiting == 0 || !serves(&sub.selector) {
				continue
			}
			it, r := q.firstUnexpired(sub, now)
			if it != nil && (best == nil || r.before(bestRank)) {
				best = it
				bestRank = r
			}
		}
	}
	return best
}

// Dequeue removes an item that is about to be served and charges its cost to
// the customer.
func (q *Queue) Dequeue(it *Item, now time.Time) {
	c := it.flow.customer
	it.flow.class.lastServed = now
	q.lastVirtualTime = c.virtualTime
	q.Remove(it)
	c.charge(it.Cost)
}

// Remove removes an item without charging its customer. It does nothing when
// the item is not in the queue.
func (q *Queue) Remove(it *Item) {
	f := it.flow
	if f == nil {
		return
	}
	f.remove(it)
	sub := f.class.subqueue
	sub.waiting--
	q.waiting--
	f.customer.waiting--
	if f.customer.waiting == 0 {
		heap.Remove(&q.active, f.customer.index)
	}
	if sub.waiting == 0 {
		q.removeSubqueue(sub)
	}
}

// TakeExpired returns the items that Next removed past their deadline since
// the previous call.
func (q *Queue) TakeExpired() []*Item {
	expired := q.expired
	q.expired = nil
	return expired
}

// Ahead estimates the tokens that would be served before an item pushed now:
// those of higher classes in its subqueue, and those of its own class that
// precede it in weighted fair order.
func (q *Queue) Ahead(it *Item) float64 {
	sub, ok := q.subqueues[it.Selector]
	if !ok {
		return 0
	}
	ahead := 0.0
	at := classIndex(it.Class)
	for i := range at {
		ahead += sub.classes[i].cost
	}
	return ahead + sub.classes[at].ahead(q.customers[it.Customer], it.Weight)
}

// firstUnexpired returns the first item of a subqueue and its rank, and moves
// the expired items before it to q.expired. The item is nil when none is left.
func (q *Queue) firstUnexpired(sub *subqueue, now time.Time) (*Item, rank) {
	for {
		it, r := sub.first(now, q.limits.AgingInterval)
		if it == nil || it.Deadline.After(now) {
			return it, r
		}
		q.expired = append(q.expired, it)
		q.Remove(it)
	}
}

// minVirtualTime returns the lowest virtual time of the waiting customers, or,
// when none waits, that of the customer dequeued last.
func (q *Queue) minVirtualTime() float64 {
	if c := q.active.least(); c != nil {
		return c.virtualTime
	}
	return q.lastVirtualTime
}

// activate adds a customer without waiting items to the active customers. Its
// virtual time is raised to the lowest of the waiting customers, so that being
// idle earns no priority, and limited to maxLeadSeconds above it.
func (q *Queue) activate(c *customer) {
	if c.waiting > 0 {
		return
	}
	minVirtualTime := q.minVirtualTime()
	if c.virtualTime < minVirtualTime {
		c.virtualTime = minVirtualTime
		c.refunded = 0
	}
	c.virtualTime = min(c.virtualTime, minVirtualTime+maxLeadSeconds)
	c.key = c.virtualTime
	heap.Push(&q.active, c)
}

func (q *Queue) customer(name string) *customer {
	c, ok := q.customers[name]
	if ok {
		return c
	}
	if len(q.customers) >= maxRetainedCustomers {
		q.evictIdle()
	}
	c = &customer{name: name, virtualTime: q.minVirtualTime()}
	q.customers[name] = c
	return c
}

// evictIdle deletes customers without waiting items whose virtual time is not
// above the minimum: they would be created anew with the same virtual time.
func (q *Queue) evictIdle() {
	minVirtualTime := q.minVirtualTime()
	for name, c := range q.customers {
		if c.waiting == 0 && c.virtualTime <= minVirtualTime {
			delete(q.customers, name)
		}
	}
}

func (q *Queue) subqueue(selector Selector) *subqueue {
	sub, ok := q.subqueues[selector]
	if ok {
		return sub
	}
	sub = newSubqueue(selector)
	q.subqueues[selector] = sub
	q.byModel[selector.Model] = append(q.byModel[selector.Model], sub)
	return sub
}

// removeSubqueue deletes an empty subqueue whose selector excludes targets.
// Other empty subqueues are kept, since their selectors recur.
func (q *Queue) removeSubqueue(sub *subqueue) {
	if sub.selector.Exclude == "" {
		return
	}
	delete(q.subqueues, sub.selector)
	subqueues := q.byModel[sub.selector.Model]
	for i, other := range subqueues {
		if other == sub {
			subqueues[i] = subqueues[len(subqueues)-1]
			q.byModel[sub.selector.Model] = subqueues[:len(subqueues)-1]
			return
		}
	}
}

func classIndex(class object.Class) int {
	switch class {
	case object.ClassUrgent:
		return 0
	case object.ClassBackground:
		return 2
	default:
		return 1
	}
}
