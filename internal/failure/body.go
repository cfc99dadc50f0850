package failure

import (
	"net/http"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/serving/buffermemory"
)

// FromBody converts an error from reading a request body: an *Error in the chain
// is returned as it is, other errors become BodyTooLarge, RequestTimeout or
// BadRequest.
func FromBody(err error) *Error {
	var failed *Error
	if errors.As(err, &failed) {
		return failed
	}
	if errors.Is(err, buffermemory.ErrFull) {
		return Wrap(Overloaded, err, "too many bodies are being read")
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
