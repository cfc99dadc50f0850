package callerapi

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/failure"
)

// errorBody is the error object of the OpenAI API, with not_run added.
type errorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	NotRun  bool    `json:"not_run"`
}

func bodyOf(e *failure.Error) errorBody {
	a := e.Answer()
	return errorBody{Message: e.Message, Type: a.Type, Code: a.Code, NotRun: a.NotRun}
}

// WriteError answers a request that has not been answered yet with the row
// of the answer table for err.
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
	}{bodyOf(e)})
}

// RawError returns the status and the JSON body of the answer for e, for a
// listener that answers without a handler.
func RawError(e *failure.Error) (status int, body []byte) {
	body, err := json.Marshal(struct {
		Error errorBody `json:"error"`
	}{bodyOf(e)})
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return e.Answer().Status, body
}

// retrySeconds rounds up, so that a caller who obeys is not refused again.
func retrySeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
