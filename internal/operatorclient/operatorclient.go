// Package operatorclient is a client of the operator API of the controllers.
package operatorclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/acceptance"
	"fireflypier.example/fireflypier/internal/configstore"
	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/revision"
)

const (
	defaultTimeout   = 30 * time.Second
	maxResponseBytes = 256 << 20
)

// Client calls the first reachable one of several controllers. It is safe for
// concurrent use.
type Client struct {
	controllers []netip.AddrPort
	token       string
	http        *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the time limit of each HTTP request; the default is 30 s.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.http.Timeout = d } }

// New returns a client that authenticates with token.
func New(controllers []netip.AddrPort, token string, opts ...Option) *Client {
	c := &Client{controllers: controllers, token: token, http: &http.Client{Timeout: defaultTimeout}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// ApplyResult is the result of a published edit.
type ApplyResult struct {
	// Revision and Digest identify the published snapshot.
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
}

// Apply publishes an edit. An edit with an ID may be sent repeatedly: it is applied
// once, and each call returns the first result.
func (c *Client) Apply(ctx context.Context, e *revision.Edit) (*ApplyResult, error) {
	body, err := document.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode edit")
	}
	var applied ApplyResult
	return &applied, c.call(ctx, http.MethodPost, "/v1/edits", body, &applied)
}

// Acceptance returns the status of revision rev once it is accepted, at the latest
// after wait.
func (c *Client) Acceptance(ctx context.Context, rev int64, wait time.Duration) (*acceptance.Status, error) {
	query := url.Values{"revision": {strconv.FormatInt(rev, 10)}, "wait": {wait.String()}}
	var status acceptance.Status
	return &status, c.call(ctx, http.MethodGet, "/v1/acceptance?"+query.Encode(), nil, &status)
}

// History returns up to limit entries of the history, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]configstore.Entry, error) {
	var body struct {
		Entries []configstore.Entry `json:"entries"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/history?limit="+strconv.Itoa(limit), nil, &body)
	return body.Entries, err
}

// At returns the snapshot of revision rev.
func (c *Client) At(ctx context.Context, rev int64) (*revision.Snapshot, error) {
	s := revision.Empty()
	return s, c.call(ctx, http.MethodGet, "/v1/objects?revision="+strconv.FormatInt(rev, 10), nil, s)
}

// Snapshot returns the snapshot of the latest revision.
func (c *Client) Snapshot(ctx context.Context) (*revision.Snapshot, error) {
	s := revision.Empty()
	return s, c.call(ctx, http.MethodGet, "/v1/objects", nil, s)
}

// Status returns the status of one controller as raw JSON.
func (c *Client) Status(ctx context.Context) (jsontext.Value, error) {
	var status jsontext.Value
	return status, c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
}

// call sends the request to the controllers in order until one responds.
func (c *Client) call(ctx context.Context, method, path string, body []byte, v any) error {
	err := error(failure.New(failure.StoreUnavailable, "no controller address is given"))
	for _, addr := range c.controllers {
		var unreachable bool
		unreachable, err = c.callOne(ctx, method, addr, path, body, v)
		if !unreachable {
			return err
		}
	}
	return errors.Wrap(err, "no controller is reachable")
}

// callOne sends the request to one controller; unreachable is true if it did not
// respond.
func (c *Client) callOne(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte, v any) (unreachable bool, err error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(err, "build operator request")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(r)
	if err != nil {
		return true, err
	}
	defer func() { _ = resp.Body.Close() }()
	return false, decode(resp, v)
}

// decode unmarshals the body of a successful response into v, and returns the
// failure in the body of any other.
func decode(resp *http.Response, v any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read the controller's response")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeError(resp.StatusCode, data)
	}
	return errors.Wrap(document.Unmarshal(data, v), "decode the controller's response")
}

// decodeError returns the failure that an error body describes. A body with an
// unknown code gives Internal.
func decodeError(status int, data []byte) error {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Code    string `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return failure.New(failure.Internal, "the controller returned status %d without a valid error body", status)
	}
	for _, kind := range failure.Kinds() {
		if kind.String() == body.Error.Code {
			return failure.New(kind, "%s", body.Error.Message)
		}
	}
	return failure.New(failure.Internal, "%s", body.Error.Message)
}
