// Package engine is a client of the HTTP protocol of model engines: generation
// streams, state reports and orders to load and unload weights.
// docs/STANDINS.md describes the protocol.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/transport"
)

const (
	defaultDialTimeout = time.Second
	defaultCallTimeout = 2 * time.Second
	idleConnsPerTarget = 64
	idleConnTimeout    = 90 * time.Second
	maxReportBytes     = 16 << 20

	defaultFirstFrameTimeout = 15 * time.Second
	defaultFrameTimeout      = 3 * time.Second
	maxFrameBytes            = 1 << 20
	streamBufferBytes        = 4 << 10
)

// Client calls engines. It is safe for concurrent use.
type Client struct {
	http              *http.Client
	generateHTTP      *http.Client
	clock             clockwork.Clock
	callTimeout       time.Duration
	firstFrameTimeout time.Duration
	frameTimeout      time.Duration
}

// Option configures a Client in NewClient.
type Option func(*Client)

// WithCallTimeout sets the timeout of Report, Order and Cancel. The default is 2
// seconds. A generation is bounded by its context and the frame timeouts.
func WithCallTimeout(d time.Duration) Option {
	return func(c *Client) { c.callTimeout = d }
}

// WithClock replaces the system clock, for tests.
func WithClock(clock clockwork.Clock) Option { return func(c *Client) { c.clock = clock } }

// WithFrameTimeouts sets the maximum time until the first frame of a stream,
// which includes the wait in the queue of the engine, and the maximum time
// between frames. The defaults are 15 and 3 seconds.
func WithFrameTimeouts(first, next time.Duration) Option {
	return func(c *Client) {
		c.firstFrameTimeout = first
		c.frameTimeout = next
	}
}

// NewClient returns a Client without connections.
func NewClient(opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	c := &Client{
		clock:             clockwork.NewRealClock(),
		generateHTTP:      &http.Client{Transport: transport.New()},
		callTimeout:       defaultCallTimeout,
		firstFrameTimeout: defaultFirstFrameTimeout,
		frameTimeout:      defaultFrameTimeout,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnsPerTarget,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Generate starts a generation on the engine at addr. The caller must close the
// stream. The errors are:
//   - NoReplica (the weights are not loaded there), Overloaded or BadRequest: the
//     engine has not run the request.
//   - TargetFailed wrapping NotSentError: no byte of the request was sent.
//   - OutcomeUnknown: any other failure, including an engine that does not respond
//     within the timeout of the first frame.
func (c *Client) Generate(ctx context.Context, addr netip.AddrPort, req *GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "encode generation request")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	r, err := c.request(ctx, http.MethodPost, addr, "/v1/generate", nil, body)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	stallTimer := newStallTimer(c.clock, c.firstFrameTimeout, cancel)
	resp, err := c.generateHTTP.Do(r)
	if err != nil {
		stallTimer.stop()
		cancel(nil)
		return nil, transportError(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel(nil)
		defer stallTimer.stop()
		defer func() { _ = resp.Body.Close() }()
		return nil, refusalError(resp)
	}
	return &Stream{
		attemptID:  req.AttemptID,
		body:       resp.Body,
		r:          bufio.NewReaderSize(resp.Body, streamBufferBytes),
		cancel:     cancel,
		stallTimer: stallTimer,
		timeout:    c.frameTimeout,
	}, nil
}

// Cancel cancels an attempt on the engine at addr. An unknown attempt is no
// error.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, attemptID string) error {
	body, err := json.Marshal(struct {
		AttemptID string `json:"attempt_id"`
	}{attemptID})
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode cancel request")
	}
	return c.call(ctx, http.MethodPost, addr, "/v1/cancel", nil, body, nil)
}

// Report returns the state of the engine at addr, with the cache events whose
// sequence number is greater than after.
func (c *Client) Report(ctx context.Context, addr netip.AddrPort, after int64) (*Report, error) {
	var report Report
	query := url.Values{"after": {strconv.FormatInt(after, 10)}}
	if err := c.call(ctx, http.MethodGet, addr, "/v1/report", query, nil, &report); err != nil {
		return nil, err
	}
	return &report, nil
}

// Order sends o to the engine at addr. An error of kind Conflict means that the
// engine refused the order because of its old fencing token. After any other
// error, the order may still take effect at any later time.
func (c *Client) Order(ctx context.Context, addr netip.AddrPort, o *Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode order")
	}
	return c.call(ctx, http.MethodPost, addr, "/v1/orders", nil, body, nil)
}

func (c *Client) request(ctx context.Context, method string, addr netip.AddrPort, path string, query url.Values, body []byte) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: addr.String(), Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "build engine request")
	}
	// Without GetBody, the transport cannot send the request twice.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

func (c *Client) call(ctx context.Context, method string, addr netip.AddrPort, path string, query url.Values, body []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	r, err := c.request(ctx, method, addr, path, query, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return refusalError(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return transportError(err)
	}
	if v == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, v), "decode engine response")
}

// NotSentError marks an error after which certainly no byte of the request has
// reached the target.
type NotSentError = transport.NotSentError

// transportError returns TargetFailed wrapping NotSentError if the request was
// certainly not sent, otherwise OutcomeUnknown.
func transportError(err error) error {
	var dial *net.OpError
	var notSent *NotSentError
	switch {
	case errors.As(err, &notSent):
		return failure.Wrap(failure.TargetFailed, err, "engine could not be reached")
	case errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &dial) && dial.Op == "dial":
		return failure.Wrap(failure.TargetFailed, transport.NewNotSentError(err), "engine could not be reached")
	}
	return failure.Wrap(failure.OutcomeUnknown, err, "engine response lost")
}

func refusalError(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxFrameBytes))
	if err != nil {
		return transportError(err)
	}
	var refused Refusal
	if err := json.Unmarshal(data, &refused); err != nil {
		return failure.New(failure.OutcomeUnknown, "engine responded with status %d", resp.StatusCode)
	}
	switch refused.Code {
	case RefusedNotLoaded:
		return failure.New(failure.NoReplica, "engine: %s", refused.Message)
	case RefusedOverloaded:
		return failure.New(failure.Overloaded, "engine: %s", refused.Message)
	case RefusedFencing:
		return failure.New(failure.Conflict, "engine: %s", refused.Message)
	case RefusedBadRequest:
		return failure.New(failure.BadRequest, "engine: %s", refused.Message)
	}
	return failure.New(failure.OutcomeUnknown, "engine responded with status %d, code %s", resp.StatusCode, refused.Code)
}
