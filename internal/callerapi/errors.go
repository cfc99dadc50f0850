package callerapi

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/failure"
)

// errorBody is the error object of the OpenAI API with the additional field
// not_run, which is true if the request has certainly not run.
type errorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	NotRun  bool    `json:"not_run"`
}

func newErrorBody(e *failure.Error) errorBody {
	a := e.Answer()
	return errorBody{Message: e.Message, Type: a.Type, Code: a.Code, NotRun: a.NotRun}
}

// WriteError writes the error response for err, with the status, type and code
// that package failure defines for its kind. Nothing may have been written to w.
func WriteError(w http.ResponseWriter, err error) {
	e := failure.From(err)
	a := e.Answer()
	w.Header().Set("Content-Type", "application/json")
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retrySeconds(a.RetryAfter)))
	}
	w.WriteHeader(a.Status)
	_ = json.MarshalWrite(w, struct {
		Error errorBody `json:"error"`
	}{newErrorBody(e)})
}

// RawError returns the status and the JSON body of the error response for e. It
// is for responses that a listener writes without an http.Handler. If encoding
// fails, it returns status 500 without a body.
func RawError(e *failure.Error) (status int, body []byte) {
	body, err := json.Marshal(struct {
		Error errorBody `json:"error"`
	}{newErrorBody(e)})
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return e.Answer().Status, body
}

// retrySeconds rounds d up to whole seconds, so that a caller that respects
// Retry-After does not retry too early.
func retrySeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
