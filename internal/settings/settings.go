// Package settings reads and validates the settings files of gateways and
// controllers, which are JSON with comments.
package settings

import (
	"cmp"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/processmemory"
)

// Process holds the settings that gateways and controllers share.
type Process struct {
	// Name is unique among the processes of the fleet.
	Name string `json:"name"`
	// Region and DataCentre are the location of the VM.
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// PeerListen is the listen address for other gateways and controllers.
	PeerListen netip.AddrPort `json:"peer_listen"`
	// PeerAddress is the address at which other processes reach PeerListen. It
	// defaults to PeerListen.
	PeerAddress netip.AddrPort `json:"peer_address,omitzero"`
	// AdminListen is the listen address for metrics, health checks and dumps.
	AdminListen netip.AddrPort `json:"admin_listen"`
	// Platform is the address of the platform's HTTP service.
	Platform netip.AddrPort `json:"platform"`
	// SeedPeers are peer addresses of other processes, used if the platform's
	// service is unavailable at startup.
	SeedPeers []netip.AddrPort `json:"seed_peers,omitzero"`
	// MemoryMB is the memory limit of the process in MiB. Parts of it bound connections with
	// their request headers, and the heap. Without it, the heap is not bounded.
	MemoryMB int64 `json:"memory_mb,omitzero"`
	// LogLevel is trace, debug, info, warn or error; it defaults to info.
	LogLevel string `json:"log_level,omitzero"`
	// LogJSON selects JSON instead of text for the log.
	LogJSON bool `json:"log_json,omitzero"`
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Process
	// Listen is the listen address for callers.
	Listen netip.AddrPort `json:"listen"`
	// Address is the address announced to callers. It defaults to Listen.
	Address netip.AddrPort `json:"address,omitzero"`
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes,omitzero"`
	// MaxHeaderBytes limits the size of a request header.
	MaxHeaderBytes int `json:"max_header_bytes,omitzero"`
	// MaxConnections limits the number of open connections from callers; those above it are
	// refused. Without it, 4096 are open at most, and idle connections are closed for new ones.
	MaxConnections int `json:"max_connections,omitzero"`
	// HeaderTimeout and BodyTimeout limit the time until the header and the body of
	// a request have arrived.
	HeaderTimeout time.Duration `json:"header_timeout,omitzero"`
	BodyTimeout   time.Duration `json:"body_timeout,omitzero"`
	// RequestTimeout limits requests to models and requests of routes that set no
	// timeout.
	RequestTimeout time.Duration `json:"request_timeout,omitzero"`
	// DefaultMaxTokens limits the answer of a request that sets no maximum.
	DefaultMaxTokens int `json:"default_max_tokens,omitzero"`
	// FreshnessBound is the maximum age of the last confirmation of the
	// configuration; older configurations serve no requests.
	FreshnessBound time.Duration `json:"freshness_bound,omitzero"`
	// EntryTTL is how long a caller may cache the addresses of /v1/entry.
	EntryTTL time.Duration `json:"entry_ttl,omitzero"`
	// DrainTimeout limits the duration of a graceful shutdown.
	DrainTimeout time.Duration `json:"drain_timeout,omitzero"`
	// Requests holds the limits of running requests.
	Requests Requests `json:"requests,omitzero"`
}

// Memory returns the memory limit of the process; a default if the settings have none.
func (s *Process) Memory() processmemory.Limit {
	return processmemory.Limit(cmp.Or(s.MemoryMB, defaultMemoryMB) << 20)
}

// Controller holds the settings of a controller.
type Controller struct {
	Process
	// OperatorListen is the listen address of the operator API.
	OperatorListen netip.AddrPort `json:"operator_listen"`
	// OperatorTokens maps the names of operators to the SHA-256 hashes of their
	// tokens.
	OperatorTokens map[string]string `json:"operator_tokens"`
	// CollectInterval is the time between two reads of an engine's report.
	CollectInterval time.Duration `json:"collect_interval,omitzero"`
	// PlanInterval is the time between two planning runs.
	PlanInterval time.Duration `json:"plan_interval,omitzero"`
}

// Default values of optional settings.
const (
	defaultMaxBodyBytes     = 4 << 20
	defaultMaxHeaderBytes   = 32 << 10
	defaultHeaderTimeout    = 10 * time.Second
	defaultBodyTimeout      = 30 * time.Second
	defaultRequestTimeout   = 2 * time.Minute
	defaultMaxTokens        = 256
	defaultFreshnessBound   = 4 * time.Second
	defaultEntryTTL         = 5 * time.Second
	defaultDrainTimeout     = 2 * time.Minute
	defaultCollectInterval  = 500 * time.Millisecond
	defaultPlanInterval     = time.Second
	defaultMemoryMB         = 1024
	defaultLogLevel         = "info"
	minimumRequestBodyBytes = 1 << 10
)

// ReadGateway reads the gateway settings in file, fills in defaults and validates them.
func ReadGateway(file string) (*Gateway, error) {
	var s Gateway
	if err := read(file, &s); err != nil {
		return nil, err
	}
	s.fill()
	return &s, s.check(file)
}

// ReadController reads the controller settings in file, fills in defaults and
// validates them.
func ReadController(file string) (*Controller, error) {
	var s Controller
	if err := read(file, &s); err != nil {
		return nil, err
	}
	s.fill()
	return &s, s.check(file)
}

func read(file string, v any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return document.Decode(file, data, v)
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

func (s *Process) fill() {
	setDefault(&s.PeerAddress, s.PeerListen)
	setDefault(&s.LogLevel, defaultLogLevel)
}

func (s *Gateway) fill() {
	s.Process.fill()
	s.Requests.fill()
	setDefault(&s.Address, s.Listen)
	setDefault(&s.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&s.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&s.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&s.BodyTimeout, defaultBodyTimeout)
	setDefault(&s.RequestTimeout, defaultRequestTimeout)
	setDefault(&s.DefaultMaxTokens, defaultMaxTokens)
	setDefault(&s.FreshnessBound, defaultFreshnessBound)
	setDefault(&s.EntryTTL, defaultEntryTTL)
	setDefault(&s.DrainTimeout, defaultDrainTimeout)
}

func (s *Controller) fill() {
	s.Process.fill()
	setDefault(&s.CollectInterval, defaultCollectInterval)
	setDefault(&s.PlanInterval, defaultPlanInterval)
}

func invalid(file, path, message string) error {
	return &document.Error{File: file, Path: path, Message: message}
}

func (s *Process) check(file string) error {
	switch {
	case s.Name == "":
		return invalid(file, "/name", "name is missing")
	case s.Region == "":
		return invalid(file, "/region", "region is missing")
	case s.DataCentre == "":
		return invalid(file, "/data_centre", "data_centre is missing")
	case !s.PeerListen.IsValid():
		return invalid(file, "/peer_listen", "peer_listen is missing")
	case !s.AdminListen.IsValid():
		return invalid(file, "/admin_listen", "admin_listen is missing")
	case s.MemoryMB < 0:
		return invalid(file, "/memory_mb", "memory_mb must not be negative")
	case !s.Platform.IsValid():
		return invalid(file, "/platform", "platform is missing")
	}
	return nil
}

func (s *Gateway) check(file string) error {
	if err := s.Process.check(file); err != nil {
		return err
	}
	switch {
	case !s.Listen.IsValid():
		return invalid(file, "/listen", "listen is missing")
	case s.MaxBodyBytes < minimumRequestBodyBytes:
		return invalid(file, "/max_body_bytes", "max_body_bytes must be at least 1024")
	case s.MaxHeaderBytes < 0 || s.MaxConnections < 0 || s.DefaultMaxTokens < 0:
		return invalid(file, "", "limits must not be negative")
	case s.HeaderTimeout < 0 || s.BodyTimeout < 0 || s.RequestTimeout < 0 || s.FreshnessBound < 0 || s.EntryTTL < 0 || s.DrainTimeout < 0:
		return invalid(file, "", "durations must not be negative")
	}
	return s.Requests.check(file)
}

func (s *Controller) check(file string) error {
	if err := s.Process.check(file); err != nil {
		return err
	}
	switch {
	case !s.OperatorListen.IsValid():
		return invalid(file, "/operator_listen", "operator_listen is missing")
	case len(s.OperatorTokens) == 0:
		return invalid(file, "/operator_tokens", "operator_tokens is empty")
	case s.CollectInterval < 0 || s.PlanInterval < 0:
		return invalid(file, "", "durations must not be negative")
	}
	return nil
}
