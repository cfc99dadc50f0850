// Package settings reads the settings of gateways and controllers: JSON with
// comments, checked as a whole.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/document"
)

// Process holds what gateways and controllers have in common.
type Process struct {
	// Name is unique among the processes of the fleet.
	Name string `json:"name"`
	// Region and DataCentre tell where the VM is.
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// PeerListen is the address for the system's own processes.
	PeerListen netip.AddrPort `json:"peer_listen"`
	// PeerAddress is the address under which others reach PeerListen; by
	// default the same.
	PeerAddress netip.AddrPort `json:"peer_address,omitzero"`
	// AdminListen serves metrics, health and dumps.
	AdminListen netip.AddrPort `json:"admin_listen"`
	// Platform is the address of the platform's service.
	Platform netip.AddrPort `json:"platform"`
	// SeedPeers are peer addresses of other processes, which are asked when
	// the platform's service is out at the start.
	SeedPeers []netip.AddrPort `json:"seed_peers,omitzero"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `json:"log_level,omitzero"`
	// LogJSON writes logs as JSON instead of text.
	LogJSON bool `json:"log_json,omitzero"`
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Process
	// Listen is the address for callers.
	Listen netip.AddrPort `json:"listen"`
	// Address is the address given to callers; by default Listen.
	Address netip.AddrPort `json:"address,omitzero"`
	// MaxBodyBytes bounds request bodies.
	MaxBodyBytes int64 `json:"max_body_bytes,omitzero"`
	// MaxHeaderBytes bounds request headers.
	MaxHeaderBytes int `json:"max_header_bytes,omitzero"`
	// MaxConnections bounds the callers' connections.
	MaxConnections int `json:"max_connections,omitzero"`
	// HeaderTimeout and BodyTimeout bound how slowly a request may arrive.
	HeaderTimeout time.Duration `json:"header_timeout,omitzero"`
	BodyTimeout   time.Duration `json:"body_timeout,omitzero"`
	// RequestTimeout bounds a request without a route of its own.
	RequestTimeout time.Duration `json:"request_timeout,omitzero"`
	// DefaultMaxTokens bounds answers whose request names no bound.
	DefaultMaxTokens int `json:"default_max_tokens,omitzero"`
	// FreshnessBound is the age up to which a configuration is vouched for.
	FreshnessBound time.Duration `json:"freshness_bound,omitzero"`
	// EntryTTL is how long a caller keeps an entry answer.
	EntryTTL time.Duration `json:"entry_ttl,omitzero"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration `json:"drain_timeout,omitzero"`
	// Requests bounds running requests.
	Requests Requests `json:"requests,omitzero"`
}

// Controller holds the settings of a controller.
type Controller struct {
	Process
	// OperatorListen is the address for operators.
	OperatorListen netip.AddrPort `json:"operator_listen"`
	// OperatorTokens maps operators' names to the SHA-256 of their tokens.
	OperatorTokens map[string]string `json:"operator_tokens"`
	// CollectInterval is the time between two reports of an engine.
	CollectInterval time.Duration `json:"collect_interval,omitzero"`
	// PlanInterval is the time between two plans.
	PlanInterval time.Duration `json:"plan_interval,omitzero"`
}

// Default values of optional settings.
const (
	defaultMaxBodyBytes     = 4 << 20
	defaultMaxHeaderBytes   = 32 << 10
	defaultMaxConnections   = 4096
	defaultHeaderTimeout    = 10 * time.Second
	defaultBodyTimeout      = 30 * time.Second
	defaultRequestTimeout   = 2 * time.Minute
	defaultMaxTokens        = 256
	defaultFreshnessBound   = 4 * time.Second
	defaultEntryTTL         = 5 * time.Second
	defaultDrainTimeout     = 2 * time.Minute
	defaultCollectInterval  = 500 * time.Millisecond
	defaultPlanInterval     = time.Second
	defaultLogLevel         = "info"
	minimumRequestBodyBytes = 1 << 10
)

// ReadGateway reads and checks the gateway settings in file.
func ReadGateway(file string) (*Gateway, error) {
	var s Gateway
	if err := read(file, &s); err != nil {
		return nil, err
	}
	s.fill()
	return &s, s.check(file)
}

// ReadController reads and checks the controller settings in file.
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
	setDefault(&s.MaxConnections, defaultMaxConnections)
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
		return invalid(file, "/operator_tokens", "operator_tokens names no operator")
	case s.CollectInterval < 0 || s.PlanInterval < 0:
		return invalid(file, "", "durations must not be negative")
	}
	return nil
}
