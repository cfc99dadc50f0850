// Package weightstore is a client of the published HTTP protocol of the platform's
// weight store, from which engines load models and adapters.
package weightstore

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/object"
)

// Client loads weights. It is safe for concurrent use.
type Client struct {
	target string
	http   *http.Client
}

// New returns a client of the weight store at addr.
func New(addr netip.AddrPort) *Client {
	target := url.URL{Scheme: "http", Host: addr.String(), Path: "/weights/load"}
	return &Client{target: target.String(), http: &http.Client{}}
}

// Load returns when the weights have been loaded. Any error means that they have not
// been loaded; the load can be retried.
func (c *Client) Load(ctx context.Context, kind object.Kind, name string, _ int64) error {
	body, err := json.Marshal(struct {
		Kind object.Kind `json:"kind"`
		Name string      `json:"name"`
	}{kind, name})
	if err != nil {
		return errors.Wrap(err, "encode weight request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build weight request")
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "load weights")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("weight store returned status %d", answer.StatusCode)
	}
	return nil
}
