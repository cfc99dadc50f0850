// Package caller is a client for the gateways of fireflypier. It requests the
// list of gateways to use, caches it for its time to live, and retries a request
// on the next gateway if the previous one has certainly not run it.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/transport"
)

const (
	dialTimeout     = 2 * time.Second
	entryTimeout    = 5 * time.Second
	maxEntryBytes   = 1 << 20
	maxRefusalBytes = 64 << 10
)

// ErrRefused means that every gateway refused the request temporarily or could
// not be connected to. The request has not run.
var ErrRefused = errors.New("all gateways refused the request or could not be reached")

// Caller sends requests with one API key. It is safe for concurrent use.
type Caller struct {
	seeds      []netip.AddrPort
	key        string
	dataCentre string
	client     *http.Client
	clock      clockwork.Clock

	mu        sync.Mutex
	addresses []netip.AddrPort
	expires   time.Time
}

// Option configures a Caller in New.
type Option func(*Caller)

// WithKey sets the API key that is sent with every request.
func WithKey(key string) Option { return func(c *Caller) { c.key = key } }

// WithDataCentre sets the data centre of the caller, so that nearby gateways are
// used first.
func WithDataCentre(name string) Option { return func(c *Caller) { c.dataCentre = name } }

// WithClock replaces the system clock, for tests.
func WithClock(clock clockwork.Clock) Option { return func(c *Caller) { c.clock = clock } }

// New returns a Caller that requests the list of gateways from those at seeds.
func New(seeds []netip.AddrPort, opts ...Option) *Caller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &Caller{
		seeds:  seeds,
		clock:  clockwork.NewRealClock(),
		client: &http.Client{Transport: transport.New(transport.WithDial(dialer.DialContext))},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Do sends a request and returns the response, whose body must be closed. If a
// gateway cannot be connected to, or refuses the request because it is shutting
// down or its configuration is stale, Do tries the next one. Any other response
// is returned. ErrRefused means that the request has not run; after any other
// error, the outcome is unknown.
func (c *Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return nil, errors.WithMessage(ErrRefused, err.Error())
	}
	for _, addr := range addresses {
		var resp *http.Response
		resp, err = c.send(ctx, method, addr, path, header, body)
		if err != nil && !notSent(err) {
			return nil, err
		}
		if err == nil && !tryNext(resp) {
			return resp, nil
		}
	}
	if err != nil {
		return nil, errors.WithMessage(ErrRefused, err.Error())
	}
	return nil, ErrRefused
}

// notSent reports whether no byte of the request has been sent.
func notSent(err error) bool {
	var unsent *transport.NotSentError
	return errors.As(err, &unsent)
}

// tryNext reports whether the request should be sent to the next gateway. It
// replaces the body of a 503 response by a buffered copy.
func tryNext(resp *http.Response) bool {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(bytes.NewReader(data))
	var body struct {
		Error struct {
			Code   string `json:"code"`
			NotRun bool   `json:"not_run"`
		} `json:"error"`
	}
	if err != nil || json.Unmarshal(data, &body) != nil || !body.Error.NotRun {
		return false
	}
	return body.Error.Code == "leaving" || body.Error.Code == "stale_configuration"
}

func (c *Caller) send(ctx context.Context, method string, addr netip.AddrPort, path string, header http.Header, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for name, values := range header {
		r.Header[name] = slices.Clone(values)
	}
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	return c.client.Do(r)
}

// Addresses returns the addresses of the gateways to use, in order of preference.
// It requests a new list when the time to live of the cached one has expired, and
// returns the expired list if no gateway responds.
func (c *Caller) Addresses(ctx context.Context) ([]netip.AddrPort, error) {
	c.mu.Lock()
	cached, valid := c.addresses, c.clock.Now().Before(c.expires)
	c.mu.Unlock()
	if valid {
		return cached, nil
	}
	err := errors.New("no gateway address is configured")
	for _, addr := range slices.Concat(cached, c.seeds) {
		var addresses []netip.AddrPort
		addresses, err = c.fetchAddresses(ctx, addr)
		if err == nil {
			return addresses, nil
		}
	}
	if len(cached) > 0 {
		return cached, nil
	}
	return nil, errors.Wrap(err, "request the list of gateways")
}

func (c *Caller) fetchAddresses(ctx context.Context, addr netip.AddrPort) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	requestedAt := c.clock.Now()
	path := "/v1/entry?" + url.Values{"data_centre": {c.dataCentre}}.Encode()
	resp, err := c.send(ctx, http.MethodGet, addr, path, nil, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Addresses  []netip.AddrPort `json:"addresses"`
		TTLSeconds int              `json:"ttl_seconds"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the gateway responded with status %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEntryBytes)).Decode(&body); err != nil {
		return nil, errors.Wrap(err, "decode the list of gateways")
	}
	if len(body.Addresses) == 0 {
		return nil, errors.New("the gateway returned an empty list of gateways")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = body.Addresses
	c.expires = requestedAt.Add(time.Duration(body.TTLSeconds) * time.Second)
	return body.Addresses, nil
}
