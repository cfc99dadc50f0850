// Package operatorclient calls the operators' API of controllers.
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
	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/publication"
	"fireflypier.example/fireflypier/internal/revision"
)

const (
	defaultTimeout = 30 * time.Second
	maxAnswerBytes = 256 << 20
)

// Client calls one of several controllers: the first that can be reached.
type Client struct {
	controllers []netip.AddrPort
	token       string
	http        *http.Client
}

// Option changes a Client under construction.
type Option func(*Client)

// WithTimeout bounds each call; the default is thirty seconds.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.http.Timeout = d } }

// New returns a client that presents token to the controllers.
func New(controllers []netip.AddrPort, token string, opts ...Option) *Client {
	c := &Client{controllers: controllers, token: token, http: &http.Client{Timeout: defaultTimeout}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// ApplyResult is the outcome of an edit.
type ApplyResult struct {
	// Revision and Digest name the published snapshot.
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
}

// Apply publishes an edit. An edit with an id may be repeated.
func (c *Client) Apply(ctx context.Context, e *revision.Edit) (*ApplyResult, error) {
	body, err := document.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode edit")
	}
	var applied ApplyResult
	return &applied, c.call(ctx, http.MethodPost, "/v1/edits", body, &applied)
}

// Acceptance returns how far a revision has come: at once when it is
// accepted, else after wait.
func (c *Client) Acceptance(ctx context.Context, rev int64, wait time.Duration) (*acceptance.Status, error) {
	query := url.Values{"revision": {strconv.FormatInt(rev, 10)}, "wait": {wait.String()}}
	var status acceptance.Status
	return &status, c.call(ctx, http.MethodGet, "/v1/acceptance?"+query.Encode(), nil, &status)
}

// History returns the latest lines of the history, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]publication.Entry, error) {
	var answer struct {
		Entries []publication.Entry `json:"entries"`
	}
	err := c.call(ctx, http.MethodGet, "/v1/history?limit="+strconv.Itoa(limit), nil, &answer)
	return answer.Entries, err
}

// At returns an earlier revision.
func (c *Client) At(ctx context.Context, rev int64) (*revision.Snapshot, error) {
	s := revision.Empty()
	return s, c.call(ctx, http.MethodGet, "/v1/objects?revision="+strconv.FormatInt(rev, 10), nil, s)
}

// Snapshot returns the highest revision.
func (c *Client) Snapshot(ctx context.Context) (*revision.Snapshot, error) {
	s := revision.Empty()
	return s, c.call(ctx, http.MethodGet, "/v1/objects", nil, s)
}

// Status returns the status of one controller as raw JSON.
func (c *Client) Status(ctx context.Context) (jsontext.Value, error) {
	var status jsontext.Value
	return status, c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
}

// call tries the controllers in order until one answers.
func (c *Client) call(ctx context.Context, method, path string, body []byte, v any) error {
	err := error(failure.New(failure.StoreUnavailable, "no controller is named"))
	for _, addr := range c.controllers {
		var unreachable bool
		unreachable, err = c.callOne(ctx, method, addr, path, body, v)
		if !unreachable {
			return err
		}
	}
	return errors.Wrap(err, "reach a controller")
}

// callOne calls one controller; unreachable is true when it gave no answer.
func (c *Client) callOne(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte, v any) (unreachable bool, err error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(err, "build operator request")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	answer, err := c.http.Do(r)
	if err != nil {
		return true, err
	}
	defer func() { _ = answer.Body.Close() }()
	return false, decode(answer, v)
}

func decode(answer *http.Response, v any) error {
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read the controller's answer")
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return refusal(answer.StatusCode, data)
	}
	return errors.Wrap(document.Unmarshal(data, v), "decode the controller's answer")
}

// refusal turns an error body back into a failure.
func refusal(status int, data []byte) error {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Code    string `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return failure.New(failure.Internal, "the controller answers %d", status)
	}
	for _, kind := range failure.Kinds() {
		if kind.String() == body.Error.Code {
			return failure.New(kind, "%s", body.Error.Message)
		}
	}
	return failure.New(failure.Internal, "%s", body.Error.Message)
}
