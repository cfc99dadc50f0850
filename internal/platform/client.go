// Package platform is a client of the published HTTP protocol of the platform's
// table service, object store and VM list. docs/STANDINS.md describes the protocol.
package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/objectstore"
	"fireflypier.example/fireflypier/internal/table"
	"fireflypier.example/fireflypier/internal/vmlist"
)

const (
	defaultTimeout   = 2 * time.Second
	maxAnswerBytes   = 64 << 20
	idleConnections  = 32
	idleConnTimeout  = time.Minute
	contentTypeValue = "application/json"
)

// Client is a client of the platform. It implements table.Table and vmlist.List, and
// Objects returns an objectstore.Store. It is safe for concurrent use.
type Client struct {
	base    url.URL
	http    *http.Client
	timeout time.Duration

	mu   sync.Mutex
	vms  []vmlist.VM
	etag string
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout limits the duration of each call; the default is two seconds.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a client of the platform service at addr.
func New(addr netip.AddrPort, opts ...Option) *Client {
	c := &Client{
		base:    url.URL{Scheme: "http", Host: addr.String()},
		timeout: defaultTimeout,
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleConnTimeout,
		}},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Get implements table.Table.
func (c *Client) Get(ctx context.Context, key string) (table.Row, error) {
	var row table.Row
	err := c.read(ctx, "/table/row", url.Values{"key": {key}}, &row)
	if failure.Is(err, failure.NotFound) {
		return table.Row{Key: key}, nil
	}
	return row, err
}

// Scan implements table.Table.
func (c *Client) Scan(ctx context.Context, prefix string) ([]table.Row, error) {
	var answer struct {
		Rows []table.Row `json:"rows"`
	}
	err := c.read(ctx, "/table/scan", url.Values{"prefix": {prefix}}, &answer)
	return answer.Rows, err
}

// Commit implements table.Table.
func (c *Client) Commit(ctx context.Context, tx table.Tx) (int64, error) {
	body, err := json.Marshal(tx)
	if err != nil {
		return 0, failure.Wrap(failure.Internal, err, "encode transaction")
	}
	data, err := c.call(ctx, http.MethodPost, "/table/commit", nil, body)
	if err != nil {
		return 0, err
	}
	var answer struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return 0, failure.Wrap(failure.OutcomeUnknown, err, "decode commit answer")
	}
	return answer.Version, nil
}

// Objects returns the platform's object store.
func (c *Client) Objects() objectstore.Store { return objects{c} }

// objects implements objectstore.Store with a Client.
type objects struct{ c *Client }

func (o objects) Put(ctx context.Context, key string, data []byte) error {
	_, err := o.c.call(ctx, http.MethodPut, "/objects/"+key, nil, data)
	return unavailable(err, key)
}

func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	data, err := o.c.call(ctx, http.MethodGet, "/objects/"+key, nil, nil)
	return data, unavailable(err, key)
}

// unavailable converts OutcomeUnknown to StoreUnavailable, for calls that may be
// repeated after a lost answer.
func unavailable(err error, resource string) error {
	if failure.Is(err, failure.OutcomeUnknown) {
		return failure.Wrap(failure.StoreUnavailable, err, "no answer from the platform for %s", resource)
	}
	return err
}

func (c *Client) read(ctx context.Context, path string, query url.Values, v any) error {
	data, err := c.call(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return unavailable(err, path)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return failure.Wrap(failure.StoreUnavailable, err, "decode answer of %s", path)
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := c.base
	target.Path = path
	target.RawQuery = query.Encode()
	r, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "build platform request")
	}
	r.Header.Set("Content-Type", contentTypeValue)
	answer, err := c.http.Do(r)
	if err != nil {
		return nil, transportError(err, path)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return nil, failure.Wrap(failure.OutcomeUnknown, err, "read answer of %s", path)
	}
	return data, statusError(answer.StatusCode, path)
}

// transportError returns StoreUnavailable for a refused connection, since nothing can
// have been written then, and OutcomeUnknown for every other error.
func transportError(err error, path string) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return failure.Wrap(failure.StoreUnavailable, err, "reach platform for %s", path)
	}
	return failure.Wrap(failure.OutcomeUnknown, err, "reach platform for %s", path)
}

func statusError(status int, path string) error {
	switch {
	case status < http.StatusBadRequest:
		return nil
	case status == http.StatusNotFound:
		return failure.New(failure.NotFound, "not found on the platform: %s", path)
	case status == http.StatusConflict:
		return failure.New(failure.Conflict, "a row of the transaction does not have the expected version")
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return failure.New(failure.StoreUnavailable, "platform returned status %d for %s", status, path)
	}
	return failure.New(failure.OutcomeUnknown, "platform returned status %d for %s", status, path)
}
