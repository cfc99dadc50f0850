package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/workload"
	"fireflypier.example/fireflypier/pkg/caller"
)

const (
	maxAnswerBytes = 1 << 20
	maxEventBytes  = 1 << 20
	// refusedByAllWait is the wait when every gateway refused.
	refusedByAllWait = time.Second
)

// errorBody is the body of a refusal or of a stream's last event.
type errorBody struct {
	Error struct {
		Code   string `json:"code"`
		NotRun bool   `json:"not_run"`
	} `json:"error"`
}

// send sends a call once and records what came back. It returns when to come
// back after a refusal that did not run, else zero.
func send(ctx context.Context, sender *caller.Caller, c *workload.Call, arrival time.Time, o *outcome) time.Duration {
	path, body := request(c)
	header := http.Header{"X-Request-Id": {c.ID}}
	if c.Stream.Class != "" {
		header.Set("X-Priority-Class", c.Stream.Class)
	}
	if c.NotRepeatable {
		header.Set("Idempotency-Key", c.ID)
		header.Set("X-Not-Repeatable", "true")
	}
	o.status, o.code, o.notRun = 0, "", false
	answer, err := sender.Do(ctx, http.MethodPost, path, header, []byte(body))
	if errors.Is(err, caller.ErrRefused) {
		o.code, o.notRun = "refused_by_all", true
		return refusedByAllWait
	}
	if err != nil {
		o.code = "no_answer"
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	o.status = answer.StatusCode
	if answer.StatusCode >= http.StatusBadRequest {
		return refused(answer, o)
	}
	if c.Stream.Path != "" {
		_, err := io.Copy(io.Discard, answer.Body)
		o.whole = err == nil
		o.first = time.Since(arrival)
		o.end = o.first
		return 0
	}
	readEvents(answer.Body, arrival, o)
	return 0
}

func request(c *workload.Call) (path, body string) {
	if c.Stream.Path != "" {
		return c.Stream.Path, c.Body
	}
	return "/v1/chat/completions", fmt.Sprintf(
		`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`,
		c.Stream.Model, c.Stream.MaxTokens, c.Prompt+fmt.Sprintf(" [tokens=%d]", c.AnswerTokens))
}

func refused(answer *http.Response, o *outcome) time.Duration {
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	var body errorBody
	if err != nil || json.Unmarshal(data, &body) != nil {
		o.code = "unreadable"
		return 0
	}
	o.code = body.Error.Code
	o.notRun = body.Error.NotRun
	seconds, err := strconv.Atoi(answer.Header.Get("Retry-After"))
	if err != nil || !o.notRun {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// readEvents reads server-sent events. An answer is whole when it ends with
// [DONE] and holds no error.
func readEvents(r io.Reader, arrival time.Time, o *outcome) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxEventBytes)
	var last time.Time
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		switch {
		case data == "[DONE]":
			o.whole = o.code == ""
			o.end = now.Sub(arrival)
			return
		case strings.HasPrefix(data, `{"error"`):
			var body errorBody
			_ = json.Unmarshal([]byte(data), &body)
			o.code = body.Error.Code
			o.notRun = body.Error.NotRun
		case !hasToken(data):
		case last.IsZero():
			o.first = now.Sub(arrival)
			last = now
		default:
			o.gaps = append(o.gaps, now.Sub(last))
			last = now
		}
	}
	if !o.whole && o.code == "" {
		o.code = "cut"
	}
}

// hasToken reports whether an event carries text of the answer.
func hasToken(data string) bool {
	var body struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	return json.Unmarshal([]byte(data), &body) == nil && len(body.Choices) > 0 && body.Choices[0].Delta.Content != ""
}
