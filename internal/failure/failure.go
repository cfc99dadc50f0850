// Package failure holds the closed list of error kinds and the table from
// each kind to the answer that a caller or an operator receives.
package failure

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind names one way in which a request or an edit can fail. The list is
// closed: every Kind has exactly one row in the answer table.
type Kind int

// The closed list of error kinds. docs/API.md describes each of them.
const (
	// Internal is a fault of fireflypier itself; whether work ran is unknown.
	Internal Kind = iota
	// BadRequest is a malformed request.
	BadRequest
	// BodyTooLarge is a body above the configured bound.
	BodyTooLarge
	// HeaderTooLarge is a header above the configured bound.
	HeaderTooLarge
	// RequestTimeout is a request whose header or body arrived too slowly.
	RequestTimeout
	// MissingKey is a keyed route called without a key.
	MissingKey
	// InvalidKey is a key that is unknown or withdrawn.
	InvalidKey
	// Forbidden is a key whose customer may not use the named object.
	Forbidden
	// UnknownModel is a model or adapter name that no object carries.
	UnknownModel
	// UnknownRoute is a path that no route covers.
	UnknownRoute
	// MethodNotAllowed is a known path called with another method.
	MethodNotAllowed
	// RequestTooCostly is a request that costs more tokens than the burst.
	RequestTooCostly
	// RateExceeded is a customer above its rate and burst.
	RateExceeded
	// Overloaded is a gateway or pool with no room for more waiting work.
	Overloaded
	// DeadlineExceeded is a request that waited longer than its deadline.
	DeadlineExceeded
	// NoReplica is a model without a usable target.
	NoReplica
	// StaleConfiguration is a gateway whose configuration nobody vouches for.
	StaleConfiguration
	// StoreUnavailable is an operation that needs the platform while it is out.
	StoreUnavailable
	// Leaving is a process that shuts down and takes no new work.
	Leaving
	// OutcomeUnknown is work that may have run, wholly or in part.
	OutcomeUnknown
	// TargetFailed is a target's failure after the work had begun.
	TargetFailed
	// RequestIDReused is a request id presented with another body.
	RequestIDReused
	// AnswerNotKept is a repeated request whose first answer was too large to
	// keep; it ran.
	AnswerNotKept
	// Conflict is an edit that overlaps a newer one.
	Conflict
	// InvalidObjects is a set of objects that fails its check.
	InvalidObjects
	// Unauthorized is an operator without a valid operator token.
	Unauthorized
	// NotFound is an object, revision or dump that does not exist.
	NotFound
	// Canceled is a caller that left before the answer.
	Canceled

	kindCount
)

// Answer is what a caller sees for a Kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Type is the error.type of the body.
	Type string
	// Code is the error.code of the body.
	Code string
	// NotRun is true when the work certainly did not run.
	NotRun bool
	// RetryAfter is the default advice; zero sends no Retry-After header.
	RetryAfter time.Duration
}

const (
	typeInvalid = "invalid_request_error"
	typeAuth    = "authentication_error"
	typeRate    = "rate_limit_error"
	typeServer  = "server_error"
)

var answers = [kindCount]Answer{
	Internal:           {http.StatusInternalServerError, typeServer, "internal", false, 0},
	BadRequest:         {http.StatusBadRequest, typeInvalid, "bad_request", true, 0},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, typeInvalid, "body_too_large", true, 0},
	HeaderTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, typeInvalid, "header_too_large", true, 0},
	RequestTimeout:     {http.StatusRequestTimeout, typeInvalid, "request_timeout", true, 0},
	MissingKey:         {http.StatusUnauthorized, typeAuth, "missing_api_key", true, 0},
	InvalidKey:         {http.StatusUnauthorized, typeAuth, "invalid_api_key", true, 0},
	Forbidden:          {http.StatusForbidden, "permission_error", "forbidden", true, 0},
	UnknownModel:       {http.StatusNotFound, typeInvalid, "model_not_found", true, 0},
	UnknownRoute:       {http.StatusNotFound, typeInvalid, "route_not_found", true, 0},
	MethodNotAllowed:   {http.StatusMethodNotAllowed, typeInvalid, "method_not_allowed", true, 0},
	RequestTooCostly:   {http.StatusBadRequest, typeInvalid, "request_exceeds_burst", true, 0},
	RateExceeded:       {http.StatusTooManyRequests, typeRate, "rate_limit_exceeded", true, time.Second},
	Overloaded:         {http.StatusServiceUnavailable, typeServer, "overloaded", true, time.Second},
	DeadlineExceeded:   {http.StatusServiceUnavailable, typeServer, "deadline_exceeded", true, time.Second},
	NoReplica:          {http.StatusServiceUnavailable, typeServer, "no_replica", true, 2 * time.Second},
	StaleConfiguration: {http.StatusServiceUnavailable, typeServer, "stale_configuration", true, time.Second},
	StoreUnavailable:   {http.StatusServiceUnavailable, typeServer, "store_unavailable", true, 2 * time.Second},
	Leaving:            {http.StatusServiceUnavailable, typeServer, "leaving", true, time.Second},
	OutcomeUnknown:     {http.StatusBadGateway, typeServer, "outcome_unknown", false, 0},
	TargetFailed:       {http.StatusBadGateway, typeServer, "target_failed", false, 0},
	RequestIDReused:    {http.StatusUnprocessableEntity, typeInvalid, "idempotency_key_reused", true, 0},
	AnswerNotKept:      {http.StatusGone, typeInvalid, "answer_not_kept", false, 0},
	Conflict:           {http.StatusConflict, typeInvalid, "edit_conflict", true, 0},
	InvalidObjects:     {http.StatusUnprocessableEntity, typeInvalid, "invalid_objects", true, 0},
	Unauthorized:       {http.StatusUnauthorized, typeAuth, "operator_unauthorized", true, 0},
	NotFound:           {http.StatusNotFound, typeInvalid, "not_found", true, 0},
	Canceled:           {499, typeInvalid, "canceled", false, 0},
}

// Answer returns the row of the answer table for k. An unknown k is answered
// like Internal.
func (k Kind) Answer() Answer {
	if k < 0 || k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the error code of k.
func (k Kind) String() string { return k.Answer().Code }

// Kinds returns every kind of the closed list in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is an error with a Kind.
type Error struct {
	// Kind selects the answer.
	Kind Kind
	// Message is shown to the caller; it never contains a key.
	Message string
	// RetryAfter overrides the advice of the table when it is above zero.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k that keeps err as its cause. The cause is
// logged but not shown to callers.
func Wrap(k Kind, err error, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), cause: err}
}

// WithRetryAfter sets the advice of e and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the code, the message and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.Kind.String() + ": " + e.Message
	}
	return e.Kind.String() + ": " + e.Message + ": " + e.cause.Error()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Answer returns the answer for e, its own advice included.
func (e *Error) Answer() Answer {
	a := e.Kind.Answer()
	if e.RetryAfter > 0 {
		a.RetryAfter = e.RetryAfter
	}
	return a
}

// From returns err as an *Error; an error without a kind becomes Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal error")
}

// Is reports whether err carries the kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
