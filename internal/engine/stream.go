package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/failure"
)

// Stream reads the frames of one generation. It belongs to one goroutine.
type Stream struct {
	attemptID string
	body      io.ReadCloser
	r         *bufio.Reader
	foreign   int
}

var dataPrefix = []byte("data: ")

// Next reads the next frame of this attempt into f. Frames of other attempts
// are dropped and counted. The error is OutcomeUnknown when the stream ends
// or breaks before its last frame.
func (s *Stream) Next(f *Frame) error {
	for {
		line, err := s.r.ReadSlice('\n')
		if err != nil {
			return failure.Wrap(failure.OutcomeUnknown, err, "engine stream broke")
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		*f = Frame{}
		if err := json.Unmarshal(data, f); err != nil {
			return failure.Wrap(failure.OutcomeUnknown, err, "engine frame is malformed")
		}
		if f.AttemptID == s.attemptID {
			return nil
		}
		s.foreign++
	}
}

// Foreign returns the number of frames dropped because they belonged to
// another attempt.
func (s *Stream) Foreign() int { return s.foreign }

// Close ends the stream; the engine cancels the work when it is unfinished.
func (s *Stream) Close() error { return s.body.Close() }
