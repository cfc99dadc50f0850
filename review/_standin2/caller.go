package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller got.
type answer struct {
	status int
	body   string
	err    error
	retry  string
}

// served reports whether the answer is a complete stream of a number of events.
func (a *answer) served(events int) bool {
	return a.err == nil && a.status == http.StatusOK && strings.Count(a.body, "\n\n") == events
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}

// request is a caller's request for a stream.
type request struct {
	id, key, model, usage, prefix string
	deadline                      time.Duration
}

// send sends a request to the front address of a VM.
func (r *request) send(front string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/chat/1", strings.NewReader(`{"q":"`+r.id+`"}`))
	if err != nil {
		return answer{err: err}
	}
	hr.Host = "host.example"
	hr.Header.Set("Fireflypier-Request-Id", r.id)
	hr.Header.Set("Fireflypier-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	hr.Header.Set("Authorization", "Token "+r.key)
	hr.Header.Set("Fireflypier-Model", r.model)
	hr.Header.Set("Fireflypier-Token-Usage", r.usage)
	hr.Header.Set("Fireflypier-Prompt-Prefix", r.prefix)
	res, err := client.Do(hr)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, string(body), err, res.Header.Get("Retry-After")}
}
