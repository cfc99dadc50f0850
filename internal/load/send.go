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
	maxErrorBytes = 1 << 20
	maxEventBytes = 1 << 20
	// refusedByAllDelay is the retry delay after every gateway refused.
	refusedByAllDelay = time.Second
)

// errorBody is the JSON body of an error response or of an error event that
// ends a stream.
type errorBody struct {
	Error struct {
		Code   string `json:"code"`
		NotRun bool   `json:"not_run"`
	} `json:"error"`
}

// send sends a call once and records the response in o. It returns the delay
// before a retry if the call was refused without running, or zero.
func send(ctx context.Context, client *caller.Caller, c *workload.Call, arrival time.Time, o *outcome) time.Duration {
	path, body := buildRequest(c)
	header := http.Header{"X-Request-Id": {c.ID}}
	if c.Stream.Class != "" {
		header.Set("X-Priority-Class", c.Stream.Class)
	}
	if c.NotRepeatable {
		header.Set("Idempotency-Key", c.ID)
		header.Set("X-Not-Repeatable", "true")
	}
	o.status, o.code, o.notRun = 0, "", false
	response, err := client.Do(ctx, http.MethodPost, path, header, []byte(body))
	if errors.Is(err, caller.ErrRefused) {
		o.code, o.notRun = "refused_by_all", true
		return refusedByAllDelay
	}
	if err != nil {
		o.code = "no_answer"
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	o.status = response.StatusCode
	if response.StatusCode >= http.StatusBadRequest {
		return readRefusal(response, o)
	}
	if c.Stream.Path != "" {
		_, err := io.Copy(io.Discard, response.Body)
		o.complete = err == nil
		o.first = time.Since(arrival)
		o.end = o.first
		return 0
	}
	readEvents(response.Body, arrival, o)
	return 0
}

func buildRequest(c *workload.Call) (path, body string) {
	if c.Stream.Path != "" {
		return c.Stream.Path, c.Body
	}
	return "/v1/chat/completions", fmt.Sprintf(
		`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`,
		c.Stream.Model, c.Stream.MaxTokens, c.Prompt+fmt.Sprintf(" [tokens=%d]", c.AnswerTokens))
}

// readRefusal records an error response. It returns the delay of Retry-After if
// the request did not run, or zero.
func readRefusal(response *http.Response, o *outcome) time.Duration {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var body errorBody
	if err != nil || json.Unmarshal(data, &body) != nil {
		o.code = "unreadable"
		return 0
	}
	o.code = body.Error.Code
	o.notRun = body.Error.NotRun
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || !o.notRun {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// readEvents reads server-sent events and records the arrival of each token. A
// response is complete if it ends with [DONE] and has no error event.
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
			o.complete = o.code == ""
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
	if !o.complete && o.code == "" {
		o.code = "cut"
	}
}

// hasToken reports whether an event contains generated text.
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
