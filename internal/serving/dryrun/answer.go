package dryrun

import (
	"time"
)

// Answer tells where a request would go now, and why.
type Answer struct {
	// VM and DataCentre are those of the process that answers, PolicyVersion is the version
	// of its configuration.
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	PolicyVersion int64  `json:"policy_version"`
	// Route is empty if the question names none and several lead to the pool, or none does.
	Route string `json:"route"`
	Kind  string `json:"kind,omitzero"`
	// Pools are the pools of the route; the request goes to a random one of them, by their
	// weights. Pool is the one that the answer is for.
	Pools []PoolShare `json:"pools,omitzero"`
	Pool  string      `json:"pool"`
	Rank  int         `json:"rank"`
	// Objective is zero if the route has none. Timeout is the time until the deadline,
	// Patience that until the caller leaves if nothing has arrived.
	Objective time.Duration `json:"objective,omitzero"`
	Timeout   time.Duration `json:"timeout"`
	Patience  time.Duration `json:"patience"`
	Decision  Decision      `json:"decision"`
	Spillover Spillover     `json:"spillover"`
	// RandomScale is the scale of the random part of costs, which the answer leaves out: of
	// targets whose costs differ by less, any may be chosen. ViewAge is the age of the loads.
	RandomScale time.Duration `json:"random_scale"`
	ViewAge     time.Duration `json:"view_age"`
	// Rate is missing if the request has no customer.
	Rate    *Rate    `json:"rate,omitzero"`
	Targets []Target `json:"targets"`
}

// PoolShare is the part of a route's requests that a pool gets.
type PoolShare struct {
	Pool   string  `json:"pool"`
	Weight float64 `json:"weight"`
}

// The outcomes of a decision.
const (
	// OnTime is a request that is sent with its rank, Late one that is sent with the late
	// rank. Sent is one for a pool in which nothing is put back.
	OnTime = "on_time"
	Late   = "late"
	Sent   = "sent"
	// Refused is a request that is refused although a target could be chosen, NoTarget one
	// that is refused because none can.
	Refused  = "refused"
	NoTarget = "no_target"
	// Waits is a request that waits until an engine has loaded its weights.
	Waits = "waits"
)

// Decision is what would happen to the request.
type Decision struct {
	Outcome string `json:"outcome"`
	// Reason tells why a request is refused or waits, or is sent although it seems late.
	Reason string `json:"reason,omitzero"`
	// RetryAfter is the time to return of a request that is refused, without the random
	// part that spreads returns. LoadedIn is how long one that waits probably does.
	RetryAfter time.Duration `json:"retry_after,omitzero"`
	LoadedIn   time.Duration `json:"loaded_in,omitzero"`
	// Target is the target that would be chosen; empty if there is none. Expected is the
	// time until the first event or the answer, LateExpected that at the late rank.
	Target       string        `json:"target,omitzero"`
	Expected     time.Duration `json:"expected,omitzero"`
	LateExpected time.Duration `json:"late_expected,omitzero"`
	// OverShare is set if the request exceeds its customer's share of the pool.
	OverShare bool `json:"over_share,omitzero"`
}

// Spillover is the decision whether the request leaves the data centre.
type Spillover struct {
	// Decision is off, or stay_ or leave_ with the reason.
	Decision string `json:"decision"`
	// Share is the share of the pool's requests that may leave.
	Share float64 `json:"share"`
}

// Rate is the state of a customer's rate at this VM.
type Rate struct {
	Customer string  `json:"customer"`
	Cost     float64 `json:"cost"`
	// Limited is false if the customer has no rate. Level is the content of the fleet's
	// bucket by this VM's copy, Own that of this VM's own bucket.
	Limited   bool    `json:"limited"`
	Level     float64 `json:"level,omitzero"`
	Own       float64 `json:"own,omitzero"`
	Capacity  float64 `json:"capacity,omitzero"`
	PerSecond float64 `json:"per_second,omitzero"`
	// Result is what a charge would return: admitted, own_share_used_up (the lender would
	// decide) or exceeded; After is the time until it could be made.
	Result string        `json:"result"`
	After  time.Duration `json:"after,omitzero"`
}

// Target is a target of the pool.
type Target struct {
	ID         string `json:"id"`
	Born       int64  `json:"born"`
	DataCentre string `json:"data_centre"`
	// Excluded tells why the target cannot be chosen, empty if it can; Until is the time
	// until that ends, zero if that is unknown.
	Excluded string        `json:"excluded,omitzero"`
	Until    time.Duration `json:"until,omitzero"`
	// OtherBorn is a later incarnation that has answered requests: this one would be
	// answered 421.
	OtherBorn int64 `json:"other_born,omitzero"`
	// Expected has Distance as a part. Cost is Expected with the following costs.
	Expected  time.Duration `json:"expected"`
	Distance  time.Duration `json:"distance"`
	CallWait  time.Duration `json:"call_wait"`
	Returning time.Duration `json:"returning"`
	Stall     time.Duration `json:"stall"`
	Failures  time.Duration `json:"failures"`
	Pauses    time.Duration `json:"pauses"`
	Cost      time.Duration `json:"cost"`
	// CachedTokens is missing if the question does not name the parts of the prompt.
	CachedTokens *int `json:"cached_tokens,omitzero"`
	Requests     int  `json:"requests"`
	// LimitPerSecond is zero if the target has no limit. ColdFor is how long it stays cold.
	LimitPerSecond float64       `json:"limit_per_second,omitzero"`
	ColdFor        time.Duration `json:"cold_for,omitzero"`
}

// Problem is the answer to a question that has none.
type Problem struct {
	// Code is the code of a failure.Kind.
	Code    string `json:"code"`
	Message string `json:"message"`
}
