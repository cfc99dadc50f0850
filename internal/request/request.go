// Package request describes one admitted request inside a gateway.
package request

import (
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"fireflypier.example/fireflypier/internal/auth"
	"fireflypier.example/fireflypier/internal/catalog"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/prefix"
)

// bytesPerToken is the estimate by which prompts are charged.
const bytesPerToken = 4

// Permit tells whether a request may still be dispatched.
type Permit interface {
	// Check returns the reason for which the request must not be sent.
	Check() error
}

// Request is one admitted generation. It belongs to one goroutine.
type Request struct {
	// ID is given back to the caller as X-Request-Id.
	ID string
	// Ticket tells for whom the request runs.
	Ticket auth.Ticket
	// Weights names the model, adapter and pool.
	Weights catalog.Weights
	// Class orders waiting requests.
	Class object.Class
	// Prompt and Sampling are raw JSON from the caller.
	Prompt   jsontext.Value
	Sampling jsontext.Value
	// Prefix holds the block hashes of the prompt.
	Prefix prefix.Hashes
	// MaxTokens bounds the answer.
	MaxTokens int
	// NotRepeatable forbids another attempt after one that may have run.
	NotRepeatable bool
	// Permit, when set, is asked right before each attempt.
	Permit Permit
	// Arrival and Deadline bound the request in time.
	Arrival  time.Time
	Deadline time.Time
}

// PromptTokens returns the estimated tokens of the prompt.
func (r *Request) PromptTokens() int {
	return (len(r.Prompt) + bytesPerToken - 1) / bytesPerToken
}

// Cost returns the tokens charged at admission: the prompt and the whole
// allowed answer.
func (r *Request) Cost() float64 { return float64(r.PromptTokens() + r.MaxTokens) }

// Priority returns the engine's priority of the request's class; lower runs
// first.
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
