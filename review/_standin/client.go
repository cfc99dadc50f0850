package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is one attempt of a requester.
type call struct {
	id, method, target, key, model, usage, prefix string
	deadline                                      time.Duration
	body                                          []byte

	sent, first, ended time.Time
	status             int
	events             int
	seal               bool
	// complete is set if the answer has ended as the protocol says.
	complete bool
	err      error
	vm       string
}

// begun reports whether an engine's answer with success has begun.
func (c *call) begun() bool { return c.status == http.StatusOK && c.seal && !c.first.IsZero() }

// requesters sends calls to the addresses that the directory names.
type requesters struct {
	site  *site
	mu    sync.Mutex
	addrs []string
	at    time.Time
	count int
	calls []*call
	wg    sync.WaitGroup
}

func (q *requesters) address() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if time.Since(q.at) > 1500*time.Millisecond {
		if found := q.site.resolve(); found != nil {
			q.addrs = found
		}
		q.at = time.Now()
	}
	if len(q.addrs) == 0 {
		return q.site.nodes[0].front()
	}
	return q.addrs[rand.IntN(len(q.addrs))]
}

// send starts a call on a new connection to one of the addresses, or to vm if it isn't
// empty.
func (q *requesters) send(c *call, vm string) *call { return q.sendThen(c, vm, func() {}) }

// sendThen is like send, and calls then when the call has ended.
func (q *requesters) sendThen(c *call, vm string, then func()) *call {
	q.mu.Lock()
	q.count++
	if c.id == "" {
		c.id = fmt.Sprintf("%08x%08x", rand.Uint32(), q.count)
	}
	q.calls = append(q.calls, c)
	q.mu.Unlock()
	q.wg.Add(1)
	go func() {
		defer q.wg.Done()
		defer then()
		c.vm = vm
		if vm == "" {
			c.vm = q.address()
		}
		c.sent = time.Now()
		q.site.note("requester sends %s to %s: %s %s model %q prefix %q, %d bytes", c.id, c.vm, c.method, c.target, c.model, c.prefix, len(c.body))
		c.do()
		c.ended = time.Now()
		q.site.note("requester got for %s: status %d, seal %v, %d events, complete %v, after %d ms, error %v", c.id, c.status, c.seal, c.events, c.complete, c.ended.Sub(c.sent).Milliseconds(), c.err)
	}()
	return c
}

// do makes the call by hand, so that the path goes out as it is.
func (c *call) do() {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.vm)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: h.example\r\nFireflypier-Request-Id: %s\r\nFireflypier-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		c.method, c.target, c.id, c.deadline.Milliseconds(), c.key)
	if c.model != "" {
		fmt.Fprintf(&out, "Fireflypier-Model: %s\r\nFireflypier-Token-Usage: %s\r\nFireflypier-Prompt-Prefix: %s\r\n", c.model, c.usage, c.prefix)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(c.body))
	}
	out.WriteString("\r\n")
	out.Write(c.body)
	if _, err := conn.Write(out.Bytes()); err != nil {
		c.err = err
		return
	}
	reader := bufio.NewReader(conn)
	res, err := http.ReadResponse(reader, &http.Request{Method: c.method})
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	c.status, c.seal = res.StatusCode, res.Header.Get("Fireflypier-Server-Seal") != ""
	piece := make([]byte, 4096)
	var text strings.Builder
	for {
		n, err := res.Body.Read(piece)
		if n > 0 && c.first.IsZero() {
			c.first = time.Now()
		}
		text.Write(piece[:n])
		if errors.Is(err, io.EOF) {
			c.complete = true
			break
		}
		if err != nil {
			c.err = err
			break
		}
	}
	c.events = strings.Count(text.String(), "\n\n")
}
