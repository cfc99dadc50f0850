// Package exchange describes one request of a caller and the answers of
// targets to it, independent of the wire.
package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"fireflypier.example/fireflypier/internal/serving/target"
)

// Request is one request of a caller.
type Request struct {
	// ID is the caller's id of this attempt.
	ID string
	// Method, Host, Path and URI are as the caller sent them; Path has no
	// query, URI is handed on unchanged.
	Method, Host, Path, URI string
	// HostName is Host without its port, in lower case.
	HostName string
	// Header holds what is handed on: no hop-by-hop field, no key, and
	// nothing that only this system may set.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Key is the caller's key.
	Key string
	// Arrival is when the header was read; TimeLimit is how long the caller
	// waits from then, zero if it does not tell.
	Arrival   time.Time
	TimeLimit time.Duration
	// LastEvent is the last event that the caller has; empty for a new stream.
	LastEvent string
	// Model and Adapter name the weights; empty for plain services.
	Model, Adapter string
	// PromptTokens and AnswerTokens are the size that the caller states;
	// Sized tells whether it did.
	PromptTokens, AnswerTokens int
	Sized                      bool
	// Prefix lists the parts of the prompt in order.
	Prefix []PromptPart
}

// Tokens returns the size of a sized request.
func (r *Request) Tokens() int { return r.PromptTokens + r.AnswerTokens }

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	// ID names the part, Tokens is its length.
	ID     string
	Tokens int
}

// Attempt is one sending of a request to a target.
type Attempt struct {
	// Target is where it goes; other incarnations refuse it.
	Target *target.Target
	// TimeLimit is how long the target may work on it.
	TimeLimit time.Duration
	// Customer is told to the target; empty on open routes.
	Customer string
	// Rank orders the request at the target, 0 to policy.MaxRank.
	Rank int
	// LastEvent overrides that of the request.
	LastEvent string
	// Repeatable requests may be sent again by the transport when a kept
	// connection turns out to be closed.
	Repeatable bool
}

// Answer is the head of a target's answer. Close its Body.
type Answer struct {
	// Status and Header are the target's; Header has no hop-by-hop field.
	Status int
	Header http.Header
	// Body ends with an error when the answer is not complete.
	Body io.ReadCloser
	// NotRun tells that the target has not run the request and never will.
	NotRun bool
	// Misdirected tells that another incarnation, or other weights, answered.
	Misdirected bool
	// Signed answers bear the target's signature.
	Signed bool
}

// Handler answers r on w, or returns the failure to be told to the caller. hr
// is the request as the caller sent it.
type Handler func(w http.ResponseWriter, hr *http.Request, r *Request) error

// Sender sends requests to targets.
type Sender interface {
	// Send returns the head of the target's answer. An error wraps
	// transport.NotSentError when the request cannot have left the process;
	// after every other error it may have run.
	Send(ctx context.Context, r *Request, a *Attempt) (*Answer, error)
}
