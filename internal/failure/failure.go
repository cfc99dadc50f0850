// Package failure defines the error kinds of the system and maps each kind to
// the answer that a caller or an operator receives.
package failure

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind classifies the ways in which a request or an edit can fail. Every Kind has
// exactly one row in the answer table.
type Kind int

// The error kinds. docs/API.md describes each of them.
const (
	// Internal is an error in fireflypier itself; it is unknown whether the work
	// ran.
	Internal Kind = iota
	// BadRequest is a malformed request.
	BadRequest
	// BodyTooLarge is a body above the configured limit.
	BodyTooLarge
	// HeaderTooLarge is a header above the configured limit.
	HeaderTooLarge
	// RequestTimeout is a request whose header or body was not received in time.
	RequestTimeout
	// MissingKey is a request without a key to a route that requires one.
	MissingKey
	// InvalidKey is a key that is unknown or has been withdrawn.
	InvalidKey
	// Forbidden is a request for an object that the customer may not use.
	Forbidden
	// UnknownModel is a model or adapter name that is not configured.
	UnknownModel
	// UnknownRoute is a path that matches no route.
	UnknownRoute
	// MethodNotAllowed is a method that the path does not support.
	MethodNotAllowed
	// RequestTooCostly is a request that costs more tokens than the customer's
	// burst.
	RequestTooCostly
	// RateExceeded is a request beyond the customer's rate and burst.
	RateExceeded
	// Overloaded is a gateway or pool without capacity for more waiting requests.
	Overloaded
	// DeadlineExceeded is a request that was still waiting at its deadline.
	DeadlineExceeded
	// NoReplica is a model without a usable target.
	NoReplica
	// Quarantined is a request with a part of a prompt on which engines crash.
	Quarantined
	// StaleConfiguration is a gateway whose configuration has not been confirmed
	// within the freshness bound.
	StaleConfiguration
	// StoreUnavailable is an operation that needs the platform while the platform
	// is unavailable.
	StoreUnavailable
	// Leaving is a process that is shutting down and accepts no new work.
	Leaving
	// OutcomeUnknown is work that may have run, completely or in part.
	OutcomeUnknown
	// TargetFailed is a failure of a target after the work has started.
	TargetFailed
	// RequestIDReused is a request id that was used before for another request.
	RequestIDReused
	// AnswerNotKept is a repeated request; the first one ran, but its answer was
	// too large to record.
	AnswerNotKept
	// Conflict is an edit that conflicts with a newer one, or a conditional write
	// whose row has changed.
	Conflict
	// InvalidObjects is a set of objects that fails validation.
	InvalidObjects
	// Unauthorized is an operator request without a valid operator token.
	Unauthorized
	// NotFound is an object, revision or dump that does not exist.
	NotFound
	// Canceled is a request whose caller disconnected before the answer.
	Canceled

	kindCount
)

// Answer is the HTTP answer for a Kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Type is the error.type of the body.
	Type string
	// Code is the error.code of the body.
	Code string
	// NotRun is true when it is certain that the work did not run.
	NotRun bool
	// RetryAfter is the default value of the Retry-After header; zero omits the
	// header.
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
	Quarantined:        {http.StatusServiceUnavailable, typeServer, "prompt_quarantined", true, 30 * time.Second},
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

// Answer returns the row of the answer table for k, and the row of Internal for
// an undefined kind.
func (k Kind) Answer() Answer {
	if k < 0 || k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the error code of k.
func (k Kind) String() string { return k.Answer().Code }

// Kinds returns all kinds in the order of their declaration.
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
	// Message is sent to the caller and must not contain an API key.
	Message string
	// RetryAfter overrides that of the answer table when it is above zero.
	RetryAfter time.Duration
	cause      error
}

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k with a formatted message and err as its cause.
// The cause is logged but not sent to callers.
func Wrap(k Kind, err error, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), cause: err}
}

// WithRetryAfter sets e.RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the code, the message and the cause, separated by colons.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.Kind.String() + ": " + e.Message
	}
	return e.Kind.String() + ": " + e.Message + ": " + e.cause.Error()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Answer returns the answer for the kind of e, with RetryAfter of e if set.
func (e *Error) Answer() Answer {
	a := e.Kind.Answer()
	if e.RetryAfter > 0 {
		a.RetryAfter = e.RetryAfter
	}
	return a
}

// From returns the first *Error in the chain of err, or wraps err as Internal if
// there is none.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "internal error")
}

// Is reports whether the first *Error in the chain of err has kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
