// Package object defines the named objects that operators edit and checks a
// whole set of them for consistency.
package object

import (
	"net/netip"
	"time"
)

// Kind names a family of objects.
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
	// Kind is the family.
	Kind Kind
	// Name is unique within the family.
	Name string
}

// String returns "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Model is a model that the engines of a pool serve.
type Model struct {
	// Pool names the target pool whose engines load the model.
	Pool string `json:"pool"`
	// Version is the version of the weights; a change rolls the model.
	Version string `json:"version"`
	// MemoryBytes is the accelerator memory that one replica takes.
	MemoryBytes int64 `json:"memory_bytes"`
	// Replicas is the number of replicas wanted at least; zero means two
	// where memory allows.
	Replicas int `json:"replicas,omitzero"`
	// MaxRequestTokens bounds prompt and answer of one request together;
	// zero means no bound but the customer's burst.
	MaxRequestTokens int `json:"max_request_tokens,omitzero"`
	// Customers lists who may use the model; empty means every customer.
	Customers []string `json:"customers,omitzero"`
}

// Adapter is a small set of weights applied over a model.
type Adapter struct {
	// Model names the model that the adapter belongs to.
	Model string `json:"model"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// MemoryBytes is the accelerator memory that the adapter takes.
	MemoryBytes int64 `json:"memory_bytes"`
	// Customers lists who may use the adapter; empty means every customer.
	Customers []string `json:"customers,omitzero"`
}

// Customer is a tenant whose callers present keys.
type Customer struct {
	// Rate names the rate that bounds the customer.
	Rate string `json:"rate"`
	// Title is shown to operators.
	Title string `json:"title,omitzero"`
}

// Key is an API key of a customer; only its hash is kept.
type Key struct {
	// Customer names the owner.
	Customer string `json:"customer"`
	// SHA256 is the lower-case hexadecimal SHA-256 hash of the key.
	SHA256 string `json:"sha256"`
}

// Rate bounds the tokens of a customer, counted over all VMs.
type Rate struct {
	// TokensPerSecond is the sustained rate.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// BurstTokens is the size of the bucket, and so the largest request.
	BurstTokens float64 `json:"burst_tokens"`
}

// Class orders waiting requests.
type Class string

// The classes, most pressing first.
const (
	ClassUrgent     Class = "urgent"
	ClassNormal     Class = "normal"
	ClassBackground Class = "background"
)

// Route maps a path prefix to a pool.
type Route struct {
	// PathPrefix is matched at segment boundaries; the longest match wins.
	PathPrefix string `json:"path_prefix"`
	// Pool names the target pool.
	Pool string `json:"pool"`
	// Open allows requests without a key.
	Open bool `json:"open,omitzero"`
	// Repeatable allows a request to be sent again after a failure.
	Repeatable bool `json:"repeatable,omitzero"`
	// Class is the class of requests that do not name one.
	Class Class `json:"class,omitzero"`
	// Timeout bounds a request from its arrival; zero means the default.
	Timeout time.Duration `json:"timeout,omitzero"`
	// MaxBodyBytes bounds the request body; zero means the default.
	MaxBodyBytes int64 `json:"max_body_bytes,omitzero"`
	// CostTokens is charged for a request to a plain service.
	CostTokens float64 `json:"cost_tokens,omitzero"`
}

// PoolKind tells what the targets of a pool are.
type PoolKind string

// The kinds of pools.
const (
	PoolEngines PoolKind = "engines"
	PoolService PoolKind = "service"
)

// Pool is a set of targets of one kind.
type Pool struct {
	// Kind tells engines from plain services.
	Kind PoolKind `json:"kind"`
	// LoadsPerSecond bounds the loads from the weight store.
	LoadsPerSecond float64 `json:"loads_per_second,omitzero"`
	// LoadsAtOnce bounds the loads under way at the same time.
	LoadsAtOnce int `json:"loads_at_once,omitzero"`
	// AdapterLoadsAtOnce bounds the adapter loads under way, fleet-wide.
	AdapterLoadsAtOnce int `json:"adapter_loads_at_once,omitzero"`
}

// Target is one engine or one plain service.
type Target struct {
	// Pool names the pool that the target belongs to.
	Pool string `json:"pool"`
	// Address is where the target listens.
	Address netip.AddrPort `json:"address"`
	// DataCentre is the data centre of the target's VM.
	DataCentre string `json:"data_centre"`
	// VM names the machine; replicas are spread over VMs.
	VM string `json:"vm"`
	// Accelerators is the number of accelerators of an engine.
	Accelerators int `json:"accelerators,omitzero"`
	// MemoryBytes is the accelerator memory of an engine.
	MemoryBytes int64 `json:"memory_bytes,omitzero"`
	// Concurrency bounds the requests that run at once.
	Concurrency int `json:"concurrency,omitzero"`
	// ChecksFencing tells whether the engine refuses old fencing numbers.
	ChecksFencing bool `json:"checks_fencing,omitzero"`
}
