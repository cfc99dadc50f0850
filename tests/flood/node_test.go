package flood

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/fleet"
)

const (
	policyRow = `{"version":1,"routes":[
		{"name":"r","hostname":"h.example","prefix":"/x/","type":"safe","timeout_ms":3000,"target_latency_ms":1000,"service":"s","max_attempts":2},
		{"name":"gone","hostname":"h.example","prefix":"/gone/","type":"safe","timeout_ms":3000,"target_latency_ms":1000,"service":"gone","max_attempts":2},
		{"name":"silent","hostname":"h.example","prefix":"/silent/","type":"safe","timeout_ms":3000,"target_latency_ms":1000,"service":"silent","max_attempts":2}],
		"services":[{"name":"s","max_conns":90},{"name":"gone","max_conns":90},{"name":"silent","max_conns":90}],
		"limits":{"max_body_bytes":4194304},"tenants":[{"name":"c","api_keys":["key"]}]}`
	// answerBytes is the size of the target's answers, above that of ordinary ones (4 KB).
	answerBytes = 64 << 10
)

// answered serves a page of the store that does not change.
func answered(w http.ResponseWriter, rows map[string][]byte) {
	type row struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Ver   int64  `json:"ver"`
	}
	page := struct {
		Rows  []row   `json:"rows"`
		Ver   int64   `json:"ver"`
		NowMS float64 `json:"now_ms"`
	}{Rows: []row{}, Ver: 1, NowMS: float64(time.Now().UnixMilli())}
	for key, value := range rows {
		page.Rows = append(page.Rows, row{key, value, 1})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.MarshalWrite(w, &page)
}

// newStore starts a stand-in for the platform's store with a route to each of three services:
// one that answers, one at whose address nothing listens, and one that never answers.
func newStore() netip.AddrPort {
	mux := http.NewServeMux()
	row := func(service string, addr netip.AddrPort) []byte {
		return fmt.Appendf(nil, `{"service":"%s","address":"%s","zone":"a","version":"v1","slots":60,"state":"ready","cold_left_ms":0,"seq":1,"born":1}`, service, addr)
	}
	tables := map[string]map[string][]byte{
		"op":      {"config": []byte(policyRow)},
		"servers": {"i-1": row("s", newTarget()), "i-2": row("gone", fleet.FreeAddr()), "i-3": row("silent", newSilentTarget())},
	}
	mux.HandleFunc("GET /rows-get", func(w http.ResponseWriter, r *http.Request) { answered(w, tables[r.URL.Query().Get("table")]) })
	mux.HandleFunc("GET /rows-feed", func(w http.ResponseWriter, r *http.Request) {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		answered(w, nil)
	})
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, _ *http.Request) { answered(w, nil) })
	return serve(mux)
}

func serve(h http.Handler) netip.AddrPort {
	server := httptest.NewServer(h)
	DeferCleanup(server.CloseClientConnections)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// newTarget starts a stand-in for a plain service.
func newTarget() netip.AddrPort {
	return serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Fireflypier-Request-Id")
		w.Header().Set("Fireflypier-Request-Id", id)
		w.Header().Set("Fireflypier-Server-Seal", "seal-i-1")
		w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
		_, _ = io.WriteString(w, strings.Repeat("x", answerBytes))
	}))
}

// newSilentTarget starts a stand-in that reads requests and never answers them.
func newSilentTarget() netip.AddrPort {
	return serve(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
}

var requests atomic.Int64

// startNode starts a node whose limit of open files is descriptors.
func startNode(descriptors int) *process { return startNodeBy(descriptors, memoryMB, "") }

// startNodeBy starts such a node with a memory limit by a command that runs the one that
// follows it.
func startNodeBy(descriptors, memory int, by string) *process {
	addrs := make([]netip.AddrPort, 5)
	for i := range addrs {
		addrs[i] = fleet.FreeAddr()
	}
	front, ready, directory, peer, admin := addrs[0], addrs[1], addrs[2], addrs[3], addrs[4]
	if peer.Port() > admin.Port() {
		peer, admin = admin, peer // the settings name the lower port first
	}
	dir := GinkgoT().TempDir()
	file := filepath.Join(dir, "node.yaml")
	Expect(os.WriteFile(file, fmt.Appendf(nil, `node: vm-1
ip: 127.0.0.1
zone: a
listen: {front: "%s", ready: "%s", directory: "%s"}
internal_ports: [%d, %d]
seeds: []
limits: {memory_mb: %d, max_fds: %d}
bounds: {grace_s: 4, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 50, quota_window_s: 8, quota_overage: 0.1, quota_slack: 110000, lease_ms: 3000, ttl_max_s: 5}
platform: {address: "%s"}
`, front, ready, directory, peer.Port(), admin.Port(), memory, descriptors, newStore()), 0o600)).To(Succeed())
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s %s node", descriptors, by, programs.Fireflypier))
	cmd.Env = append(os.Environ(), "FIREFLYPIER_CONFIG="+file)
	started, err := fleet.Start(dir, "node", cmd)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			log, _ := started.Log()
			GinkgoWriter.Println(log[max(0, len(log)-4000):])
		}
		started.Kill()
	})
	return &process{started, []port{
		{front, func() *http.Request {
			r := get(front, "/x/1")
			r.Host = "h.example"
			r.Header.Set("Fireflypier-Request-Id", fmt.Sprintf("ordinary-%d", requests.Add(1)))
			r.Header.Set("Authorization", "Token key")
			return r
		}, http.StatusOK},
		gets(ready, "/readiness", http.StatusOK),
		gets(directory, "/resolve?zone=a", http.StatusOK),
		gets(admin, "/healthz", http.StatusOK),
		{addr: peer},
	}, descriptors, memory, port{}}
}

// Guards against a process that ends for want of memory, that hangs or that turns ordinary
// callers away while others send what no limit of a single request bounds in sum.
var _ = Describe("a node", func() {
	DescribeTable("withstands callers at the front that send", func(send caller) {
		p := startNode(maxDescriptors)
		p.withstands(p.ports[0], send)
	}, heads,
		Entry("chunks without end", repeats(postChunked, "5\r\nhello\r\n")),
		Entry("a chunk extension without end", repeats(postChunked+"5;ext=", "x")),
		Entry("trailers without end", repeats(postChunked+"0\r\n", "X-Trailer: value\r\n")),
		Entry("a long header and a part of a body", sends(getHead+"Content-Length: 1000000\r\n"+shortLines()+"\r\nx")),
		Entry("a long header and a part of a body of a request that is refused", sends("POST /x/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n"+shortLines()+"\r\nx")),
		Entry("requests one behind the other, and read no answer", repeats("", getRequest)),
		Entry("one request, and do not read its answer", sends(getRequest)),
		Entry("one request, half-closed", halfClosed(getRequest)),
		Entry("a header of short lines that is never ended, and return", returns(sends("GET / HTTP/1.1\r\nHost: h\r\n"+shortLines()))),
		Entry("a header over the limit, and return", returns(sends("GET / HTTP/1.1\r\nX-Field: "+strings.Repeat("x", 2*headBytes)))),
	)

	DescribeTable("withstands callers at its other ports that send", func(send caller) {
		p := startNode(maxDescriptors)
		for _, at := range p.ports[1:] {
			p.withstands(at, send)
		}
	}, heads)

	It("withstands callers at its peer port that send messages of which the end is missing", func() {
		p := startNode(maxDescriptors)
		p.withstands(p.ports[4], unendedMessage)
	})

	DescribeTable("has descriptors for ordinary callers while others keep connections open that send", func(send caller) {
		p := startNode(fewDescriptors)
		p.withstands(p.ports[0], send)
	},
		Entry("nothing", sends("")),
		Entry("a part of a header", sends("GET / HTTP/1.1\r\n")),
		Entry("one request, and stay", sends(getRequest)),
	)
})

// unendedMessage sends the first frames of a message between processes, of 200 KB.
func unendedMessage(conn net.Conn) {
	// A frame has a control byte (kind 2, message, without its done bit), the stream's and the
	// message's number, and the length of its data.
	const size = 1 << 10
	frame := append([]byte{0x04, 1, 1, 0x80 | size&0x7f, size >> 7}, strings.Repeat("x", size)...)
	for range 200 {
		if _, err := conn.Write(frame); err != nil {
			return
		}
	}
}
