package assigner

import (
	"net/netip"
	"strings"
	"time"

	"fireflypier.example/fireflypier/internal/queue"
	"fireflypier.example/fireflypier/internal/request"
)

// Job is one attempt that wants an engine.
type Job struct {
	// Request is what runs; Exclude lists engines that must not run it.
	Request *request.Request
	Exclude []string
	// Weight is the customer's rate in tokens a second.
	Weight float64
	// Notify is called once, when a job that had to wait is placed or
	// refused.
	Notify func()

	// Placed is true once the job has an engine: Target at Address, to be
	// asked for Version of the model.
	Placed  bool
	Target  string
	Address netip.AddrPort
	Version string
	// Err is set when the job was refused.
	Err error

	item   queue.Item
	engine *engine
	// unread are the prompt tokens that the engine reads until the first
	// token, sent is when the job was placed.
	unread float64
	sent   time.Time
}

func (j *Job) fill() {
	r := j.Request
	j.item = queue.Item{
		Customer: r.Ticket.Customer,
		Cost:     r.Cost(),
		Weight:   max(j.Weight, 1),
		Class:    r.Class,
		Selector: queue.Selector{Model: r.Weights.Model, Adapter: r.Weights.Adapter, Exclude: strings.Join(j.Exclude, ",")},
		Deadline: r.Deadline,
		Owner:    j,
	}
}

func (j *Job) notify() {
	if j.Notify != nil {
		j.Notify()
	}
}
