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
	streamBuffer = 2 << 10   // several events of today's models
	maxEvent     = 256 << 10 // a longer one is no event of a model
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// stream is the answer to the caller that events are written to. Only whole
// events are written, each once and in order, whatever target they come from.
type stream struct {
	w     http.ResponseWriter
	flush *http.ResponseController
	// last is the id of the last event written, numbered whether it had one.
	last     int64
	numbered bool
	pending  []byte
}

// resumeAt returns the event after which another target should go on; empty
// before the first one.
func (s *stream) resumeAt() string {
	if !s.numbered {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}

// errOutOfOrder means that a target's events do not follow the last one.
var errOutOfOrder = errors.New("events are missing")

// takeStream passes the events of an answer on until it ends or breaks off.
func (j *job) takeStream(answer *exchange.Answer, ticket *fleetview.Ticket) (verdict, error) {
	if !answer.Signed {
		return mayHaveRun, errors.New("the answer has no signature")
	}
	if j.stream == nil {
		j.stream = &stream{w: j.w, flush: http.NewResponseController(j.w)}
	}
	s := j.stream
	s.pending = s.pending[:0]
	buffer := make([]byte, streamBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			j.started(ticket)
			j.begin(answer)
			if werr := s.take(buffer[:n]); werr != nil {
				return j.streamFailed(werr)
			}
		}
		switch {
		case errors.Is(err, io.EOF) && len(s.pending) == 0:
			j.begin(answer)
			return done, nil
		case errors.Is(err, io.EOF):
			return mayHaveRun, errors.New("the stream ended within an event")
		case err != nil:
			return mayHaveRun, errors.Wrap(err, "the stream broke off")
		}
	}
}

// streamFailed judges a failure to pass events on.
func (j *job) streamFailed(err error) (verdict, error) {
	if errors.Is(err, errOutOfOrder) {
		return mayHaveRun, err
	}
	return done, failure.Wrap(failure.OutcomeUnknown, err, "the caller did not take the stream")
}

// begin writes the head of the caller's answer once.
func (j *job) begin(answer *exchange.Answer) {
	if j.answering {
		return
	}
	j.answering = true
	header := j.w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	// Another target may have to go on, with events of other lengths.
	header.Del("Content-Length")
	j.w.WriteHeader(answer.Status)
}

// take writes the whole events of what has arrived.
func (s *stream) take(data []byte) error {
	s.pending = append(s.pending, data...)
	wrote := false
	for {
		end := bytes.Index(s.pending, eventEnd)
		if end < 0 {
			break
		}
		event := s.pending[:end+len(eventEnd)]
		fresh, err := s.follows(event)
		if err != nil {
			return err
		}
		if fresh {
			if _, err := s.w.Write(event); err != nil {
				return errors.Wrap(err, "write event")
			}
			wrote = true
		}
		s.pending = s.pending[:copy(s.pending, s.pending[len(event):])]
	}
	if len(s.pending) > maxEvent {
		return errOutOfOrder
	}
	if !wrote {
		return nil
	}
	return errors.Wrap(s.flush.Flush(), "flush events")
}

// follows reports whether an event is the next one; an earlier one was
// written already.
func (s *stream) follows(event []byte) (bool, error) {
	id, ok := eventID(event)
	if !ok {
		return true, nil
	}
	if s.numbered && id <= s.last {
		return false, nil
	}
	if s.numbered && id != s.last+1 {
		return false, errOutOfOrder
	}
	s.last, s.numbered = id, true
	return true, nil
}

// eventID returns the number in an event's id field.
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
