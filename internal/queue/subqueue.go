package queue

import (
	"container/heap"
	"time"

	"fireflypier.example/fireflypier/internal/object"
)

// subqueue holds the waiting items of one Selector, by class.
type subqueue struct {
	selector Selector
	classes  [classCount]classQueue
	waiting  int
}

// classQueue holds the items of one class of a subqueue, in one flow for each
// customer.
type classQueue struct {
	subqueue   *subqueue
	flows      flowHeap
	byCustomer map[*customer]*flow
	free       []*flow
	cost       float64
	weight     float64
	lastServed time.Time
}

// rank orders the first items of subqueues: by class, then by the virtual time
// of the customer, then by the order in which they were pushed.
type rank struct {
	class       int
	virtualTime float64
	sequence    int64
}

func (r rank) before(other rank) bool {
	switch {
	case r.class != other.class:
		return r.class < other.class
	case r.virtualTime != other.virtualTime:
		return r.virtualTime < other.virtualTime
	}
	return r.sequence < other.sequence
}

func newSubqueue(selector Selector) *subqueue {
	sub := &subqueue{selector: selector}
	for i := range sub.classes {
		sub.classes[i] = classQueue{subqueue: sub, byCustomer: map[*customer]*flow{}}
	}
	return sub
}

func (sub *subqueue) class(c object.Class) *classQueue { return &sub.classes[classIndex(c)] }

// first returns the item to serve next and its rank. A class that was not
// served for the aging interval precedes the others and is ranked as the
// highest class; otherwise the highest class with waiting items is served.
func (sub *subqueue) first(now time.Time, agingInterval time.Duration) (*Item, rank) {
	for i := classCount - 1; i > 0; i-- {
		c := &sub.classes[i]
		if len(c.flows) > 0 && now.Sub(c.lastServed) >= agingInterval {
			return c.first(0)
		}
	}
	for i := range sub.classes {
		if len(sub.classes[i].flows) > 0 {
			return sub.classes[i].first(i)
		}
	}
	return nil, rank{}
}

func (c *classQueue) first(class int) (*Item, rank) {
	f := c.flows.least()
	return f.head, rank{class: class, virtualTime: f.customer.virtualTime, sequence: f.head.sequence}
}

func (c *classQueue) push(sub *subqueue, it *Item, owner *customer, now time.Time) {
	c.subqueue = sub
	if len(c.flows) == 0 {
		c.lastServed = now
	}
	f, ok := c.byCustomer[owner]
	if !ok {
		f = c.newFlow()
		*f = flow{class: c, customer: owner, key: owner.virtualTime, weight: it.Weight}
		c.byCustomer[owner] = f
		c.weight += f.weight
	}
	f.append(it)
	c.cost += it.Cost
	if !ok {
		heap.Push(&c.flows, f)
	}
}

func (c *classQueue) newFlow() *flow {
	if n := len(c.free); n > 0 {
		f := c.free[n-1]
		c.free = c.free[:n-1]
		return f
	}
	return &flow{}
}

// ahead estimates the tokens of the class that are served before a new item of
// a customer: those of the customer's waiting items, and those that the other
// customers receive meanwhile in proportion to their weights, but not more
// than all waiting tokens of the class.
func (c *classQueue) ahead(owner *customer, weight float64) float64 {
	own := 0.0
	others := c.weight
	if f, ok := c.byCustomer[owner]; ok {
		own = f.cost
		others -= f.weight
	}
	if weight <= 0 {
		return c.cost
	}
	return min(c.cost, own*(weight+others)/weight)
}

// flow is the list of the items of one customer in one class of a subqueue, in
// the order in which they were pushed.
type flow struct {
	class      *classQueue
	customer   *customer
	head, tail *Item
	cost       float64
	weight     float64
	key        float64
	index      int
}

func (f *flow) append(it *Item) {
	it.flow = f
	it.previous = f.tail
	it.next = nil
	if f.tail == nil {
		f.head = it
	} else {
		f.tail.next = it
	}
	f.tail = it
	f.cost += it.Cost
}

func (f *flow) remove(it *Item) {
	if it.previous == nil {
		f.head = it.next
	} else {
		it.previous.next = it.next
	}
	if it.next == nil {
		f.tail = it.previous
	} else {
		it.next.previous = it.previous
	}
	it.flow, it.previous, it.next = nil, nil, nil
	f.cost -= it.Cost
	f.class.cost -= it.Cost
	if f.head != nil {
		return
	}
	heap.Remove(&f.class.flows, f.index)
	delete(f.class.byCustomer, f.customer)
	f.class.weight -= f.weight
	f.class.free = append(f.class.free, f)
}

// flowHeap is a min-heap of flows, ordered by the virtual time of their
// customers. The key of a flow is a copy of that time and may be out of date.
// The virtual time of a waiting customer only rises, so least needs to update
// the keys only at the top of the heap.
type flowHeap []*flow

func (h *flowHeap) least() *flow {
	for {
		f := (*h)[0]
		if f.key >= f.customer.virtualTime {
			return f
		}
		f.key = f.customer.virtualTime
		heap.Fix(h, 0)
	}
}

// Len implements heap.Interface.
func (h *flowHeap) Len() int { return len(*h) }

// Less implements heap.Interface.
func (h *flowHeap) Less(i, j int) bool {
	a, b := (*h)[i], (*h)[j]
	if a.key != b.key {
		return a.key < b.key
	}
	return a.head != nil && b.head != nil && a.head.sequence < b.head.sequence
}

// Swap implements heap.Interface.
func (h *flowHeap) Swap(i, j int) {
	flows := *h
	flows[i], flows[j] = flows[j], flows[i]
	flows[i].index = i
	flows[j].index = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f, ok := x.(*flow)
	if !ok {
		return
	}
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	flows := *h
	f := flows[len(flows)-1]
	flows[len(flows)-1] = nil
	*h = flows[:len(flows)-1]
	return f
}
