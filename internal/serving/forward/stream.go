package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/exchange"
	"fireflypier.example/fireflypier/internal/serving/fleetview"
)

const (
	streamBufferBytes = 2 << 10  // several events of a model
	maxEventBytes     = 64 << 10 // events of models are shorter
	// maxUnnumberedBytes bounds the events without a number that a target sends in
	// one answer: they show no progress and may come without end.
	maxUnnumberedBytes = 64 << 10
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
	// dataField begins a line of data; other fields and comments show the caller nothing.
	dataField = []byte("data")
)

// stream writes the events of a streamed answer to the caller. It writes only
// whole events, each once and in order, whichever target they come from.
type stream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// last is the ID of the last numbered event written; hasLast is set once
	// there is one.
	last    int64
	hasLast bool
	// pending is the start of an event that has not arrived completely.
	pending []byte
	// unnumbered counts the bytes of events without a number in this answer, begun is set
	// once a whole event of it has arrived.
	unnumbered int
	begun      bool
	// held is data without a number, up to the next event with one, if holds is set: another
	// target could not go on after it.
	holds bool
	held  []byte
}

// resumeAt returns the ID of the event after which another target resumes the
// stream, or an empty string before the first numbered event.
func (s *stream) resumeAt() string {
	if !s.hasLast {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}

// resumeAt returns the ID of the event after which the next attempt resumes the stream;
// empty if none was written.
func (j *job) resumeAt() string {
	if j.stream == nil {
		return ""
	}
	return j.stream.resumeAt()
}

// errInvalidEvents means that a target's events do not follow the last one written,
// that an event exceeds maxEventBytes, or that events without a number exceed
// maxUnnumberedBytes.
var errInvalidEvents = errors.New("events are missing, too long or without a number")

// forwardStream writes the events of an answer to the caller until the stream
// ends or fails.
func (j *job) forwardStream(answer *exchange.Answer, ticket *fleetview.Ticket, dog *watchdog) (attemptResult, error) {
	if !answer.Signed {
		return mayHaveRun, errors.New("the answer is not signed")
	}
	if j.stream == nil {
		j.stream = &stream{w: j.w, controller: http.NewResponseController(j.w), holds: j.route.Repeatable()}
	}
	s := j.stream
	s.pending, s.held, s.unnumbered, s.begun = s.pending[:0], nil, 0, false
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			dog.stop() // while the caller does not read, the target need not send
			j.recordFirstEvent(ticket)
			j.recordPause()
			j.writeHeader(answer)
			if writeErr := s.write(buffer[:n]); writeErr != nil {
				return j.handleWriteError(writeErr)
			}
			dog.awaitEvent()
		}
		switch {
		case errors.Is(err, io.EOF) && len(s.pending) == 0:
			j.writeHeader(answer)
			if writeErr := s.writeHeld(); writeErr != nil {
				return j.handleWriteError(writeErr)
			}
			return done, nil
		case errors.Is(err, io.EOF):
			return mayHaveRun, &brokenAnswerError{cause: errors.New("the stream ended in the middle of an event"), begun: s.begun}
		case err != nil:
			return mayHaveRun, &brokenAnswerError{cause: errors.Wrap(err, "the stream ended early"), begun: s.begun}
		}
	}
}

// recordPause records the time since events last arrived.
func (j *job) recordPause() {
	now := j.f.Clock.Now()
	if pause := now.Sub(j.lastEvent); !j.lastEvent.IsZero() && pause > j.longestPause {
		j.longestPause, j.pauseBegan = pause, j.lastEvent
	}
	j.lastEvent = now
}

// handleWriteError classifies an error that stream.write returned.
func (j *job) handleWriteError(err error) (attemptResult, error) {
	if errors.Is(err, errInvalidEvents) {
		return mayHaveRun, err
	}
	return done, failure.Wrap(failure.OutcomeUnknown, err, "the stream could not be written to the caller")
}

// writeHeader writes the header of the caller's answer unless it is written.
func (j *job) writeHeader(answer *exchange.Answer) {
	if j.headerWritten {
		return
	}
	j.headerWritten = true
	header := j.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	// Another target may resume the stream with events of different lengths.
	header.Del("Content-Length")
	j.w.WriteHeader(answer.Status)
}

// write appends data to pending and writes the events that are complete.
func (s *stream) write(data []byte) error {
	s.pending = append(s.pending, data...)
	wrote := false
	for {
		end := bytes.Index(s.pending, eventEnd)
		if end < 0 {
			break
		}
		event := s.pending[:end+len(eventEnd)]
		s.begun = true
		isNew, err := s.isNext(event)
		if err != nil {
			return err
		}
		if isNew {
			if err := s.writeHeld(); err != nil {
				return err
			}
			if _, err := s.w.Write(event); err != nil {
				return errors.Wrap(err, "write event")
			}
			wrote = true
		}
		s.pending = s.pending[:copy(s.pending, s.pending[len(event):])]
	}
	if len(s.pending) > maxEventBytes {
		return errInvalidEvents
	}
	if !wrote {
		return nil
	}
	return errors.Wrap(s.controller.Flush(), "flush events")
}

// writeHeld writes the data that is held.
func (s *stream) writeHeld() error {
	if len(s.held) == 0 {
		return nil
	}
	held := s.held
	s.held = nil
	_, err := s.w.Write(held)
	return errors.Wrap(err, "write event")
}

// isNext reports whether an event should be written. It returns false for an
// event that was already written and errInvalidEvents after a gap.
func (s *stream) isNext(event []byte) (bool, error) {
	id, ok := eventID(event)
	if !ok {
		if s.unnumbered += len(event); s.unnumbered > maxUnnumberedBytes {
			return false, errInvalidEvents
		}
		if s.holds && (len(s.held) > 0 || hasData(event)) {
			s.held = append(s.held, event...)
			return false, nil
		}
		return true, nil
	}
	if s.hasLast && id <= s.last {
		s.held = nil // it came before an event that was written
		return false, nil
	}
	if s.hasLast && id != s.last+1 {
		return false, errInvalidEvents
	}
	s.last, s.hasLast = id, true
	return true, nil
}

// eventID returns the number in an event's id field; ok is false if there is
// none.
func eventID(event []byte) (id int64, ok bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

func hasData(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, dataField) {
			return true
		}
	}
	return false
}
