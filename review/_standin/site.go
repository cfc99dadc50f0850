package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts an ended process again.
const restartDelay = 300 * time.Millisecond

// site is a small deployment: the project's processes, the store and the engines.
type site struct {
	dir      string
	store    *store
	nodes    []*node
	network  string
	ports    [6]int
	record   *bufio.Writer
	started  time.Time
	memoryMB int
	grace    int

	mu      sync.Mutex
	engines []*engine
	closed  bool
}

// node is one VM with its process.
type node struct {
	site *site
	name string
	ip   string
	file string

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	// ends are the times at which its process ended by itself or by a signal.
	ends []time.Time
}

// newSite starts the store. record is the path of the record.
func newSite(record string) *site {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	f, err := os.Create(record)
	check(err)
	s := &site{dir: dir, store: startStore(), record: bufio.NewWriter(f), started: time.Now(), memoryMB: 284, grace: 8}
	s.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
	for i := range s.ports {
		s.ports[i] = freePort(s.network + ".1")
	}
	if s.ports[4] > s.ports[5] {
		s.ports[4], s.ports[5] = s.ports[5], s.ports[4]
	}
	return s
}

// freePort returns a port that is free at an address, below those that the kernel gives to
// outgoing connections.
func freePort(ip string) int {
	for range 1000 {
		port := 12000 + rand.IntN(18000)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err == nil {
			_ = l.Close()
			return port
		}
	}
	fail("no free port at %s", ip)
	return 0
}

// note writes a line with the time since the start to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// startNodes starts n processes and waits until all of them are ready.
func (s *site) startNodes(n int) {
	for i := range n {
		x := &node{site: s, name: fmt.Sprintf("front-a-%d", i+1), ip: fmt.Sprintf("%s.%d", s.network, i+1)}
		s.nodes = append(s.nodes, x)
	}
	for _, x := range s.nodes {
		x.file = filepath.Join(s.dir, x.name+".yaml")
		s.configure(x)
		go x.supervise()
	}
	for _, x := range s.nodes {
		x.awaitReady(15 * time.Second)
	}
	time.Sleep(2 * time.Second)
}

func (s *site) configure(x *node) {
	seeds := ""
	for _, o := range s.nodes[:min(3, len(s.nodes))] {
		seeds += fmt.Sprintf("  - \"%s:%d\"\n", o.ip, s.ports[3])
	}
	text := fmt.Sprintf(`node: %q
role: "node"
machine_class: "front"
serves: ["front", "directory", "control"]
ip: %q
zone: "a"
region: "r"
zones: {a: "r"}
listen:
  front: "%[2]s:%[3]d"
  ready: "%[2]s:%[4]d"
  directory: "%[2]s:%[5]d"
  control: "%[2]s:%[6]d"
internal_ports: [%[7]d, %[8]d]
seeds:
%[9]sbootstrap: true
counts_as_loss: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: %[10]d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
fault_tolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, stability_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: %[11]d, loss_slack_ms: 200, config_apply_ms: 2000, back_ms: 250, outer_ms: 5000, revoke_closed: false, revoke_ms: 5000, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 52, quota_window_s: 8, quota_overage: 0.1, quota_slack: 110000, recover_s: 12, pass_ms: 120, retry_after_s: 0, require_fence: false, lease_ms: 3000, thaw_ms: 300, ceiling_window_s: 5, load_overage: 1.1, ttl_max_s: 5}
platform: {address: %[12]q, form: "table", writes_per_s: 400, reads_per_s: 2000, tx_ms: 3.0, part_writes_s: 300, row_bytes: 65536, across: true, history_s: 20}
`, x.name, x.ip, s.ports[0], s.ports[1], s.ports[2], s.ports[3], s.ports[4], s.ports[5], seeds, s.memoryMB, s.grace, s.store.address)
	check(os.WriteFile(x.file, []byte(text), 0o600))
}

// supervise starts the process, and starts it again whenever it ends, until the site
// is closed.
func (x *node) supervise() {
	for {
		x.mu.Lock()
		if x.site.isClosed() {
			x.mu.Unlock()
			return
		}
		logs, err := os.OpenFile(filepath.Join(x.site.dir, x.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		check(err)
		cmd := exec.Command("target/fireflypier", "node")
		cmd.Env = []string{"FIREFLYPIER_CONFIG=" + x.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = logs, logs
		check(cmd.Start())
		ended := make(chan struct{})
		x.process, x.ended = cmd.Process, ended
		x.mu.Unlock()
		err = cmd.Wait()
		_ = logs.Close()
		x.mu.Lock()
		x.process = nil
		x.ends = append(x.ends, time.Now())
		x.mu.Unlock()
		close(ended)
		if !x.site.isClosed() {
			x.site.note("process of %s ended: %v", x.name, err)
		}
		time.Sleep(restartDelay)
	}
}

func (s *site) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// pid returns the ID of the running process; zero if there is none.
func (x *node) pid() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.process == nil {
		return 0
	}
	return x.process.Pid
}

// signal sends a signal to the running process.
func (x *node) signal(sig syscall.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.process != nil {
		_ = x.process.Signal(sig)
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace period, as the platform does.
func (x *node) terminate() {
	x.mu.Lock()
	process, ended := x.process, x.ended
	x.mu.Unlock()
	if process == nil {
		return
	}
	x.site.note("SIGTERM to %s", x.name)
	_ = process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(time.Duration(x.site.grace) * time.Second):
		_ = process.Kill()
	}
}

func (x *node) front() string { return fmt.Sprintf("%s:%d", x.ip, x.site.ports[0]) }

func (x *node) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", x.ip, x.site.ports[1]), nil)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (x *node) awaitReady(timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if x.ready() {
			return
		}
	}
	fail("%s isn't ready", x.name)
}

// resolve asks the directories for the addresses of the front, as requesters do.
func (s *site) resolve() []string {
	for _, i := range rand.Perm(len(s.nodes)) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/resolve?name=h.example&region=r&zone=a", s.nodes[i].ip, s.ports[2]), nil)
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			cancel()
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(res.Body).Decode(&body)
		_ = res.Body.Close()
		cancel()
		if err == nil && len(body.Addresses) > 0 {
			return body.Addresses
		}
	}
	return nil
}

// close ends all processes and flushes the record.
func (s *site) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, x := range s.nodes {
		x.mu.Lock()
		process, ended := x.process, x.ended
		if process != nil {
			_ = process.Kill()
		}
		x.mu.Unlock()
		if process != nil {
			<-ended
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Flush()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}
