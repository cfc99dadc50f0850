package failure

import (
	"net/http"

	"github.com/pkg/errors"
)

// FromBody returns the failure for an error of reading a caller's body:
// BodyTooLarge, RequestTimeout, the failure that a reader on the way gave, or
// BadRequest.
func FromBody(err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return New(BodyTooLarge, "the body is larger than %d bytes", large.Limit)
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return New(RequestTimeout, "the body arrived too slowly")
	}
	return Wrap(BadRequest, err, "the body could not be read")
}
