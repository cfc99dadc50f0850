// Package policy holds one version of the operator's configuration as the
// request path reads it: routes, pools, customers and their keys.
package policy

import (
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated of a request.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests must not run twice.
	AtMostOnce
	// Stream requests are answered by a series of numbered events.
	Stream
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at_most_once"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Route sends requests of a host and a path prefix to pools.
type Route struct {
	// Name is the operator's name of the route.
	Name string
	// Host and Prefix select the requests; the longest prefix wins.
	Host, Prefix string
	// Kind tells what may be repeated.
	Kind Kind
	// Timeout bounds a request from its arrival; zero means no bound.
	Timeout time.Duration
	// Objective is the latency up to the answer, or to the first event of a
	// stream, for which the operator counts a request as served in time.
	Objective time.Duration
	// MaxGap is the longest pause between two events that counts as in time.
	MaxGap time.Duration
	// Rank orders requests; zero is the most urgent.
	Rank int
	// MaxAttempts bounds the targets that one request may be sent to.
	MaxAttempts int
	// Open routes need no key.
	Open bool
	// Resumable streams may go on at another target.
	Resumable bool
	// Split lists the pools and their weights.
	Split []Share
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// The time for which callers of streams wait for the next event: the longest
// of a fixed time and of these multiples.
const (
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// CallerTimeout returns how long callers wait for an answer, or for the next event
// of a stream, before they leave; zero means as long as they state.
func (r *Route) CallerTimeout() time.Duration {
	if r.Kind != Stream {
		return 0
	}
	return max(leastPatience, objectivePatience*r.Objective, gapPatience*r.MaxGap)
}

// Share is a pool's part of a route.
type Share struct {
	// Pool names the pool.
	Pool string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Pool is a set of targets of one kind.
type Pool struct {
	// Name is the operator's name of the pool.
	Name string
	// MaxConns bounds the connections to one target, over all callers.
	MaxConns int
	// Engine is set for pools of model engines.
	Engine *Engine
}

// Engine describes the engines of a pool.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// KVTokens is the memory for prompts and answers, in tokens.
	KVTokens int
	// WeightsMB is the memory for weights and adapters.
	WeightsMB float64
	// AdapterSlots bounds the adapters that are held or on their way.
	AdapterSlots int
	// LoadsPerSecond is the rate of the weight store over all engines.
	LoadsPerSecond float64
	// Models lists what the pool serves.
	Models []Model
}

// Model returns the model of a name.
func (e *Engine) Model(name string) (m *Model, ok bool) {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i], true
		}
	}
	return nil, false
}

// Model is a model of a pool.
type Model struct {
	// Name is the operator's name of the model.
	Name string
	// WeightsMB is the memory of its weights, AdapterMB that of one adapter.
	WeightsMB, AdapterMB float64
	// Adapters counts the adapters, which are named a1, a2 and so on.
	Adapters int
	// ColdLoad, WarmLoad and DiskLoad are the load times from the weight
	// store, from the memory of the engine's host and from its disk.
	ColdLoad, WarmLoad, DiskLoad time.Duration
}

// Customer is a tenant with keys and a rate.
type Customer struct {
	// Name is what targets are told.
	Name string
	// Keys lists the keys in force.
	Keys []string
	// Rank orders requests before the rank of their route; zero is the most
	// urgent.
	Rank int
	// Ranked tells whether Rank is set.
	Ranked bool
	// Rate is in tokens a second and Burst in tokens, or in requests where
	// ByTokens is false; zero means no limit.
	Rate, Burst float64
	ByTokens    bool
	// PlainCost is the cost of a request that does not state its size.
	PlainCost float64
}

// The ranks that targets tell apart.
const (
	// MaxRank is the least urgent one.
	MaxRank = 9
	// routeRanks is the number of ranks of routes that are told apart within
	// one rank of a customer, so that three ranks of customers fit.
	routeRanks = 3
)

// RankFor returns the rank of a customer's request on a route, 0 to MaxRank:
// the customer's rank goes first, the route's decides among equals. c may be
// nil.
func (r *Route) RankFor(c *Customer) int {
	if c == nil || !c.Ranked {
		return min(r.Rank, MaxRank)
	}
	return min(c.Rank*routeRanks+min(r.Rank, routeRanks-1), MaxRank)
}

// Limits bound what callers may send.
type Limits struct {
	// BodyBytes bounds the size of a body.
	BodyBytes int64
}

// Policy is one version of the configuration. It never changes once indexed.
type Policy struct {
	// Version is the operator's version.
	Version int64
	// Routes, Pools and Customers are the objects.
	Routes    []Route
	Pools     []Pool
	Customers []Customer
	// Limits bound what callers may send.
	Limits Limits

	byHost map[string][]*Route
	byKey  map[string]*Customer
	byPool map[string]*Pool
}

// Index prepares the look-ups. Call it once, before the policy is shared.
func (p *Policy) Index() *Policy {
	p.byHost = make(map[string][]*Route)
	p.byKey = make(map[string]*Customer)
	p.byPool = make(map[string]*Pool)
	for i := range p.Routes {
		r := &p.Routes[i]
		p.byHost[r.Host] = append(p.byHost[r.Host], r)
	}
	for _, routes := range p.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range p.Customers {
		c := &p.Customers[i]
		for _, key := range c.Keys {
			p.byKey[key] = c
		}
	}
	for i := range p.Pools {
		p.byPool[p.Pools[i].Name] = &p.Pools[i]
	}
	return p
}

// Route returns the route with the longest prefix of a host's path.
func (p *Policy) Route(host, path string) (r *Route, ok bool) {
	for _, r := range p.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Customer returns the holder of a key.
func (p *Policy) Customer(key string) (c *Customer, ok bool) {
	c, ok = p.byKey[key]
	return c, ok
}

// Pool returns the pool of a name.
func (p *Policy) Pool(name string) (pool *Pool, ok bool) {
	pool, ok = p.byPool[name]
	return pool, ok
}

// RequiresKey reports whether requests need a key at all.
func (p *Policy) RequiresKey() bool { return len(p.Customers) > 0 }
