package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts an ended process again.
const restartDelay = 200 * time.Millisecond

// world has the processes under test and the stand-ins around them.
type world struct {
	program string
	dir     string
	record  *os.File
	started time.Time
	store   *store
	// network is the second byte of the loopback addresses, third the third one.
	prefix string
	ports  []int

	nodes   []*node
	engines []*engine

	mu     sync.Mutex
	orders []order
	runs   map[string][]string
	// answers counts the answers by status.
	answers map[string]int
	closed  bool
}

// node is one machine, on which the program is started again whenever it ends.
type node struct {
	w        *world
	name     string
	ip       string
	zone     string
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	// down keeps the process from being started again while it is set.
	down bool
	// ended is closed when the current process has ended.
	ended chan struct{}
}

func newWorld(recordPath string) (*world, error) {
	program, err := filepath.Abs("target/fireflypier")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{program: program, dir: dir, record: f, started: time.Now(), store: newStore(), runs: map[string][]string{}, answers: map[string]int{}}
	w.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
	if w.ports, err = freePorts(w.prefix+"1", 6); err != nil {
		return nil, err
	}
	return w, nil
}

// freePorts returns ports in ascending order that were free on an address just now.
func freePorts(ip string, n int) ([]int, error) {
	base := 20000 + rand.IntN(9000)
	var ports []int
	for p := base; len(ports) < n && p < base+200; p++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(p)))
		if err != nil {
			continue
		}
		_ = l.Close()
		ports = append(ports, p)
	}
	if len(ports) < n {
		return nil, fmt.Errorf("no free ports on %s", ip)
	}
	return ports, nil
}

// log writes a line to the record, with the seconds since the start.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) recordOrder(o order) {
	w.mu.Lock()
	w.orders = append(w.orders, o)
	w.mu.Unlock()
	w.log("order arrived at %.3f: engine %s holder %s fence %d %s %s/%s expected %d: %d", o.at.Sub(w.started).Seconds(), o.engine, o.holder, o.fence, o.operation, o.model, o.adapter, o.expected, o.status)
}

func (w *world) recordRun(id, engine string) {
	w.mu.Lock()
	w.runs[id] = append(w.runs[id], engine)
	w.mu.Unlock()
	w.log("run: request %s at %s", id, engine)
}

func (w *world) countAnswer(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers[what]++
}

// zones are those of a small deployment, with one entry a machine.
var zones = []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c"}

// startNodes starts the machines.
func (w *world) startNodes(n int) error {
	for i := range n {
		nd := &node{w: w, name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), ip: fmt.Sprintf("%s%d", w.prefix, i+1), zone: zones[i%len(zones)]}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(l, w.store) }()
		nd.settings = filepath.Join(w.dir, nd.name+".yaml")
		if err := nd.writeSettings(l.Addr().String(), 5); err != nil {
			return err
		}
		w.nodes = append(w.nodes, nd)
	}
	for _, nd := range w.nodes {
		go nd.supervise()
	}
	return nil
}

func (nd *node) addr(port int) string { return fmt.Sprintf("%s:%d", nd.ip, nd.w.ports[port]) }

// writeSettings writes the settings file of a small deployment.
func (nd *node) writeSettings(store string, ttlMax int) error {
	w := nd.w
	seeds := []string{}
	for _, i := range []int{1, 4, 6} {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:%d", w.prefix, i, w.ports[3])))
	}
	text := fmt.Sprintf(`node: %q
role: "node"
machine_class: "front"
serves: ["front", "directory", "control"]
ip: %q
zone: %q
region: "region-1"
zones: {zone-a: "region-1", zone-b: "region-1", zone-c: "region-1"}
listen: {front: %q, ready: %q, control: %q, directory: %q}
internal_ports: [%d, %d]
seeds: [%s]
bootstrap: true
counts_as_loss: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "directory"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"]
fault_tolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, stability_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, back_ms: 250, outer_ms: 5000, revoke_closed: false, revoke_ms: 5000, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 52, quota_window_s: 8, quota_overage: 0.1, quota_slack: 110000, recover_s: 12, pass_ms: 120, retry_after_s: 0, require_fence: false, lease_ms: 3000, thaw_ms: 300, ceiling_window_s: 5, load_overage: 1.1, ttl_max_s: %d}
platform: {address: %q, form: "table", writes_per_s: 400, reads_per_s: 2000, tx_ms: 3.0, part_writes_s: 300, row_bytes: 65536, across: true, history_s: 20, blob_bytes: 8388608, blob_ms: 25.0, blob_mb_s: 80.0}
`, nd.name, nd.ip, nd.zone, nd.addr(0), nd.addr(1), nd.addr(3), nd.addr(2), w.ports[4], w.ports[5], strings.Join(seeds, ", "), ttlMax, store)
	temp := nd.settings + ".new"
	if err := os.WriteFile(temp, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temp, nd.settings)
}

// supervise starts the program, and again whenever it ends, until the world is closed.
func (nd *node) supervise() {
	for {
		nd.w.mu.Lock()
		closed := nd.w.closed
		nd.w.mu.Unlock()
		if closed {
			return
		}
		nd.mu.Lock()
		if nd.down {
			nd.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		out, err := os.OpenFile(filepath.Join(nd.w.dir, nd.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			nd.mu.Unlock()
			return
		}
		cmd := exec.Command(nd.w.program, "node")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + nd.w.dir, "LANG=C", "FIREFLYPIER_CONFIG=" + nd.settings}
		cmd.Stdout, cmd.Stderr = out, out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			nd.w.log("%s could not be started: %v", nd.name, err)
			nd.mu.Unlock()
			return
		}
		nd.starts++
		nd.cmd, nd.ended = cmd, make(chan struct{})
		ended := nd.ended
		nd.mu.Unlock()
		nd.w.log("%s started, process %d", nd.name, cmd.Process.Pid)
		err = cmd.Wait()
		_ = out.Close()
		nd.w.log("%s ended: %v", nd.name, err)
		close(ended)
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the current process.
func (nd *node) signal(s os.Signal) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.cmd != nil {
		nd.w.log("%s gets %v", nd.name, s)
		_ = nd.cmd.Process.Signal(s)
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace time of the settings.
func (nd *node) terminate() {
	nd.signal(syscall.SIGTERM)
	nd.mu.Lock()
	ended := nd.ended
	nd.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		nd.signal(syscall.SIGKILL)
	}
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, nd := range w.nodes {
		nd.mu.Lock()
		cmd, ended := nd.cmd, nd.ended
		nd.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	_ = w.record.Close()
}

// awaitReady waits until all machines say that they are ready.
func (w *world) awaitReady(timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		ready := 0
		for _, nd := range w.nodes {
			if nd.ready() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (nd *node) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + nd.addr(1) + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// resolve asks a machine where to connect.
func (nd *node) resolve(host string) []netip.AddrPort {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + nd.addr(2) + "/resolve?name=" + host + "&region=region-1&zone=" + nd.zone)
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	var a struct {
		Addresses []netip.AddrPort `json:"addresses"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&a) != nil {
		return nil
	}
	return a.Addresses
}

// clients are callers that share a list of addresses.
type clients struct {
	w    *world
	host string
	http *http.Client

	mu        sync.Mutex
	addresses []netip.AddrPort
	at        time.Time
}

func newClients(w *world, host string) *clients {
	return &clients{w: w, host: host, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// front returns the address for the next request. The list is kept for two seconds.
func (c *clients) front() (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.at) > 2*time.Second || len(c.addresses) == 0 {
		for range 3 {
			if a := c.w.nodes[rand.IntN(len(c.w.nodes))].resolve(c.host); len(a) > 0 {
				c.addresses, c.at = a, time.Now()
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return netip.AddrPort{}, false
	}
	return c.addresses[rand.IntN(len(c.addresses))], true
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request and records its answer.
func (c *clients) send(method, path, body string, limit time.Duration, header map[string]string) string {
	id := newID()
	front, ok := c.front()
	if !ok {
		c.w.log("request %s not sent, no address", id)
		c.w.countAnswer("no address")
		return id
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+front.String()+path, strings.NewReader(body))
	if err != nil {
		return id
	}
	r.GetBody = nil
	r.Host = c.host
	r.Header.Set("Fireflypier-Request-Id", id)
	r.Header.Set("Fireflypier-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	c.w.log("request %s sent to %s: %s %s %.24s", id, front, method, path, header["Fireflypier-Model"])
	res, err := c.http.Do(r)
	if err != nil {
		c.w.log("request %s: no answer: %v", id, err)
		c.w.countAnswer("no answer")
		return id
	}
	defer func() { _ = res.Body.Close() }()
	n := 0
	scanner := bufio.NewReader(res.Body)
	data, err := io.ReadAll(scanner)
	n = len(data)
	if err != nil {
		c.w.log("request %s: status %d broken after %d bytes: %v", id, res.StatusCode, n, err)
		c.w.countAnswer(fmt.Sprintf("%d broken", res.StatusCode))
		return id
	}
	c.w.log("request %s: status %d, %d bytes, seal %q", id, res.StatusCode, n, res.Header.Get("Fireflypier-Server-Seal"))
	c.w.countAnswer(fmt.Sprint(res.StatusCode))
	return id
}
