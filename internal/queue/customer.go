package queue

import (
	"cmp"
	"container/heap"
	"slices"
)

// customer counts what a customer was served.
type customer struct {
	name    string
	weight  float64
	counter float64
	credit  float64
	waiting int
	key     float64
	index   int
}

// charge counts tokens in seconds of the rate, refunded ones first.
func (c *customer) charge(tokens float64) {
	used := min(c.credit, tokens)
	c.credit -= used
	if c.weight > 0 {
		c.counter += (tokens - used) / c.weight
	}
}

// customerHeap holds the customers that wait, ordered like a flowHeap.
type customerHeap []*customer

func (h *customerHeap) least() *customer {
	for len(*h) > 0 {
		c := (*h)[0]
		if c.key >= c.counter {
			return c
		}
		c.key = c.counter
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

// CustomerState is what a dump shows of one customer.
type CustomerState struct {
	// Name names the customer, Waiting counts its waiting items.
	Name    string `json:"name"`
	Waiting int    `json:"waiting"`
	// ServedSeconds are the tokens served, in seconds of its rate.
	ServedSeconds float64 `json:"served_seconds"`
}

// Customers returns the state of every customer, sorted by name.
func (q *Queue) Customers() []CustomerState {
	list := make([]CustomerState, 0, len(q.customers))
	for _, c := range q.customers {
		list = append(list, CustomerState{Name: c.name, Waiting: c.waiting, ServedSeconds: c.counter})
	}
	slices.SortFunc(list, func(a, b CustomerState) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
