// Package exchange defines a caller's request and a target's answer
// independently of the wire protocol.
package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/fingerprint"
	"fireflypier.example/fireflypier/internal/serving/target"
)

// Request is one request of a caller.
type Request struct {
	// ID is the caller's ID for this attempt.
	ID string
	// Method, Host, Path and URI are as the caller sent them; Path has no
	// query, URI is forwarded unchanged.
	Method, Host, Path, URI string
	// HostName is Host without its port, in lower case.
	HostName string
	// Header holds the forwarded fields: no hop-by-hop field, no key, and no
	// field that only this system may set.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Key is the caller's key; empty if it sent none.
	Key string
	// Arrival is when the header was read; TimeLimit is how long the caller
	// waits from then, zero if it sets no limit.
	Arrival   time.Time
	TimeLimit time.Duration
	// LastEvent is the ID of the last event that the caller has received;
	// empty for a new stream.
	LastEvent string
	// Model and Adapter name the weights; empty for plain services.
	Model, Adapter string
	// PromptTokens and AnswerTokens are the size that the caller states; Sized
	// is set if it states one.
	PromptTokens, AnswerTokens int
	Sized                      bool
	// Prefix lists the parts of the prompt that may be shared, in order.
	Prefix []PromptPart
	// Fingerprint recognizes the request when it comes again; zero until its caller is known.
	Fingerprint fingerprint.Fingerprint
}

// Tokens returns the size that the caller states for prompt and answer.
func (r *Request) Tokens() int { return r.PromptTokens + r.AnswerTokens }

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	// ID identifies the part, Tokens is its length.
	ID     string
	Tokens int
}

// Attempt is one send of a request to a target.
type Attempt struct {
	// Target is the incarnation to send to; other incarnations refuse the
	// request.
	Target *target.Target
	// TimeLimit is how long the target may work on the request.
	TimeLimit time.Duration
	// Customer is sent to the target; empty if the request has no customer,
	// as on open routes without a key.
	Customer string
	// Rank orders requests at the target, from 0, the most urgent, to
	// policy.MaxRank.
	Rank int
	// LastEvent overrides that of the request unless it is empty.
	LastEvent string
}

// ErrOtherAnswer means that the target answered another request than the one that was sent.
// What was sent may have run, also if the answer says that it has not.
var ErrOtherAnswer = errors.New("the answer belongs to another request")

// Answer is the header of a target's answer, with its body still to be read.
// The receiver must close Body.
type Answer struct {
	// Status and Header are the target's; Header has no hop-by-hop fields.
	Status int
	Header http.Header
	// Body ends with an error if the answer is truncated.
	Body io.ReadCloser
	// NotRun is set if the target has not run the request and never will.
	NotRun bool
	// Refusal is set if callers take the status for a promise that the request has not
	// run. Without NotRun, the target has not made that promise.
	Refusal bool
	// Misdirected is set if another incarnation answered, or an engine without
	// the weights. By itself it does not mean NotRun.
	Misdirected bool
	// Signed is set if the answer has the target's signature.
	Signed bool
	target.Marks
}

// Handler answers r on w, or returns the failure that the caller gets. hr is the
// request as the caller sent it.
type Handler func(w http.ResponseWriter, hr *http.Request, r *Request) error

// Sender sends requests to targets.
type Sender interface {
	// Send returns once the header of the target's answer has arrived. An error
	// wraps transport.NotSentError if the request cannot have left the process;
	// after any other error it may have run; the error wraps ErrOtherAnswer if the target
	// lives. All sends of a request have the same
	// transport.History in ctx, which keeps the answers to its attempts apart.
	Send(ctx context.Context, r *Request, a *Attempt) (*Answer, error)
}
