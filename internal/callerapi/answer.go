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

// shape is what differs between chat completions and completions.
type shape struct {
	chat        bool
	idPrefix    string
	object      string
	chunkObject string
}

var (
	chatShape = shape{true, "chatcmpl-", "chat.completion", "chat.completion.chunk"}
	textShape = shape{false, "cmpl-", "text_completion", "text_completion"}
)

// usageBody is the usage object of the OpenAI API.
type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(u engine.Usage) usageBody {
	return usageBody{u.PromptTokens, u.CompletionTokens, u.PromptTokens + u.CompletionTokens}
}

// wholeAnswer gathers a non-streaming answer. It implements dispatch.Sink.
type wholeAnswer struct {
	text   strings.Builder
	reason string
	usage  engine.Usage
}

// Token implements dispatch.Sink.
func (a *wholeAnswer) Token(text string) error {
	a.text.WriteString(text)
	return nil
}

// Flush implements dispatch.Sink.
func (a *wholeAnswer) Flush() error { return nil }

// Finish implements dispatch.Sink.
func (a *wholeAnswer) Finish(reason string, usage engine.Usage) error {
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

func (a *wholeAnswer) write(w http.ResponseWriter, s *shape, id, model string, created time.Time) {
	text := a.text.String()
	choice := choiceBody{FinishReason: a.reason}
	if s.chat {
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
	}{s.idPrefix + id, s.object, created.Unix(), model, []choiceBody{choice}, usageOf(a.usage)})
}

// eventStream writes a streaming answer as server-sent events. It implements
// dispatch.Sink.
type eventStream struct {
	w            http.ResponseWriter
	flusher      *http.ResponseController
	shape        *shape
	head         []byte
	buffer       []byte
	includeUsage bool
	started      bool
	clock        clockwork.Clock
	writeTimeout time.Duration
	deadlineSet  time.Time
}

func (api *API) newEventStream(w http.ResponseWriter, s *shape, id, model string, created time.Time, includeUsage bool) (*eventStream, error) {
	head, err := json.Marshal(struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
	}{s.idPrefix + id, s.chunkObject, created.Unix(), model})
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode event")
	}
	return &eventStream{
		w:            w,
		flusher:      http.NewResponseController(w),
		shape:        s,
		head:         append([]byte("data: "), head[:len(head)-1]...),
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
	case s.shape.chat && first:
		b = append(b, `,"choices":[{"index":0,"delta":{"role":"assistant","content":`...)
	case s.shape.chat:
		b = append(b, `,"choices":[{"index":0,"delta":{"content":`...)
	default:
		b = append(b, `,"choices":[{"index":0,"logprobs":null,"text":`...)
	}
	b, err := jsontext.AppendQuote(b, text)
	if err != nil {
		return err
	}
	if s.shape.chat {
		b = append(b, '}')
	}
	b = append(b, `,"finish_reason":null}]}`...)
	return s.write(append(b, "\n\n"...))
}

// begin returns the buffer with the head that all events share.
func (s *eventStream) begin() []byte { return append(s.buffer[:0], s.head...) }

// write hands events to the connection's buffer and keeps their own buffer for
// the next ones. It blocks while the caller is slow, which holds back the
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

// extendDeadline allows at least half of the write timeout from now.
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
	if s.shape.chat {
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
		b = append(b, s.head...)
		b = append(b, `,"choices":[],"usage":`...)
		data, err := json.Marshal(usageOf(usage))
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

// fail ends a stream that has begun with an error event, or answers with an
// error when nothing was written yet.
func (s *eventStream) fail(err error) {
	if !s.started {
		WriteError(s.w, err)
		return
	}
	body := bodyOf(failure.From(err))
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
