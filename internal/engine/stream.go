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

// Stream reads the frames of one generation. It is not safe for concurrent use.
type Stream struct {
	attemptID     string
	body          io.ReadCloser
	r             *bufio.Reader
	longLine      []byte
	cancel        context.CancelCauseFunc
	stallTimer    *stallTimer
	timeout       time.Duration
	started       bool
	stalled       bool
	droppedFrames int
}

var dataPrefix = []byte("data: ")

// Next reads the next frame of this attempt into f. Frames of other attempts are
// dropped and counted. The error is OutcomeUnknown if the stream ends, breaks or
// stalls before the last frame, or if a frame is malformed or larger than 1 MiB.
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
			return failure.Wrap(failure.OutcomeUnknown, err, "malformed engine frame")
		}
		if f.AttemptID == s.attemptID {
			return nil
		}
		s.droppedFrames++
	}
}

// line returns the next line. The slice is valid until the next call.
func (s *Stream) line() ([]byte, error) {
	line, err := s.readSlice()
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	s.longLine = append(s.longLine[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(s.longLine) > maxFrameBytes {
			return nil, failure.New(failure.OutcomeUnknown, "engine frame is larger than %d bytes", maxFrameBytes)
		}
		line, err = s.readSlice()
		s.longLine = append(s.longLine, line...)
	}
	return s.longLine, err
}

// readSlice reads up to the next end of line or until the buffer is full, within
// the frame timeout. For the first read, the timeout armed by Generate still
// runs. An incomplete line at the end of the stream is dropped.
func (s *Stream) readSlice() ([]byte, error) {
	if s.started && s.WouldBlock() {
		s.stallTimer.arm(s.timeout)
	}
	s.started = true
	line, err := s.r.ReadSlice('\n')
	s.stallTimer.stop()
	switch {
	case err == nil, errors.Is(err, bufio.ErrBufferFull):
		return line, err
	case s.expired():
		s.stalled = true
		return nil, failure.Wrap(failure.OutcomeUnknown, errStalled, "engine stream stalled")
	}
	return nil, failure.Wrap(failure.OutcomeUnknown, err, "engine stream interrupted")
}

func (s *Stream) expired() bool {
	s.stallTimer.mu.Lock()
	defer s.stallTimer.mu.Unlock()
	return s.stallTimer.fired
}

// WouldBlock reports whether Next would wait for the engine because no complete
// event is buffered.
func (s *Stream) WouldBlock() bool {
	buffered, _ := s.r.Peek(s.r.Buffered())
	return bytes.IndexByte(bytes.TrimLeft(buffered, "\r\n"), '\n') < 0
}

// DroppedFrames returns the number of frames that were dropped because they
// belong to another attempt.
func (s *Stream) DroppedFrames() int { return s.droppedFrames }

// Stalled reports whether the stream ended because of a frame timeout.
func (s *Stream) Stalled() bool { return s.stalled }

// Close closes the stream. If it is unfinished, the engine cancels the work when
// it detects the closed connection. It cannot detect this if the network is
// broken; then Client.Cancel is needed.
func (s *Stream) Close() error {
	s.stallTimer.stop()
	s.cancel(nil)
	return s.body.Close()
}
