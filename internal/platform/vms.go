package platform

import (
	"context"
	"net/http"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/vmlist"
)

// VMs implements vmlist.List. It makes a conditional request, so the platform does
// not send an unchanged list again.
func (c *Client) VMs(ctx context.Context) ([]vmlist.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := c.base
	target.Path = "/vms"
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "build platform request")
	}
	c.mu.Lock()
	cached, etag := c.vms, c.etag
	c.mu.Unlock()
	if etag != "" {
		r.Header.Set("If-None-Match", etag)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return nil, failure.Wrap(failure.StoreUnavailable, err, "read VM list")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusNotModified {
		return cached, nil
	}
	if err := statusError(answer.StatusCode, target.Path); err != nil {
		return nil, unavailable(err, target.Path)
	}
	return c.cacheVMs(answer)
}

func (c *Client) cacheVMs(answer *http.Response) ([]vmlist.VM, error) {
	var body struct {
		VMs []vmlist.VM `json:"vms"`
	}
	if err := json.UnmarshalRead(answer.Body, &body); err != nil {
		return nil, failure.Wrap(failure.StoreUnavailable, err, "decode VM list")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms = body.VMs
	c.etag = answer.Header.Get("ETag")
	return body.VMs, nil
}
