// Package engine speaks the published HTTP protocol of model engines:
// generation streams, reports and orders. docs/STANDINS.md describes it.
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

// Client calls engines. It may be used by many goroutines.
type Client struct {
	http              *http.Client
	generations       *http.Client
	clock             clockwork.Clock
	callTimeout       time.Duration
	firstFrameTimeout time.Duration
	frameTimeout      time.Duration
}

// Option changes a Client under construction.
type Option func(*Client)

// WithCallTimeout bounds reports and orders; the default is two seconds.
// Generation is bounded by its context only.
func WithCallTimeout(d time.Duration) Option {
	return func(c *Client) { c.callTimeout = d }
}

// WithClock replaces the real clock.
func WithClock(clock clockwork.Clock) Option { return func(c *Client) { c.clock = clock } }

// WithFrameTimeouts bounds the time until the first frame of a stream, which
// includes the wait in the engine's queue, and the time between frames. The
// defaults are 15 and 3 seconds.
func WithFrameTimeouts(first, next time.Duration) Option {
	return func(c *Client) {
		c.firstFrameTimeout = first
		c.frameTimeout = next
	}
}

// NewClient returns a client of engines.
func NewClient(opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	c := &Client{
		clock:             clockwork.NewRealClock(),
		generations:       &http.Client{Transport: transport.New()},
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

// Generate starts a generation at the engine at addr. A failure of kind
// NoReplica (the weights are not loaded there), Overloaded or BadRequest means that
// the engine ran nothing; an attempt of which no byte was sent gives
// TargetFailed wrapping NotSentError; any other loss, an engine that does not
// answer within the first frame's time included, gives OutcomeUnknown. The
// caller must Close the stream.
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
	watch := newWatch(c.clock, c.firstFrameTimeout, cancel)
	answer, err := c.generations.Do(r)
	if err != nil {
		watch.stop()
		cancel(nil)
		return nil, transportError(err)
	}
	if answer.StatusCode != http.StatusOK {
		defer cancel(nil)
		defer watch.stop()
		defer func() { _ = answer.Body.Close() }()
		return nil, refusal(answer)
	}
	return &Stream{
		attemptID: req.AttemptID,
		body:      answer.Body,
		r:         bufio.NewReaderSize(answer.Body, streamBufferBytes),
		cancel:    cancel,
		watch:     watch,
		timeout:   c.frameTimeout,
	}, nil
}

// Cancel stops the attempt at the engine at addr; an unknown attempt is no
// error.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, attemptID string) error {
	body, err := json.Marshal(struct {
		AttemptID string `json:"attempt_id"`
	}{attemptID})
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode cancel")
	}
	return c.call(ctx, http.MethodPost, addr, "/v1/cancel", nil, body, nil)
}

// Report returns the state of the engine at addr with the cache events after
// the sequence number given.
func (c *Client) Report(ctx context.Context, addr netip.AddrPort, after int64) (*Report, error) {
	var report Report
	query := url.Values{"after": {strconv.FormatInt(after, 10)}}
	if err := c.call(ctx, http.MethodGet, addr, "/v1/report", query, nil, &report); err != nil {
		return nil, err
	}
	return &report, nil
}

// Order sends o to the engine at addr. A failure of kind Conflict means that
// the engine refused an old fencing number; any other error means that the
// order may still take effect at any later time.
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
	// Without GetBody the transport never sends a request twice.
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
	answer, err := c.http.Do(r)
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode >= http.StatusBadRequest {
		return refusal(answer)
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxReportBytes))
	if err != nil {
		return transportError(err)
	}
	if v == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, v), "decode engine answer")
}

// NotSentError marks an error after which no byte can have reached the target.
type NotSentError = transport.NotSentError

// transportError tells a connection that was never made from a lost answer.
func transportError(err error) error {
	var dial *net.OpError
	var notSent *NotSentError
	switch {
	case errors.As(err, &notSent):
		return failure.Wrap(failure.TargetFailed, err, "engine not reached")
	case errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &dial) && dial.Op == "dial":
		return failure.Wrap(failure.TargetFailed, transport.NewNotSentError(err), "engine not reached")
	}
	return failure.Wrap(failure.OutcomeUnknown, err, "engine answer lost")
}

func refusal(answer *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxFrameBytes))
	if err != nil {
		return transportError(err)
	}
	var refused Refusal
	if err := json.Unmarshal(data, &refused); err != nil {
		return failure.New(failure.OutcomeUnknown, "engine answers %d", answer.StatusCode)
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
	return failure.New(failure.OutcomeUnknown, "engine answers %d %s", answer.StatusCode, refused.Code)
}
