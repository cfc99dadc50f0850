package queue

import (
	"cmp"
	"container/heap"
	"slices"
)

// customer is the accounting state of one customer. virtualTime is in seconds:
// the charged tokens divided by weight. refunded is in tokens. key and index
// belong to the customerHeap.
type customer struct {
	name        string
	weight      float64
	virtualTime float64
	refunded    float64
	waiting     int
	key         float64
	index       int
}

// charge uses up refunded tokens first and adds the rest to the virtual time.
func (c *customer) charge(tokens float64) {
	used := min(c.refunded, tokens)
	c.refunded -= used
	if c.weight > 0 {
		c.virtualTime += (tokens - used) / c.weight
	}
}

// customerHeap is a min-heap of the customers with waiting items, ordered by
// virtual time. As in flowHeap, keys may be out of date.
type customerHeap []*customer

func (h *customerHeap) least() *customer {
	for len(*h) > 0 {
		c := (*h)[0]
		if c.key >= c.virtualTime {
			return c
		}
		c.key = c.virtualTime
		heap.Fix(h, 0)
	}
	return nil
}

// Len implements heap.Interface.
func (h *customerHeap) Len() int { return len(*h) }

// Less implements heap.Interface.
func (h *customerHeap) Less(i, j int) bool { return (*h)[i].key < (*h)[j].key }

// Swap implements heap.Interface.
func (h *customerHeap) Swap(i, j int) {
	customers := *h
	customers[i], customers[j] = customers[j], customers[i]
	customers[i].index = i
	customers[j].index = j
}

// Push implements heap.Interface.
func (h *customerHeap) Push(x any) {
	c, ok := x.(*customer)
	if !ok {
		return
	}
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *customerHeap) Pop() any {
	customers := *h
	c := customers[len(customers)-1]
	customers[len(customers)-1] = nil
	*h = customers[:len(customers)-1]
	return c
}

// CustomerState is the state of one customer in a dump.
type CustomerState struct {
	// Name identifies the customer; Waiting is the number of its waiting items.
	Name    string `json:"name"`
	Waiting int    `json:"waiting"`
	// ServedSeconds is the virtual time of the customer: the charged tokens
	// divided by its rate.
	ServedSeconds float64 `json:"served_seconds"`
}

// Customers returns the state of every customer, sorted by name.
func (q *Queue) Customers() []CustomerState {
	list := make([]CustomerState, 0, len(q.customers))
	for _, c := range q.customers {
		list = append(list, CustomerState{Name: c.name, Waiting: c.waiting, ServedSeconds: c.virtualTime})
	}
	slices.SortFunc(list, func(a, b CustomerState) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
