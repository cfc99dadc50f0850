// Package object defines the named configuration objects that operators edit, and
// validates a whole set of them.
package object

import (
	"net/netip"
	"time"
)

// Kind is the type of an object.
type Kind string

// The kinds of objects.
const (
	KindModel    Kind = "model"
	KindAdapter  Kind = "adapter"
	KindCustomer Kind = "customer"
	KindKey      Kind = "key"
	KindRate     Kind = "rate"
	KindRoute    Kind = "route"
	KindPool     Kind = "pool"
	KindTarget   Kind = "target"
)

// Ref names one object of a set.
type Ref struct {
	// Kind is the type of the object.
	Kind Kind
	// Name is unique among the objects of the same kind.
	Name string
}

// String returns "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Model is a model served by the engines of a pool.
type Model struct {
	// Pool is the name of the pool whose engines load the model.
	Pool string `json:"pool"`
	// Version is the version of the weights; changing it starts a rolling update.
	Version string `json:"version"`
	// MemoryBytes is the accelerator memory that one replica occupies.
	MemoryBytes int64 `json:"memory_bytes"`
	// Replicas is the minimum number of replicas; zero means two if memory
	// allows.
	Replicas int `json:"replicas,omitzero"`
	// MaxRequestTokens limits the prompt and answer tokens of one request
	// together; if it is zero, only the customer's burst limits them.
	MaxRequestTokens int `json:"max_request_tokens,omitzero"`
	// Customers lists the customers that may use the model; empty means all.
	Customers []string `json:"customers,omitzero"`
}

// Adapter is a small set of weights applied on top of a model.
type Adapter struct {
	// Model is the name of the base model.
	Model string `json:"model"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// MemoryBytes is the accelerator memory that the adapter occupies.
	MemoryBytes int64 `json:"memory_bytes"`
	// Customers lists the customers that may use the adapter; empty means those
	// of the model.
	Customers []string `json:"customers,omitzero"`
}

// Customer is a tenant; its callers authenticate with API keys.
type Customer struct {
	// Rate is the name of the customer's rate limit.
	Rate string `json:"rate"`
	// Title is the display name for operators.
	Title string `json:"title,omitzero"`
}

// Key is an API key of a customer; only its hash is stored.
type Key struct {
	// Customer is the name of the customer that owns the key.
	Customer string `json:"customer"`
	// SHA256 is the lower-case hexadecimal SHA-256 hash of the key.
	SHA256 string `json:"sha256"`
}

// Rate is a token bucket limit on the tokens of a customer, across all VMs.
type Rate struct {
	// TokensPerSecond is the refill rate of the bucket.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// BurstTokens is the capacity of the bucket and the cost of the largest
	// request that can be admitted.
	BurstTokens float64 `json:"burst_tokens"`
}

// Class is the priority class of a request.
type Class string

// The priority classes, highest first.
const (
	ClassUrgent     Class = "urgent"
	ClassNormal     Class = "normal"
	ClassBackground Class = "background"
)

// Route maps a path prefix to a pool of plain services.
type Route struct {
	// PathPrefix matches at segment boundaries; the longest match wins.
	PathPrefix string `json:"path_prefix"`
	// Pool is the name of the pool that serves the route.
	Pool string `json:"pool"`
	// Open allows requests without an API key.
	Open bool `json:"open,omitzero"`
	// Repeatable allows a request to be retried after a failure.
	Repeatable bool `json:"repeatable,omitzero"`
	// Class is the class of requests that specify none.
	Class Class `json:"class,omitzero"`
	// Timeout limits the time since the arrival of a request; zero means the
	// default.
	Timeout time.Duration `json:"timeout,omitzero"`
	// MaxBodyBytes limits the size of a request body; zero means the default.
	MaxBodyBytes int64 `json:"max_body_bytes,omitzero"`
	// CostTokens is the number of tokens charged per request.
	CostTokens float64 `json:"cost_tokens,omitzero"`
}

// PoolKind is the type of the targets of a pool.
type PoolKind string

// The kinds of pools.
const (
	PoolEngines PoolKind = "engines"
	PoolService PoolKind = "service"
)

// Pool is a set of targets of one kind.
type Pool struct {
	// Kind is the type of the targets.
	Kind PoolKind `json:"kind"`
	// LoadsPerSecond limits the rate of loads from the weight store.
	LoadsPerSecond float64 `json:"loads_per_second,omitzero"`
	// LoadsAtOnce limits the number of concurrent loads.
	LoadsAtOnce int `json:"loads_at_once,omitzero"`
	// AdapterLoadsAtOnce limits the number of concurrent adapter loads in the
	// fleet.
	AdapterLoadsAtOnce int `json:"adapter_loads_at_once,omitzero"`
}

// Target is an engine or an instance of a plain service.
type Target struct {
	// Pool is the name of the pool that the target belongs to.
	Pool string `json:"pool"`
	// Address is the address that the target listens on.
	Address netip.AddrPort `json:"address"`
	// DataCentre is the data centre of the target's VM.
	DataCentre string `json:"data_centre"`
	// VM is the name of the target's VM; replicas are spread over VMs.
	VM string `json:"vm"`
	// Accelerators is the number of accelerators of an engine.
	Accelerators int `json:"accelerators,omitzero"`
	// MemoryBytes is the accelerator memory of an engine.
	MemoryBytes int64 `json:"memory_bytes,omitzero"`
	// Concurrency limits the number of requests that run concurrently.
	Concurrency int `json:"concurrency,omitzero"`
	// ChecksFencing reports whether the engine rejects outdated fencing tokens.
	ChecksFencing bool `json:"checks_fencing,omitzero"`
}
