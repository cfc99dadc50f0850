// Package request defines the generation request that a gateway has admitted.
package request

import (
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"fireflypier.example/fireflypier/internal/auth"
	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/prefix"
)

// bytesPerToken is the estimate of the prompt bytes per token, by which prompts
// are charged.
const bytesPerToken = 4

// Permit decides whether a request may still be dispatched.
type Permit interface {
	// Check returns an error if the request must not be sent any more.
	Check() error
}

// Request is an admitted generation request. It is not safe for concurrent use.
type Request struct {
	// ID is returned to the caller as X-Request-Id.
	ID string
	// Ticket identifies the customer.
	Ticket auth.Ticket
	// Weights is the model, adapter and pool.
	Weights catalog.Weights
	// Class is the priority class, which orders waiting requests.
	Class object.Class
	// Prompt and Sampling are raw JSON from the caller's request.
	Prompt   jsontext.Value
	Sampling jsontext.Value
	// Prefix is the chained block hashes of the prompt.
	Prefix prefix.Hashes
	// MaxTokens is the maximum number of generated tokens.
	MaxTokens int
	// NotRepeatable disables retries after an attempt that may have run.
	NotRepeatable bool
	// Permit is checked right before each attempt; nil allows every attempt.
	Permit Permit
	// Arrival is when the request arrived, Deadline when it expires.
	Arrival  time.Time
	Deadline time.Time
}

// PromptTokens returns the estimated number of tokens in the prompt.
func (r *Request) PromptTokens() int {
	return (len(r.Prompt) + bytesPerToken - 1) / bytesPerToken
}

// Cost returns the tokens charged at admission: those of the prompt and
// MaxTokens.
func (r *Request) Cost() float64 { return float64(r.PromptTokens() + r.MaxTokens) }

// Priority returns the engine priority of the request's class; a lower value
// runs first.
func (r *Request) Priority() int {
	switch r.Class {
	case object.ClassUrgent:
		return 0
	case object.ClassBackground:
		return 2
	default:
		return 1
	}
}
