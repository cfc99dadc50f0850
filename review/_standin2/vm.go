package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// site has what all VMs of a case share.
type site struct {
	dir       string
	program   string
	storeAddr string
	network   string
	ports     [6]int
	seeds     []string
	memoryMB  int
	maxFDs    int
}

// newSite chooses a network of loopback addresses and free ports.
func newSite(dir, storeAddr string) *site {
	s := &site{dir: dir, program: filepath.Join("target", "fireflypier"), storeAddr: storeAddr, memoryMB: 284, maxFDs: 4100}
	s.network = fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, time.Now().UnixNano()/1000%250)
	var held []net.Listener
	for i := range s.ports {
		l := listen("127.0.0.1")
		held = append(held, l)
		s.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	for _, l := range held {
		_ = l.Close()
	}
	if s.ports[4] > s.ports[5] {
		s.ports[4], s.ports[5] = s.ports[5], s.ports[4]
	}
	for n := 1; n <= 3; n++ {
		s.seeds = append(s.seeds, strconv.Quote(s.addr(n, 3)))
	}
	return s
}

// addr returns an address of VM n: 0 front, 1 ready, 2 directory, 3 control, 4 peers, 5 metrics.
func (s *site) addr(n, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d", s.network, n), strconv.Itoa(s.ports[port]))
}

// zones are those of a small deployment.
var zones = [...]string{"zone-a", "zone-b", "zone-c"}

// vm is a VM with one process of the system.
type vm struct {
	site *site
	n    int
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts the process of VM n, with the command of the deploy file.
func (s *site) start(n int) (*vm, error) {
	zone := zones[(n-1)%len(zones)]
	ip, _, _ := net.SplitHostPort(s.addr(n, 0))
	text := fmt.Sprintf(`node: "front-%s-%d"
role: "node"
machine_class: "front"
serves: ["front", "control", "directory"]
ip: "%s"
zone: "%s"
region: "region"
zones: {zone-a: "region", zone-b: "region", zone-c: "region"}
listen: {front: "%s", ready: "%s", directory: "%s", control: "%s"}
internal_ports: [%d, %d]
seeds: [%s]
bootstrap: false
counts_as_loss: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: %d, max_fds: %d, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"]
fault_tolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, stability_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, back_ms: 250, outer_ms: 5000, revoke_closed: false, revoke_ms: 5000, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 52, quota_window_s: 8, quota_overage: 0.1, quota_slack: 110000, recover_s: 12, pass_ms: 120, retry_after_s: 0, require_fence: false, lease_ms: 3000, thaw_ms: 300, ceiling_window_s: 5, load_overage: 1.1, ttl_max_s: 5}
platform: {address: "%s", form: "table", writes_per_s: 400, reads_per_s: 2000, tx_ms: 3.0, part_writes_s: 300, row_bytes: 65536, across: true, history_s: 20, blob_bytes: 8388608, blob_ms: 25.0, blob_mb_s: 80.0}
`, zone, n, ip, zone, s.addr(n, 0), s.addr(n, 1), s.addr(n, 2), s.addr(n, 3), s.ports[4], s.ports[5],
		strings.Join(s.seeds, ", "), s.memoryMB, s.maxFDs, s.storeAddr)
	file := filepath.Join(s.dir, fmt.Sprintf("boot-%d.yaml", n))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, fmt.Sprintf("log-%d", n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	v := &vm{site: s, n: n, cmd: exec.Command(s.program, "node"), done: make(chan struct{})}
	v.cmd.Env = append(os.Environ(), "FIREFLYPIER_CONFIG="+file)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(v.done)
		_ = v.cmd.Wait()
	}()
	return v, nil
}

// kill ends the process with SIGKILL.
func (v *vm) kill() {
	_ = v.cmd.Process.Kill()
	<-v.done
}

// ended reports whether the process has ended.
func (v *vm) ended() bool {
	select {
	case <-v.done:
		return true
	default:
		return false
	}
}

// awaitReady waits until the VM counts as ready.
func (v *vm) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + v.site.addr(v.n, 1) + "/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// memoryMB returns the resident memory of the process in MB (2^20 bytes), zero if it has ended.
func (v *vm) memoryMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}
