package soak

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/faultproxy"
	"fireflypier.example/fireflypier/internal/fleet"
	"fireflypier.example/fireflypier/internal/serving/fakestore"
	"fireflypier.example/fireflypier/internal/serving/rowstore"
)

// testSite is a site under test: node processes between callers and stand-ins for
// the platform's store and targets.
type testSite struct {
	dir       string
	program   string
	rows      *fakestore.Store
	storeAddr netip.AddrPort
	nodes     []*node
	closed    atomic.Bool

	mu             sync.Mutex
	targets        map[string]*target
	targetsStarted int
	// runs lists, by request ID, the runs of each request.
	runs map[string][]*run
	// answers has what callers received, by request ID.
	answers    map[string]answer
	violations []string
	// violationsByKind counts the violations by their formats.
	violationsByKind map[string]int
	lastThaw         time.Time
	// disturbances are the faults of nodes and targets.
	disturbances []disturbance
	// deadly holds, by its body, what happened to each request that crashes targets.
	deadly map[string]*deadlyRequest
	// published writes the last configuration again.
	published func()

	// targetsPerPool is the number of targets with which each pool starts; callers ask for
	// models. bounds are those of the settings that a spec may change.
	targetsPerPool int
	models         []string
	bounds         siteBounds
	// arrived, if it is set, is called as a request arrives at a target. The target serves it
	// unless that returns true.
	arrived atomic.Pointer[func(w http.ResponseWriter, r *http.Request, id string) bool]
	// refuser, if it is not nil, has all targets refuse requests.
	refuser *refuser
}

// siteBounds are bounds in the settings of the nodes.
type siteBounds struct {
	retryRatio float64
	retrySlack int
}

type siteOption func(*testSite)

// withTargets sets the number of targets with which each pool starts, at most three. Callers
// ask only for models that they hold.
func withTargets(n int) siteOption {
	return func(s *testSite) {
		s.targetsPerPool = n
		if n == 1 {
			s.models = s.models[:2]
		}
	}
}

// withRetries has the nodes send requests again without a limit that they could reach.
func withRetries() siteOption {
	return func(s *testSite) { s.bounds = siteBounds{retryRatio: 10, retrySlack: 100_000} }
}

// node is one VM, on which a node process is restarted whenever it ends.
type node struct {
	name       string
	ip         netip.Addr
	proxy      *faultproxy.Proxy
	configFile string
	// link is the proxy through which callers reach the node; nil for none.
	link *faultproxy.Proxy
	// done is closed once no further process will be started.
	done chan struct{}

	mu      sync.Mutex
	process *fleet.Process
	// ended is set once no process is to run on the VM.
	ended bool
}

// currentProcess returns the process that was started last.
func (n *node) currentProcess() *fleet.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// nodesPerTargets is the number of nodes for each three targets of a pool.
const nodesPerTargets = 8

func newTestSite(dir, program string, network byte, nodes int, opts ...siteOption) *testSite {
	s := &testSite{
		dir: dir, program: program, rows: fakestore.New(clockwork.NewRealClock()),
		targets: map[string]*target{}, runs: map[string][]*run{}, answers: map[string]answer{},
		violationsByKind: map[string]int{}, deadly: map[string]*deadlyRequest{},
		targetsPerPool: 3 * max(1, nodes/nodesPerTargets), models: []string{"m1", "m2", "m3"},
		bounds: siteBounds{retryRatio: 0.2, retrySlack: 52},
	}
	for _, opt := range opts {
		opt(s)
	}
	server := httptest.NewServer((&store{s.rows}).handler())
	s.storeAddr = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	s.publish(1, `key-1","key-2`)
	for i := range s.targetsPerPool {
		s.startTarget("plain")
		s.startTarget("engines", [][]string{{"m1", "m2"}, {"m2", "m3"}, {"m3", "m1"}}[i%3]...)
	}
	for i := range nodes {
		proxy, err := faultproxy.Start(s.storeAddr)
		Expect(err).NotTo(HaveOccurred())
		n := &node{name: fmt.Sprintf("vm-%d", i), ip: netip.AddrFrom4([4]byte{127, 0, network, byte(i + 1)}), proxy: proxy, done: make(chan struct{})}
		s.nodes = append(s.nodes, n)
		s.configure(n)
		go s.supervise(n)
	}
	return s
}

func (n *node) addr(port uint16) netip.AddrPort { return netip.AddrPortFrom(n.ip, port) }
func (n *node) front() netip.AddrPort           { return n.addr(18221) }

// entry returns the address to which callers connect.
func (n *node) entry() netip.AddrPort {
	if n.link != nil {
		return n.link.Addr()
	}
	return n.front()
}

// configure writes a node's settings file.
func (s *testSite) configure(n *node) {
	n.configFile = filepath.Join(s.dir, n.name+".yaml")
	seed := s.nodes[0].addr(18229)
	text := fmt.Sprintf(`node: %s
ip: %s
zone: a
listen: {front: "%s", ready: "%s", directory: "%s", control: "%s"}
internal_ports: [17600, 17615]
seeds: ["%s"]
limits: {memory_mb: 284}
bounds: {grace_s: 4, budget_ratio: %g, budget_window_s: 10, budget_slack: %d, quota_window_s: 8, quota_overage: 0.1, quota_slack: 110000, lease_ms: 3000, ttl_max_s: 5}
platform: {address: "%s"}
`, n.name, n.ip, n.front(), n.addr(18224), n.addr(18220), n.addr(18229), seed, s.bounds.retryRatio, s.bounds.retrySlack, n.proxy.Addr())
	Expect(os.WriteFile(n.configFile, []byte(text), 0o600)).To(Succeed())
}

// restartDelay is the time after which the platform restarts an ended process.
const restartDelay = 200 * time.Millisecond

// supervise starts a node's process and restarts it whenever it ends, as the
// platform does.
func (s *testSite) supervise(n *node) {
	defer close(n.done)
	for p := s.start(n); p != nil; p = s.start(n) {
		s.logEvent("%s ended: %v", n.name, p.Wait(context.Background()))
		time.Sleep(restartDelay)
	}
}

// start starts a node's process. It returns nil once the site is closed or if the
// process can't be started.
func (s *testSite) start(n *node) *fleet.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.closed.Load() || n.ended {
		return nil
	}
	cmd := exec.Command(s.program, "node")
	cmd.Env = append(os.Environ(), "FIREFLYPIER_CONFIG="+n.configFile)
	p, err := fleet.Start(s.dir, n.name, cmd)
	if err != nil {
		s.reportViolation("%s could not be started: %v", n.name, err)
		return nil
	}
	n.process = p
	return p
}

// endTimeout is twice the grace time of a node (grace_s).
const endTimeout = 8 * time.Second

// terminate shuts the current process down, and kills it after endTimeout.
func (n *node) terminate() {
	p := n.currentProcess()
	_ = p.Terminate()
	select {
	case <-p.Done():
	case <-time.After(endTimeout):
		p.Kill()
	}
}

// end ends a node for good.
func (s *testSite) end(n *node) {
	n.mu.Lock()
	n.ended = true
	p := n.process
	n.mu.Unlock()
	if p != nil {
		p.Kill()
	}
	<-n.done
}

func (s *testSite) close() {
	s.closed.Store(true)
	for _, n := range s.nodes {
		s.end(n)
		n.proxy.Close()
		if n.link != nil {
			n.link.Close()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		t.proxy.Close()
	}
}

// startTarget starts a target of a pool that holds models.
func (s *testSite) startTarget(pool string, models ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetsStarted++
	t := &target{site: s, id: fmt.Sprintf("i-%d", s.targetsStarted), pool: pool, models: models, born: time.Now().UnixMilli(), place: make(chan struct{}, 1)}
	t.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { t.current().serve(w, r) }))
	t.server.Listener = &limitedListener{Listener: t.server.Listener, target: t}
	t.server.Config.ConnContext = withConn
	t.server.Start()
	var err error
	t.proxy, err = faultproxy.Start(netip.MustParseAddrPort(t.server.Listener.Addr().(*net.TCPAddr).String()))
	Expect(err).NotTo(HaveOccurred())
	s.targets[t.id] = t
	s.rows.Put(rowstore.Targets, t.id, t.row())
}

// allTargets returns the targets that run.
func (s *testSite) allTargets() []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.targets))
}

// putRow writes a target's row unless the target has been stopped. The caller
// holds the target's mutex.
func (s *testSite) putRow(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets[t.id] == t {
		s.rows.Put(rowstore.Targets, t.id, t.row())
	}
}

// stopTarget stops the target of a pool with the lowest ID as in a crash: its row
// stays for another 1.5 s. A new target of the pool starts after 2 s.
func (s *testSite) stopTarget(pool string) {
	t := s.removeTarget(pool)
	if t == nil {
		s.logEvent("no target of %s is left to stop", pool)
		return
	}
	t.proxy.Close()
	t.server.CloseClientConnections()
	time.AfterFunc(1500*time.Millisecond, func() { s.rows.Delete(rowstore.Targets, t.id) })
	time.AfterFunc(2*time.Second, func() { s.startTarget(pool) })
}

// removeTarget removes the target of a pool with the lowest ID from the list of those that
// run; nil if there is none.
func (s *testSite) removeTarget(pool string) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var t *target
	for _, o := range s.targets {
		if o.pool == pool && (t == nil || o.id < t.id) {
			t = o
		}
	}
	if t != nil {
		delete(s.targets, t.id)
	}
	return t
}

// publish writes a configuration with the given version and API key. To give two
// keys, key contains the quotes and the comma between them.
func (s *testSite) publish(version int, key string) {
	s.mu.Lock()
	s.published = func() { s.putPolicy(version, key) }
	s.mu.Unlock()
	s.putPolicy(version, key)
}

func (s *testSite) putPolicy(version int, key string) {
	s.rows.Put(rowstore.Policies, rowstore.PolicyKey, fmt.Appendf(nil, `{"version":%[1]d,"routes":[
 {"name":"look","hostname":"h.example","prefix":"/look/","type":"safe","timeout_ms":2000,"target_latency_ms":150,"service":"plain","max_attempts":2},
 {"name":"buy","hostname":"h.example","prefix":"/buy/","type":"unsafe","timeout_ms":2000,"target_latency_ms":150,"service":"plain","max_attempts":1},
 {"name":"draft","hostname":"h.example","prefix":"/draft/","type":"streaming","timeout_ms":5000,"target_latency_ms":800,"gap_aim_ms":300,"service":"engines","max_attempts":2,"resumable":false},
 {"name":"resume","hostname":"h.example","prefix":"/resume/","type":"streaming","timeout_ms":8000,"target_latency_ms":400,"gap_aim_ms":100,"service":"engines","max_attempts":3,"resumable":true}],
 "services":[{"name":"plain","max_conns":90},{"name":"engines","max_conns":90,"engine":{"slots":%[2]d,"kv_tokens":200000,"weights_mb":%[3]d,"adapter_slots":0,"loads_per_s":5,
 "models":[{"name":"m1","weights_mb":%[4]d,"load_s":0.3},{"name":"m2","weights_mb":%[4]d,"load_s":0.3},{"name":"m3","weights_mb":%[4]d,"load_s":0.3}]}}],
 "limits":{"max_body_bytes":4194304},"tenants":[{"name":"c","api_keys":["%[5]s"]}]}`, version, slots, engineMB, modelMB, key))
}

// logEvent appends a line to the file events.log, with a UTC timestamp that can be
// compared with those in the nodes' logs.
func (s *testSite) logEvent(format string, args ...any) {
	f, err := os.OpenFile(filepath.Join(s.dir, "events.log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = f.Close() }()
	_, _ = fmt.Fprintf(f, "%s %s\n", time.Now().UTC().Format(time.RFC3339Nano), fmt.Sprintf(format, args...))
}

// reportViolation records a violation, once, which fails the test at its end.
func (s *testSite) reportViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	if slices.Contains(s.violations, text) {
		return
	}
	s.violations = append(s.violations, text)
	s.violationsByKind[format]++
}

// run is one run of a request at a target; ended is zero until it has ended.
type run struct {
	target       string
	began, ended time.Time
}

// recordRun records the beginning of a run. Call the function that it returns at its end.
func (s *testSite) recordRun(id, target string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &run{target: target, began: time.Now()}
	s.runs[id] = append(s.runs[id], r)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		r.ended = time.Now()
	}
}

// disturbance is a time in which a node or a target was killed, frozen or cut off.
type disturbance struct {
	name        string
	from, until time.Time
}

// disturb records that a node or a target is disturbed. Call the function that it returns
// when that ends.
func (s *testSite) disturb(name string) (end func()) {
	from := time.Now()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbances = append(s.disturbances, disturbance{name, from, time.Now()})
	}
}

// disturbedDuring reports whether a node or a target was disturbed in a time. The caller holds
// the site's mutex.
func (s *testSite) disturbedDuring(name string, from, until time.Time) bool {
	return slices.ContainsFunc(s.disturbances, func(d disturbance) bool {
		return d.name == name && d.from.Before(until) && d.until.After(from)
	})
}

// overlap returns the longest time for which a run of a request that a node took was still in
// progress at a target after a later one had begun at another. Nodes and targets that were
// disturbed meanwhile are excused.
func (s *testSite) overlap(id, node string) (longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs[id]
	for i, r := range runs {
		for _, next := range runs[i+1:] {
			if next.target == r.target {
				continue
			}
			ended := r.ended
			if ended.IsZero() {
				ended = time.Now()
			}
			if s.disturbedDuring(node, r.began, ended) || s.disturbedDuring(r.target, r.began, ended) {
				continue
			}
			longest = max(longest, ended.Sub(next.began))
		}
	}
	return longest
}

func (s *testSite) runCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs[id])
}

// recentlyThawed reports whether a node was thawed less than thawGrace before now.
func (s *testSite) recentlyThawed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastThaw) < thawGrace
}

// freeze stops a node's current process with SIGSTOP and resumes it after the
// duration.
func (s *testSite) freeze(n *node, duration time.Duration) {
	p := n.currentProcess()
	_ = p.Freeze()
	time.Sleep(duration)
	s.mu.Lock()
	s.lastThaw = time.Now()
	s.mu.Unlock()
	_ = p.Thaw()
}
