// Package caller sends requests to fireflypier's gateways: it asks which
// gateways to use, keeps the answer for its time to live, and goes on to the
// next gateway where that is safe.
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
)

const (
	dialTimeout      = 2 * time.Second
	entryTimeout     = 5 * time.Second
	maxEntryBytes    = 1 << 20
	maxRefusalBytes  = 64 << 10
	idleConnsPerHost = 64
)

// ErrRefused means that every gateway refused for now or could not be
// connected to; the request did not run.
var ErrRefused = errors.New("every gateway refused for now")

// Caller sends requests for one customer. It may be used by many goroutines.
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

// Option changes a Caller under construction.
type Option func(*Caller)

// WithKey presents an API key with each request.
func WithKey(key string) Option { return func(c *Caller) { c.key = key } }

// WithDataCentre names the caller's data centre, so that near gateways are
// used first.
func WithDataCentre(name string) Option { return func(c *Caller) { c.dataCentre = name } }

// WithClock replaces the real clock.
func WithClock(clock clockwork.Clock) Option { return func(c *Caller) { c.clock = clock } }

// New returns a caller that asks the gateways at seeds which to use.
func New(seeds []netip.AddrPort, opts ...Option) *Caller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &Caller{
		seeds: seeds,
		clock: clockwork.NewRealClock(),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnsPerHost,
		}},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Do sends one request and returns the answer, whose body the caller of Do
// closes. It goes on to the next gateway when a gateway cannot be connected
// to, or refuses because it leaves or its configuration is stale. Any other
// answer is returned. ErrRefused means that the request did not run; any other
// error means that the outcome is unknown.
func (c *Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return nil, errors.WithMessage(ErrRefused, err.Error())
	}
	for _, addr := range addresses {
		var answer *http.Response
		answer, err = c.send(ctx, method, addr, path, header, body)
		if err != nil && !notConnected(err) {
			return nil, err
		}
		if err == nil && !goesOn(answer) {
			return answer, nil
		}
	}
	if err != nil {
		return nil, errors.WithMessage(ErrRefused, err.Error())
	}
	return nil, ErrRefused
}

// notConnected reports whether no byte of the request can have been sent.
func notConnected(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// goesOn reports whether another gateway should be asked; it then closes the
// answer.
func goesOn(answer *http.Response) bool {
	if answer.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxRefusalBytes))
	_ = answer.Body.Close()
	answer.Body = io.NopCloser(bytes.NewReader(data))
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

// Addresses returns the gateways to use, best first. It asks again when the
// last answer's time to live has run out; when no gateway answers, the last
// answer stands.
func (c *Caller) Addresses(ctx context.Context) ([]netip.AddrPort, error) {
	c.mu.Lock()
	known, fresh := c.addresses, c.clock.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return known, nil
	}
	err := errors.New("no gateway is named")
	for _, addr := range slices.Concat(known, c.seeds) {
		var addresses []netip.AddrPort
		addresses, err = c.ask(ctx, addr)
		if err == nil {
			return addresses, nil
		}
	}
	if len(known) > 0 {
		return known, nil
	}
	return nil, errors.Wrap(err, "ask for gateways")
}

func (c *Caller) ask(ctx context.Context, addr netip.AddrPort) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	asked := c.clock.Now()
	path := "/v1/entry?" + url.Values{"data_centre": {c.dataCentre}}.Encode()
	answer, err := c.send(ctx, http.MethodGet, addr, path, nil, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	var body struct {
		Addresses  []netip.AddrPort `json:"addresses"`
		TTLSeconds int              `json:"ttl_seconds"`
	}
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the gateway answers %s", answer.Status)
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxEntryBytes)).Decode(&body); err != nil {
		return nil, errors.Wrap(err, "decode entry answer")
	}
	if len(body.Addresses) == 0 {
		return nil, errors.New("the gateway knows no gateway")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = body.Addresses
	c.expires = asked.Add(time.Duration(body.TTLSeconds) * time.Second)
	return body.Addresses, nil
}
