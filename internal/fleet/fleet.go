// Package fleet runs the programs of the system and the stand-ins as processes on
// loopback addresses, for the demo, experiments and integration tests. No
// production program imports it.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
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

// OperatorToken is the operator token that the controllers of every fleet accept.
const OperatorToken = "operator-token"

// Programs holds the paths of the executables.
type Programs struct {
	Fireflypier string
	Standin     string
}

// Build compiles the programs into dir, with additional flags for go build. The
// working directory must be within the module.
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

// Fleet is a set of processes on loopback addresses. It is safe for concurrent use.
type Fleet struct {
	programs Programs
	dir      string

	mu        sync.Mutex
	processes []*Process
	platform  netip.AddrPort
}

// New returns a fleet without processes. Their settings and logs will be written
// to dir.
func New(programs Programs, dir string) *Fleet {
	return &Fleet{programs: programs, dir: dir}
}

// Close kills all processes, including frozen ones.
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

// Standin is the process of a stand-in.
type Standin struct {
	*Process
	// Addr is the address on which the stand-in listens.
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
	return &Standin{Process: p, Addr: addr}, waitListening(ctx, p, addr)
}

// StartPlatform starts the stand-in of the platform. Processes started afterwards
// use it.
func (f *Fleet) StartPlatform(ctx context.Context, config any) (*Standin, error) {
	s, err := f.startStandin(ctx, "platform", "platform", config)
	if err != nil {
		return nil, err
	}
	f.SetPlatform(s.Addr)
	return s, nil
}

// SetPlatform sets the platform address of the processes started afterwards, for
// instance to that of a fault proxy.
func (f *Fleet) SetPlatform(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform = addr
}

// StartEngine starts a stand-in of an engine.
func (f *Fleet) StartEngine(ctx context.Context, name string, config any) (*Standin, error) {
	return f.startStandin(ctx, name, "engine", config, "--weights", f.platformAddr().String())
}

// RestartEngine starts a stand-in of an engine at the address of an engine whose
// process has ended.
func (f *Fleet) RestartEngine(ctx context.Context, name string, addr netip.AddrPort, config any) (*Standin, error) {
	return f.startStandinAt(ctx, addr, name, "engine", config, "--weights", f.platformAddr().String())
}

// StartService starts a stand-in of a plain service.
func (f *Fleet) StartService(ctx context.Context, name string) (*Standin, error) {
	return f.startStandin(ctx, name, "service", struct{}{})
}

func (f *Fleet) platformAddr() netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.platform
}

// Node is the process of a gateway or controller.
type Node struct {
	*Process
	// Addr is the address of the caller or operator API, Admin that of metrics and
	// dumps, and Peer that for the other gateways and controllers.
	Addr, Admin, Peer netip.AddrPort
}

// processSettings returns settings with unused loopback addresses.
func (f *Fleet) processSettings(name string) settings.Process {
	return settings.Process{
		Name: name, Region: "region-1", DataCentre: "dc-1",
		PeerListen: FreeAddr(), AdminListen: FreeAddr(),
		Platform: f.platformAddr(), LogLevel: "debug",
	}
}

// StartGateway starts a gateway. If change is not nil, it is called first to adjust
// the settings.
func (f *Fleet) StartGateway(ctx context.Context, name string, change func(*settings.Gateway)) (*Node, error) {
	cfg := &settings.Gateway{Process: f.processSettings(name), Listen: FreeAddr()}
	if change != nil {
		change(cfg)
	}
	return f.startNode(ctx, name, "gateway", cfg, cfg.Listen, &cfg.Process)
}

// StartController starts a controller. If change is not nil, it is called first to
// adjust the settings.
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
	return n, waitListening(ctx, p, n.Admin)
}

func (f *Fleet) writeSettings(name string, v any) (string, error) {
	data, err := document.Encode(v)
	if err != nil {
		return "", err
	}
	file := filepath.Join(f.dir, name)
	return file, errors.Wrap(os.WriteFile(file, data, 0o600), "write settings")
}

// Operator returns an operator API client of the given controllers.
func (f *Fleet) Operator(controllers ...*Node) *operatorclient.Client {
	addrs := make([]netip.AddrPort, 0, len(controllers))
	for _, c := range controllers {
		addrs = append(addrs, c.Addr)
	}
	return operatorclient.New(addrs, OperatorToken)
}

// Ready waits until the readiness check of the node succeeds.
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

// waitListening waits until a process accepts connections at addr. It fails at once,
// with the process's output, if the process ends before.
func waitListening(ctx context.Context, p *Process, addr netip.AddrPort) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-p.Done():
			output, err := p.Log()
			if err != nil {
				output = err.Error()
			}
			cancel(errors.Errorf("process %s ended before it listened on %s: %v\n%s", p.Name, addr, p.err, output))
		case <-ctx.Done():
		}
	}()
	err := Eventually(ctx, func() error {
		conn, err := net.Dial("tcp", addr.String())
		if err != nil {
			return err
		}
		return conn.Close()
	})
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return errors.Wrap(cause, err.Error())
	}
	return err
}
