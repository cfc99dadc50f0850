package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
)

// Stream reads the frames of one generation. It belongs to one goroutine.
type Stream struct {
	attemptID string
	body      io.ReadCloser
	r         *bufio.Reader
	long      []byte
	cancel    context.CancelCauseFunc
	watch     *watch
	timeout   time.Duration
	begun     bool
	stalled   bool
	foreign   int
}

var dataPrefix = []byte("data: ")

// Next reads the next frame of this attempt into f. Frames of other attempts
// are dropped and counted. The error is OutcomeUnknown when the stream ends,
// breaks or stalls before its last frame.
func (s *Stream) Next(f *Frame) error {
	for {
		line, err := s.line()
		if err != nil {
			return err
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

// line returns the next line; it is valid until the next call.
func (s *Stream) line() ([]byte, error) {
	line, err := s.slice()
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	s.long = append(s.long[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(s.long) > maxFrameBytes {
			return nil, failure.New(failure.OutcomeUnknown, "engine frame is larger than %d bytes", maxFrameBytes)
		}
		line, err = s.slice()
		s.long = append(s.long, line...)
	}
	return s.long, err
}

// slice reads up to the next end of line within the frame timeout; the first
// read goes on with the longer one of Generate. A part of a line at the end
// of the stream is dropped.
func (s *Stream) slice() ([]byte, error) {
	if s.begun && s.WouldBlock() {
		s.watch.arm(s.timeout)
	}
	s.begun = true
	line, err := s.r.ReadSlice('\n')
	s.watch.stop()
	switch {
	case err == nil, errors.Is(err, bufio.ErrBufferFull):
		return line, err
	case s.expired():
		s.stalled = true
		return nil, failure.Wrap(failure.OutcomeUnknown, errStalled, "engine stream stalled")
	}
	return nil, failure.Wrap(failure.OutcomeUnknown, err, "engine stream broke")
}

func (s *Stream) expired() bool {
	s.watch.mu.Lock()
	defer s.watch.mu.Unlock()
	return s.watch.fired
}

// WouldBlock reports whether Next would wait for the engine, since no whole event
// has arrived yet.
func (s *Stream) WouldBlock() bool {
	buffered, _ := s.r.Peek(s.r.Buffered())
	return bytes.IndexByte(bytes.TrimLeft(buffered, "\r\n"), '\n') < 0
}

// DroppedFrames returns the number of frames dropped because they belonged to
// another attempt.
func (s *Stream) DroppedFrames() int { return s.foreign }

// Stalled reports whether the stream ended because no frame came in time.
func (s *Stream) Stalled() bool { return s.stalled }

// Close ends the stream; the engine cancels the work when it is unfinished
// and learns of it. A stream over a broken network needs Client.Cancel.
func (s *Stream) Close() error {
	s.watch.stop()
	s.cancel(nil)
	return s.body.Close()
}
