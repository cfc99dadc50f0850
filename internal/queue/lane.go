package queue

import (
	"container/heap"
	"time"

	"fireflypier.example/fireflypier/internal/object"
)

// lane holds the waiting items of one Lane, by class.
type lane struct {
	name    Selector
	classes [classCount]laneClass
	waiting int
}

// laneClass holds the flows of one class of a lane.
type laneClass struct {
	lane   *lane
	flows  flowHeap
	byName map[*customer]*flow
	free   []*flow
	cost   float64
	weight float64
	served time.Time
}

// rank orders the first items of lanes.
type rank struct {
	class    int
	counter  float64
	sequence int64
}

func (r rank) before(other rank) bool {
	switch {
	case r.class != other.class:
		return r.class < other.class
	case r.counter != other.counter:
		return r.counter < other.counter
	}
	return r.sequence < other.sequence
}

func newLane(name Selector) *lane {
	l := &lane{name: name}
	for i := range l.classes {
		l.classes[i] = laneClass{lane: l, byName: map[*customer]*flow{}}
	}
	return l
}

func (l *lane) class(c object.Class) *laneClass { return &l.classes[indexOf(c)] }

// first returns the first item: of a class that went unserved for the aging
// bound, or of the most pressing class.
func (l *lane) first(now time.Time, aging time.Duration) (*Item, rank) {
	for i := classCount - 1; i > 0; i-- {
		c := &l.classes[i]
		if len(c.flows) > 0 && now.Sub(c.served) >= aging {
			return c.first(0)
		}
	}
	for i := range l.classes {
		if len(l.classes[i].flows) > 0 {
			return l.classes[i].first(i)
		}
	}
	return nil, rank{}
}

func (c *laneClass) first(class int) (*Item, rank) {
	f := c.flows.least()
	return f.head, rank{class: class, counter: f.customer.counter, sequence: f.head.sequence}
}

func (c *laneClass) push(l *lane, it *Item, owner *customer, now time.Time) {
	c.lane = l
	if len(c.flows) == 0 {
		c.served = now
	}
	f, ok := c.byName[owner]
	if !ok {
		f = c.newFlow()
		*f = flow{class: c, customer: owner, key: owner.counter, weight: it.Weight}
		c.byName[owner] = f
		c.weight += f.weight
	}
	f.append(it)
	c.cost += it.Cost
	if !ok {
		heap.Push(&c.flows, f)
	}
}

func (c *laneClass) newFlow() *flow {
	if n := len(c.free); n > 0 {
		f := c.free[n-1]
		c.free = c.free[:n-1]
		return f
	}
	return &flow{}
}

// ahead estimates the tokens of the class that come before the next item of
// a customer: at most all, and at most what the others get in the time that
// the customer's own items take.
func (c *laneClass) ahead(owner *customer, weight float64) float64 {
	own := 0.0
	others := c.weight
	if f, ok := c.byName[owner]; ok {
		own = f.cost
		others -= f.weight
	}
	if weight <= 0 {
		return c.cost
	}
	return min(c.cost, own*(weight+others)/weight)
}

// flow holds the items of one customer in one class of a lane.
type flow struct {
	class      *laneClass
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
	delete(f.class.byName, f.customer)
	f.class.weight -= f.weight
	f.class.free = append(f.class.free, f)
}

// flowHeap is ordered by the counters of the flows' customers. Counters only
// rise while a customer waits, so a key that is too low is found at the top.
type flowHeap []*flow

func (h *flowHeap) least() *flow {
	for {
		f := (*h)[0]
		if f.key >= f.customer.counter {
			return f
		}
		f.key = f.customer.counter
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
