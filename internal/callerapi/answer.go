package callerapi

import (
	"net/http"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/failure"
)

// format holds the differences between the responses of chat completions and
// completions.
type format struct {
	chat        bool
	idPrefix    string
	object      string
	chunkObject string
}

var (
	chatFormat       = format{true, "chatcmpl-", "chat.completion", "chat.completion.chunk"}
	completionFormat = format{false, "cmpl-", "text_completion", "text_completion"}
)

// usageBody is the usage object of the OpenAI API.
type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsageBody(u engine.Usage) usageBody {
	return usageBody{u.PromptTokens, u.CompletionTokens, u.PromptTokens + u.CompletionTokens}
}

// bufferedAnswer collects a non-streaming answer. It implements dispatch.Sink.
type bufferedAnswer struct {
	text   strings.Builder
	reason string
	usage  engine.Usage
}

// Token implements dispatch.Sink.
func (a *bufferedAnswer) Token(text string) error {
	a.text.WriteString(text)
	return nil
}

// Flush implements dispatch.Sink.
func (a *bufferedAnswer) Flush() error { return nil }

// Finish implements dispatch.Sink.
func (a *bufferedAnswer) Finish(reason string, usage engine.Usage) error {
	a.reason = reason
	a.usage = usage
	return nil
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choiceBody struct {
	Index        int          `json:"index"`
	Message      *messageBody `json:"message,omitzero"`
	Text         *string      `json:"text,omitzero"`
	Logprobs     *string      `json:"logprobs"`
	FinishReason string       `json:"finish_reason"`
}

func (a *bufferedAnswer) write(w http.ResponseWriter, f *format, id, model string, created time.Time) {
	text := a.text.String()
	choice := choiceBody{FinishReason: a.reason}
	if f.chat {
		choice.Message = &messageBody{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []choiceBody `json:"choices"`
		Usage   usageBody    `json:"usage"`
	}{f.idPrefix + id, f.object, created.Unix(), model, []choiceBody{choice}, newUsageBody(a.usage)})
}

// eventStream writes a streaming answer as server-sent events. It implements
// dispatch.Sink.
type eventStream struct {
	w            http.ResponseWriter
	flusher      *http.ResponseController
	format       *format
	prefix       []byte
	buffer       []byte
	includeUsage bool
	started      bool
	clock        clockwork.Clock
	writeTimeout time.Duration
	deadlineSet  time.Time
}

func (api *API) newEventStream(w http.ResponseWriter, f *format, id, model string, created time.Time, includeUsage bool) (*eventStream, error) {
	prefix, err := json.Marshal(struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
	}{f.idPrefix + id, f.chunkObject, created.Unix(), model})
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode event")
	}
	return &eventStream{
		w:            w,
		flusher:      http.NewResponseController(w),
		format:       f,
		prefix:       append([]byte("data: "), prefix[:len(prefix)-1]...),
		includeUsage: includeUsage,
		clock:        api.clock,
		writeTimeout: api.limits.WriteTimeout,
	}, nil
}

func (s *eventStream) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// Token implements dispatch.Sink.
func (s *eventStream) Token(text string) error {
	first := !s.started
	s.start()
	b := s.begin()
	switch {
	case s.format.chat && first:
		b = append(b, `,"choices":[{"index":0,"delta":{"role":"assistant","content":`...)
	case s.format.chat:
		b = append(b, `,"choices":[{"index":0,"delta":{"content":`...)
	default:
		b = append(b, `,"choices":[{"index":0,"logprobs":null,"text":`...)
	}
	b, err := jsontext.AppendQuote(b, text)
	if err != nil {
		return err
	}
	if s.format.chat {
		b = append(b, '}')
	}
	b = append(b, `,"finish_reason":null}]}`...)
	return s.write(append(b, "\n\n"...))
}

// begin returns the buffer with the fields common to all events.
func (s *eventStream) begin() []byte { return append(s.buffer[:0], s.prefix...) }

// write writes events to the buffered response and keeps the slice for reuse. It
// blocks while the caller does not read, which applies backpressure to the
// engine, and fails after the write timeout.
func (s *eventStream) write(events []byte) error {
	s.buffer = events
	s.extendDeadline()
	_, err := s.w.Write(events)
	return err
}

// Flush implements dispatch.Sink.
func (s *eventStream) Flush() error {
	s.extendDeadline()
	return s.flusher.Flush()
}

// extendDeadline ensures that at least half of the write timeout remains.
func (s *eventStream) extendDeadline() {
	now := s.clock.Now()
	if now.Sub(s.deadlineSet) < s.writeTimeout/2 {
		return
	}
	s.deadlineSet = now
	_ = s.flusher.SetWriteDeadline(now.Add(s.writeTimeout))
}

// Finish implements dispatch.Sink.
func (s *eventStream) Finish(reason string, usage engine.Usage) error {
	s.start()
	b := s.begin()
	if s.format.chat {
		b = append(b, `,"choices":[{"index":0,"delta":{},"finish_reason":`...)
	} else {
		b = append(b, `,"choices":[{"index":0,"logprobs":null,"text":"","finish_reason":`...)
	}
	b, err := jsontext.AppendQuote(b, reason)
	if err != nil {
		return err
	}
	b = append(b, "}]}\n\n"...)
	if s.includeUsage {
		b = append(b, s.prefix...)
		b = append(b, `,"choices":[],"usage":`...)
		data, err := json.Marshal(newUsageBody(usage))
		if err != nil {
			return err
		}
		b = append(b, data...)
		b = append(b, "}\n\n"...)
	}
	if err := s.write(append(b, "data: [DONE]\n\n"...)); err != nil {
		return err
	}
	return s.Flush()
}

// fail writes err as the last event of the stream, or as an error response if
// nothing has been written yet.
func (s *eventStream) fail(err error) {
	if !s.started {
		WriteError(s.w, err)
		return
	}
	body := newErrorBody(failure.From(err))
	body.NotRun = false
	data, err := json.Marshal(struct {
		Error errorBody `json:"error"`
	}{body})
	if err != nil {
		return
	}
	event := append([]byte("data: "), data...)
	if s.write(append(event, "\n\n"...)) == nil {
		_ = s.Flush()
	}
}
