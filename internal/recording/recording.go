// Package recording records answers to requests, so that a repeated request
// receives the answer to the first one.
package recording

import (
	"maps"
	"net/http"
	"slices"
)

// Answer is a recorded answer.
type Answer struct {
	// Status and Header are the HTTP status code and header.
	Status int         `json:"status"`
	Header http.Header `json:"header,omitzero"`
	// Body is the complete body; empty when Omitted is set.
	Body []byte `json:"body,omitzero"`
	// Omitted is true when the body was too large to record.
	Omitted bool `json:"omitted,omitzero"`
}

// Write writes a to w.
func (a *Answer) Write(w http.ResponseWriter) {
	maps.Copy(w.Header(), a.Header)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// Recorder is an http.ResponseWriter that forwards an answer and records it if
// its body is small enough. It is not safe for concurrent use.
type Recorder struct {
	http.ResponseWriter
	answer   Answer
	maxBytes int
}

// NewRecorder returns a recorder that forwards to w and records bodies of up to
// maxBytes bytes.
func NewRecorder(w http.ResponseWriter, maxBytes int) *Recorder {
	return &Recorder{ResponseWriter: w, maxBytes: maxBytes}
}

// WriteHeader records the first status and the header, and forwards status.
func (r *Recorder) WriteHeader(status int) {
	if r.answer.Status == 0 {
		r.answer.Status = status
		r.answer.Header = cloneHeader(r.Header())
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write records data, unless the body exceeds the limit, and forwards it.
func (r *Recorder) Write(data []byte) (int, error) {
	if r.answer.Status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	r.record(data)
	return r.ResponseWriter.Write(data)
}

func (r *Recorder) record(data []byte) {
	if r.answer.Omitted {
		return
	}
	if len(r.answer.Body)+len(data) > r.maxBytes {
		r.answer.Omitted = true
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, data...)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (r *Recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// Answer returns the recorded answer. Its Status is zero before the first write.
func (r *Recorder) Answer() *Answer { return &r.answer }

func cloneHeader(h http.Header) http.Header {
	clone := make(http.Header, len(h))
	for name, values := range h {
		clone[name] = slices.Clone(values)
	}
	return clone
}
