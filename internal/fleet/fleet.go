// Package fleet starts the real programs as processes on loopback, for the
// demo, experiments and integration tests. No program of the system imports
// it.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/operatorclient"
	"fireflypier.example/fireflypier/internal/settings"
)

// OperatorToken is the token of the operator of every fleet.
const OperatorToken = "operator-token"

// Programs are the paths of the built programs.
type Programs struct {
	// Fireflypier and Standin are the two programs.
	Fireflypier string
	Standin     string
}

// Build builds the programs into dir. It must be called within the module.
func Build(ctx context.Context, dir string, flags ...string) (Programs, error) {
	args := append([]string{"build"}, flags...)
	args = append(args, "-o", dir+string(filepath.Separator),
		"fireflypier.example/fireflypier/cmd/fireflypier",
		"fireflypier.example/fireflypier/cmd/standin")
	output, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
	if err != nil {
		return Programs{}, errors.Wrapf(err, "build programs: %s", output)
	}
	return Programs{
		Fireflypier: filepath.Join(dir, "fireflypier"),
		Standin:     filepath.Join(dir, "standin"),
	}, nil
}

// Fleet is a set of processes on loopback. Its methods may be called at the
// same time.
type Fleet struct {
	programs Programs
	dir      string

	mu        sync.Mutex
	processes []*Process
	platform  netip.AddrPort
}

// New returns a fleet without processes whose files are in dir.
func New(programs Programs, dir string) *Fleet {
	return &Fleet{programs: programs, dir: dir}
}

// Close kills every process that is left.
func (f *Fleet) Close() {
	f.mu.Lock()
	processes := f.processes
	f.processes = nil
	f.mu.Unlock()
	for _, p := range processes {
		_ = p.Thaw()
		p.Kill()
	}
}

func (f *Fleet) startProcess(name, program string, args ...string) (*Process, error) {
	p, err := Start(f.dir, name, exec.Command(program, args...))
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}

// Standin is a running stand-in.
type Standin struct {
	*Process
	// Addr is where it listens.
	Addr netip.AddrPort
}

func (f *Fleet) startStandin(ctx context.Context, name, kind string, config any, args ...string) (*Standin, error) {
	return f.startStandinAt(ctx, FreeAddr(), name, kind, config, args...)
}

func (f *Fleet) startStandinAt(ctx context.Context, addr netip.AddrPort, name, kind string, config any, args ...string) (*Standin, error) {
	configFile, err := f.writeSettings(name+".json", config)
	if err != nil {
		return nil, err
	}
	args = append([]string{kind, "--config", configFile, "--listen", addr.String()}, args...)
	args = append(args, "--port-out", filepath.Join(f.dir, name+".addr"))
	p, err := f.startProcess(name, f.programs.Standin, args...)
	if err != nil {
		return nil, err
	}
	return &Standin{Process: p, Addr: addr}, waitListening(ctx, addr)
}

// StartPlatform starts the stand-in platform. Every later process uses it.
func (f *Fleet) StartPlatform(ctx context.Context, config any) (*Standin, error) {
	s, err := f.startStandin(ctx, "platform", "platform", config)
	if err != nil {
		return nil, err
	}
	f.SetPlatform(s.Addr)
	return s, nil
}

// SetPlatform makes later processes use the platform at addr, for instance
// through a fault proxy.
func (f *Fleet) SetPlatform(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform = addr
}

// StartEngine starts a stand-in engine.
func (f *Fleet) StartEngine(ctx context.Context, name string, config any) (*Standin, error) {
	return f.startStandin(ctx, name, "engine", config, "--weights", f.platformAddr().String())
}

// RestartEngine starts a new life of a stand-in engine at an address whose
// former process has ended.
func (f *Fleet) RestartEngine(ctx context.Context, name string, addr netip.AddrPort, config any) (*Standin, error) {
	return f.startStandinAt(ctx, addr, name, "engine", config, "--weights", f.platformAddr().String())
}

// StartService starts a stand-in plain service.
func (f *Fleet) StartService(ctx context.Context, name string) (*Standin, error) {
	return f.startStandin(ctx, name, "service", struct{}{})
}

func (f *Fleet) platformAddr() netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.platform
}

// Node is a running gateway or controller.
type Node struct {
	*Process
	// Addr serves callers or operators, Admin metrics and dumps, Peer the
	// other processes.
	Addr, Admin, Peer netip.AddrPort
}

// processSettings returns settings with fresh loopback addresses.
func (f *Fleet) processSettings(name string) settings.Process {
	return settings.Process{
		Name: name, Region: "region-1", DataCentre: "dc-1",
		PeerListen: FreeAddr(), AdminListen: FreeAddr(),
		Platform: f.platformAddr(), LogLevel: "debug",
	}
}

// StartGateway starts a gateway; change adjusts its settings first.
func (f *Fleet) StartGateway(ctx context.Context, name string, change func(*settings.Gateway)) (*Node, error) {
	cfg := &settings.Gateway{Process: f.processSettings(name), Listen: FreeAddr()}
	if change != nil {
		change(cfg)
	}
	return f.startNode(ctx, name, "gateway", cfg, cfg.Listen, &cfg.Process)
}

// StartController starts a controller; change adjusts its settings first.
func (f *Fleet) StartController(ctx context.Context, name string, change func(*settings.Controller)) (*Node, error) {
	sum := sha256.Sum256([]byte(OperatorToken))
	cfg := &settings.Controller{
		Process: f.processSettings(name), OperatorListen: FreeAddr(),
		OperatorTokens: map[string]string{"operator": hex.EncodeToString(sum[:])},
	}
	if change != nil {
		change(cfg)
	}
	return f.startNode(ctx, name, "controller", cfg, cfg.OperatorListen, &cfg.Process)
}

func (f *Fleet) startNode(ctx context.Context, name, kind string, cfg any, addr netip.AddrPort, common *settings.Process) (*Node, error) {
	file, err := f.writeSettings(name+".json", cfg)
	if err != nil {
		return nil, err
	}
	p, err := f.startProcess(name, f.programs.Fireflypier, kind, "--settings", file)
	if err != nil {
		return nil, err
	}
	n := &Node{Process: p, Addr: addr, Admin: common.AdminListen, Peer: common.PeerListen}
	return n, waitListening(ctx, n.Admin)
}

func (f *Fleet) writeSettings(name string, v any) (string, error) {
	data, err := document.Encode(v)
	if err != nil {
		return "", err
	}
	file := filepath.Join(f.dir, name)
	return file, errors.Wrap(os.WriteFile(file, data, 0o600), "write settings")
}

// Operator returns a client of the given controllers.
func (f *Fleet) Operator(controllers ...*Node) *operatorclient.Client {
	addrs := make([]netip.AddrPort, 0, len(controllers))
	for _, c := range controllers {
		addrs = append(addrs, c.Addr)
	}
	return operatorclient.New(addrs, OperatorToken)
}

// Ready waits until the node says that it can serve.
func (n *Node) Ready(ctx context.Context) error {
	return Eventually(ctx, func() error {
		resp, err := http.Get(fmt.Sprintf("http://%s/readyz", n.Admin))
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("%s is not ready: %s", n.Name, resp.Status)
		}
		return nil
	})
}

// Ports below the range that the kernel gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

var usedPorts sync.Map

// FreeAddr returns a loopback address that nothing listens on and that it has
// not returned before.
func FreeAddr() netip.AddrPort {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		if _, used := usedPorts.LoadOrStore(port, true); used {
			continue
		}
		listener, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue
		}
		_ = listener.Close()
		return addr
	}
}

func waitListening(ctx context.Context, addr netip.AddrPort) error {
	return Eventually(ctx, func() error {
		conn, err := net.Dial("tcp", addr.String())
		if err != nil {
			return err
		}
		return conn.Close()
	})
}
