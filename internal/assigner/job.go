package assigner

import (
	"net/netip"
	"strings"
	"time"

	"fireflypier.example/fireflypier/internal/queue"
	"fireflypier.example/fireflypier/internal/request"
)

// Job is one attempt of a request, to be assigned to an engine.
type Job struct {
	// Request is the request to run; Exclude lists engines that must not run it.
	Request *request.Request
	Exclude []string
	// Weight is the rate of the customer in tokens per second; values below 1
	// count as 1.
	Weight float64
	// Notify, if set, is called once when a queued job is placed or refused.
	Notify func()

	// Placed is true once the job has an engine. Target and Address identify
	// the engine; Version is the model version to request from it.
	Placed  bool
	Target  string
	Address netip.AddrPort
	Version string
	// Err is the reason why the job was refused, or nil.
	Err error

	item   queue.Item
	engine *engine
	// pendingPrefill is the number of prompt tokens that the engine has to
	// process before the first token; it is zero once that has arrived.
	// placedAt is when the job was placed.
	pendingPrefill float64
	placedAt       time.Time
}

func (j *Job) initItem() {
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
