// Package admission decides whether a request is sent to an engine that is busy, whether
// it then keeps its rank, or whether it is refused at once.
//
// The load pattern: the requests for a model exceed what its engines can serve until
// the model has more of them. Without a bound every request waits at an engine until
// its caller leaves, and the engines spend their time on prompts whose callers leave.
// With a bound on that wait alone, the queue of each rank grows to the bound, and nearly
// all answers come later than their objective.
package admission

import "time"

const (
	// waitShare is the part of the caller's remaining time that the first event may
	// take. The rest is for the answer, and for a return elsewhere.
	waitShare = 0.6
	// minRetryAfter is the shortest delay after which a refused caller returns.
	minRetryAfter = 300 * time.Millisecond
	// overShareBound is the part of its objective within which a request above its
	// customer's share must be expected at the late rank to keep its own. Then so little
	// work is ahead, of any rank, that it delays nobody past an objective, though expected
	// times are wrong by a factor of two.
	overShareBound = 0.5
)

// Request is a request whose target is chosen, with the estimates for it.
type Request struct {
	// Expected is the time until the first event or the answer, at the request's rank.
	Expected time.Duration
	// ExpectedLate returns that time at the late rank. It is only called if the request
	// would be late; it is nil if there is no late rank.
	ExpectedLate func() time.Duration
	// Objective is the time left in which the request counts as on time, negative if it
	// has passed. Without ExpectedLate it has no effect.
	Objective time.Duration
	// Patience is the time left after which the caller leaves.
	Patience time.Duration
	// Room is set if the target has a free slot and nothing waits there.
	Room bool
	// OverShare is set if the customer has asked for more than its share of the capacity.
	// Without ExpectedLate it has no effect.
	OverShare bool
}

// Decision is what happens to a request: OnTime, Late or Refused.
type Decision interface{ decision() }

// OnTime means that the request is sent with its rank.
type OnTime struct{}

// Late means that the request is sent with the late rank, after all requests that can
// still be on time.
type Late struct{}

// Refused means that the request is not sent.
type Refused struct {
	// After is the time until a request like it will be admitted, if no more come.
	After time.Duration
}

func (OnTime) decision()  {}
func (Late) decision()    {}
func (Refused) decision() {}

// Decide decides on a request. One that is expected later than its objective must not
// delay those that can still be on time. At the late rank it costs them nothing, but
// later requests of all ranks go before it: it is sent only if its caller waits for
// clearly longer than it is expected to take. A request whose target has room is sent with
// its rank: there is no lack of capacity.
func Decide(r Request) Decision {
	limit := time.Duration(waitShare * float64(r.Patience))
	if r.ExpectedLate == nil {
		if r.Expected <= limit || r.Room {
			return OnTime{}
		}
		return Refused{After: max(minRetryAfter, r.Expected-limit)}
	}
	onTime := min(r.Objective, limit)
	if r.Room || (r.Expected <= onTime && !r.OverShare) {
		return OnTime{}
	}
	late := r.ExpectedLate()
	if r.OverShare && late <= time.Duration(overShareBound*float64(onTime)) {
		return OnTime{}
	}
	if late <= limit {
		return Late{}
	}
	// A return is a new request, with an objective and a patience of its own.
	after := late - limit
	if !r.OverShare {
		after = min(after, r.Expected-onTime)
	}
	return Refused{After: max(minRetryAfter, after)}
}
