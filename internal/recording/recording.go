// Package recording keeps answers, so that a repeated request receives the
// answer of the first.
package recording

import (
	"maps"
	"net/http"
	"slices"
)

// Answer is a recorded answer.
type Answer struct {
	// Status and Header are the answer's.
	Status int         `json:"status"`
	Header http.Header `json:"header,omitzero"`
	// Body is the whole body; it is absent when Omitted is set.
	Body []byte `json:"body,omitzero"`
	// Omitted marks an answer whose body was too large to keep.
	Omitted bool `json:"omitted,omitzero"`
}

// Write answers a request with a.
func (a *Answer) Write(w http.ResponseWriter) {
	maps.Copy(w.Header(), a.Header)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// Recorder passes an answer on and keeps it up to a bound. It belongs to one
// goroutine.
type Recorder struct {
	http.ResponseWriter
	answer Answer
	bound  int
}

// NewRecorder returns a recorder that keeps bodies of up to bound bytes.
func NewRecorder(w http.ResponseWriter, bound int) *Recorder {
	return &Recorder{ResponseWriter: w, bound: bound}
}

// WriteHeader keeps the header and passes it on.
func (r *Recorder) WriteHeader(status int) {
	if r.answer.Status == 0 {
		r.answer.Status = status
		r.answer.Header = cloneHeader(r.Header())
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write keeps the data, if the bound allows, and passes it on.
func (r *Recorder) Write(data []byte) (int, error) {
	if r.answer.Status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	r.keep(data)
	return r.ResponseWriter.Write(data)
}

func (r *Recorder) keep(data []byte) {
	if r.answer.Omitted {
		return
	}
	if len(r.answer.Body)+len(data) > r.bound {
		r.answer.Omitted = true
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, data...)
}

// Unwrap lets http.ResponseController reach the underlying writer.
func (r *Recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// Answer returns what was kept.
func (r *Recorder) Answer() *Answer { return &r.answer }

func cloneHeader(h http.Header) http.Header {
	clone := make(http.Header, len(h))
	for name, values := range h {
		clone[name] = slices.Clone(values)
	}
	return clone
}
