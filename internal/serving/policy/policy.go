// Package policy holds one version of the operator's configuration in the form
// that the request path uses: routes, pools, customers and their keys.
package policy

import (
	"sort"
	"strconv"
	"strings"
	"time"
)

// Kind is the kind of a request, which determines whether it may be repeated.
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

// String returns the name of the kind as written to logs and metrics.
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

// Route assigns the requests of a host and a path prefix to pools.
type Route struct {
	// Name is the operator's name for the route.
	Name string
	// Host and Prefix select the requests; the longest prefix wins.
	Host, Prefix string
	// Kind determines whether the route's requests may be repeated.
	Kind Kind
	// Timeout bounds a request from its arrival; zero means that the route
	// sets no bound.
	Timeout time.Duration
	// Objective is the latency objective: a request counts as served in time
	// if its answer, or the first event of its stream, arrives within it.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream that counts
	// as in time.
	MaxGap time.Duration
	// Rank orders requests; zero is the most urgent.
	Rank int
	// MaxAttempts bounds the attempts of one request that may have run it.
	MaxAttempts int
	// Open is set if requests need no key.
	Open bool
	// Resumable is set if another target may continue a broken stream.
	Resumable bool
	// Split lists the pools and their weights.
	Split []Share
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Callers of streams wait for the next event for the longest of minCallerTimeout,
// callerTimeoutObjectives times the objective and callerTimeoutGaps times the
// longest gap.
const (
	minCallerTimeout        = 2 * time.Second
	callerTimeoutObjectives = 4
	callerTimeoutGaps       = 8
)

// CallerTimeout returns how long callers of a stream wait for each event
// before they disconnect. It returns zero for other kinds, whose callers wait as
// long as they state in the request.
func (r *Route) CallerTimeout() time.Duration {
	if r.Kind != Stream {
		return 0
	}
	return max(minCallerTimeout, callerTimeoutObjectives*r.Objective, callerTimeoutGaps*r.MaxGap)
}

// Share is the share of a route's requests that a pool gets.
type Share struct {
	// Pool names the pool.
	Pool string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Pool is a set of targets of one kind.
type Pool struct {
	// Name is the operator's name for the pool.
	Name string
	// MaxConns bounds the connections to one target over all callers.
	MaxConns int
	// Engine describes the engines of the pool; nil for plain services.
	Engine *Engine
	// ColdStart is the time for which a target is cold after its start, and ColdPerSecond
	// the requests a second that it takes meanwhile from all VMs together. If either is
	// zero, the pool's targets are never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Engine describes the engines of a pool.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVTokens is the size of an engine's key-value cache, which holds prompts
	// and answers, in tokens.
	KVTokens int
	// WeightsMB is an engine's memory for weights and adapters, in MB.
	WeightsMB float64
	// AdapterSlots bounds the adapters that are loaded or being loaded.
	AdapterSlots int
	// LoadsPerSecond is the rate of loads that the weight store serves to all
	// engines together.
	LoadsPerSecond float64
	// Models lists the models that the pool serves.
	Models []Model
}

// Model returns the model with a name; ok is false if the pool has none.
func (e *Engine) Model(name string) (m *Model, ok bool) {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i], true
		}
	}
	return nil, false
}

// ModelMemoryMB returns an engine's memory for models, in MB. All adapter slots
// are reserved at the largest adapter's size, so that the memory of individual
// adapters need not be tracked.
func (e *Engine) ModelMemoryMB() float64 {
	largest := 0.0
	for i := range e.Models {
		largest = max(largest, e.Models[i].AdapterMB)
	}
	return e.WeightsMB - largest*float64(e.AdapterSlots)
}

// Model is a model that a pool serves.
type Model struct {
	// Name is the operator's name for the model.
	Name string
	// WeightsMB is the memory that the weights take, AdapterMB the memory that
	// one adapter takes, in MB.
	WeightsMB, AdapterMB float64
	// Adapters is the number of adapters, which are named a1, a2 and so on.
	Adapters int
	// ColdLoad, WarmLoad and DiskLoad are the load times from the weight
	// store, from the memory of the engine's host and from its disk.
	ColdLoad, WarmLoad, DiskLoad time.Duration
}

// HasAdapter reports whether the model has an adapter with a name.
func (m *Model) HasAdapter(name string) bool {
	number, ok := strings.CutPrefix(name, "a")
	n, err := strconv.Atoi(number)
	return ok && err == nil && n >= 1 && n <= m.Adapters && number == strconv.Itoa(n)
}

// LoadTime returns the load time of the model on an engine whose host holds a copy of
// it in memory or on disk, or none.
func (m *Model) LoadTime(inMemory, onDisk bool) time.Duration {
	switch {
	case inMemory:
		return m.WarmLoad
	case onDisk:
		return m.DiskLoad
	}
	return m.ColdLoad
}

// Customer is a tenant with keys and a rate limit.
type Customer struct {
	// Name is sent to targets with each request.
	Name string
	// Keys lists the keys in force.
	Keys []string
	// Rank takes precedence over the rank of the route; zero is the most
	// urgent.
	Rank int
	// Ranked is set if the customer has a rank.
	Ranked bool
	// Rate is in tokens per second and Burst in tokens, or both in requests if
	// ByTokens is false. A Rate of zero means no limit.
	Rate, Burst float64
	ByTokens    bool
	// PlainCost is the cost, in tokens, of a request that does not state its
	// size.
	PlainCost float64
}

// The ranks that targets distinguish.
const (
	// MaxRank is the least urgent rank.
	MaxRank = 9
	// routeRanks is the number of route ranks that are distinguished within one
	// rank of a customer. With three, three ranks of customers fit below
	// MaxRank.
	routeRanks = 3
)

// RankFor returns the rank of a customer's request on a route, 0 to MaxRank. The
// customer's rank takes precedence; the route's rank decides among equals. c may
// be nil.
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

// Policy is one version of the configuration. It is immutable once indexed.
type Policy struct {
	// Version is the operator's version number.
	Version int64
	// Routes, Pools and Customers are the objects of the configuration.
	Routes    []Route
	Pools     []Pool
	Customers []Customer
	// Limits bound what callers may send.
	Limits Limits
	// Warnings tells of values that are not usable and count as missing.
	Warnings []string

	byHost map[string][]*Route
	byKey  map[string]*Customer
	byName map[string]*Customer
	byPool map[string]*Pool
	// divided is set for the pools for which Divided returns true.
	divided map[string]bool
}

// Index builds the maps for look-ups and returns p. Call it once, before the
// policy is shared.
func (p *Policy) Index() *Policy {
	p.byHost = make(map[string][]*Route)
	p.byKey = make(map[string]*Customer)
	p.byName = make(map[string]*Customer)
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
		p.byName[c.Name] = c
		for _, key := range c.Keys {
			p.byKey[key] = c
		}
	}
	for i := range p.Pools {
		p.byPool[p.Pools[i].Name] = &p.Pools[i]
	}
	p.indexDivided()
	return p
}

// Route returns the host's route with the longest prefix of the path; ok is
// false if no route matches.
func (p *Policy) Route(host, path string) (r *Route, ok bool) {
	for _, r := range p.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Customer returns the customer that a key belongs to; ok is false if there is
// none.
func (p *Policy) Customer(key string) (c *Customer, ok bool) {
	c, ok = p.byKey[key]
	return c, ok
}

// CustomerNamed returns the customer with a name; ok is false if there is none.
func (p *Policy) CustomerNamed(name string) (c *Customer, ok bool) {
	c, ok = p.byName[name]
	return c, ok
}

// Pool returns the pool with a name; ok is false if there is none.
func (p *Policy) Pool(name string) (pool *Pool, ok bool) {
	pool, ok = p.byPool[name]
	return pool, ok
}

// RequiresKey reports whether the configuration has customers. Without any,
// requests need no key on any route.
func (p *Policy) RequiresKey() bool { return len(p.Customers) > 0 }
