package flood

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"fireflypier.example/fireflypier/internal/fleet"
)

const (
	// bodyLimit is the limit of a request's body in the configuration of the specs.
	bodyLimit = 4 << 20
	// ordinaryBody is the size of the body of an ordinary request.
	ordinaryBody = 64 << 10
	// patientHead is a request header whose caller waits for an hour.
	patientHead = "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nFireflypier-Request-Id: 1\r\nAuthorization: Token key\r\n" +
		"Fireflypier-Deadline-Ms: 3600000\r\n"
	// chunkedBody ends a header; a chunked body follows.
	chunkedBody = "Transfer-Encoding: chunked\r\n\r\n"
)

// chunk returns a chunk of a body.
func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

// sendsTimes returns a caller that sends a beginning, and n times a text.
func sendsTimes(beginning, text string, n int) caller {
	return func(conn net.Conn) {
		if _, err := io.WriteString(conn, beginning); err != nil {
			return
		}
		for range n {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

// inTurn returns a caller that does what one of several callers does, each in turn.
func inTurn(callers ...caller) caller {
	var n atomic.Int64
	return func(conn net.Conn) { callers[n.Add(1)%int64(len(callers))](conn) }
}

// bodies are callers whose request bodies have no end, or none in time. head is their requests'
// header without its last lines.
func bodies(head string) map[string]caller {
	chunked := head + chunkedBody
	half := chunk(bodyLimit / 2)
	return map[string]caller{
		"large chunks, and stop short of the end":         sendsTimes(chunked, chunk(64<<10), 3),
		"one-byte chunks, and stop short of the end":      sendsTimes(chunked, strings.Repeat(chunk(1), 1000), 30),
		"a body just below the limit, and stop short":     sendsTimes(chunked+half, half[:len(half)-3], 1),
		"a chunk of which the end is missing":             sends(chunked + chunk(1 << 20)[:1<<20]),
		"one chunk announced far over the limit":          repeats(chunked+"7fffffff\r\n", "x"),
		"large chunks without end":                        repeats(chunked, chunk(64<<10)),
		"one-byte chunks without end":                     repeats(chunked, chunk(1)),
		"a body announced far over the limit":             repeats(head+"Content-Length: 4294967296\r\n\r\n", "x"),
		"a body announced far over the limit, and wait":   sends(head + "Content-Length: 4294967296\r\n\r\n"),
		"an announced body, and stop a byte short":        sends(head + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 199_999)),
		"a body after asking whether to continue":         sends(head + "Expect: 100-continue\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 199_999)),
		"whole bodies, and read no answer":                sendsTimes("", head+"Content-Length: 65536\r\n\r\n"+strings.Repeat("x", 65536), 4),
		"large chunks with trailers that are never ended": sends(chunked + chunk(64<<10) + "0\r\n" + shortLines()),
	}
}

// entries returns a table entry for each way.
func entries(ways map[string]caller) []TableEntry {
	list := make([]TableEntry, 0, len(ways))
	for _, name := range slices.Sorted(maps.Keys(ways)) {
		list = append(list, Entry(name, ways[name]))
	}
	return list
}

// everyWay returns a caller that sends bodies in all ways, long headers, or requests whose
// answers are not read, in turn.
func everyWay(head string) caller {
	all := slices.Collect(maps.Values(bodies(head)))
	all = append(all, slices.Collect(maps.Values(longHeadBodies))...)
	return inTurn(append(all, sends("GET / HTTP/1.1\r\nHost: h\r\n"+shortLines()), sends(getRequest))...)
}

// together returns table entries for crowds that send in all ways at once.
func together(head string) []TableEntry {
	return []TableEntry{
		Entry("all of these, long headers, and requests whose answers are not read", everyWay(head)),
		Entry("all of these, and return", returns(everyWay(head))),
	}
}

// posts returns a port whose ordinary request is that of p with a body.
func posts(p port) port {
	return port{p.addr, func() *http.Request {
		r := p.request()
		r.Method, r.Body, r.ContentLength = http.MethodPost, io.NopCloser(bytes.NewReader(make([]byte, ordinaryBody))), ordinaryBody
		return r
	}, p.status}
}

// busyLoops is the number of busy processes beside a node that gets little processor time.
const busyLoops = 3

// oneProcessor returns the first processor that this process may use.
func oneProcessor() int {
	GinkgoHelper()
	var set unix.CPUSet
	Expect(unix.SchedGetaffinity(0, &set)).To(Succeed())
	for cpu := range 1024 {
		if set.IsSet(cpu) {
			return cpu
		}
	}
	Fail("no processor")
	return 0
}

// startSlowNode starts a node that shares one processor with busy processes.
func startSlowNode() *process {
	GinkgoHelper()
	on := fmt.Sprintf("taskset -c %d", oneProcessor())
	for i := range busyLoops {
		busy, err := fleet.Start(GinkgoT().TempDir(), fmt.Sprintf("busy-%d", i), exec.Command("sh", "-c", "exec "+on+" sh -c 'while :; do :; done'"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(busy.Kill)
	}
	return startNodeBy(maxDescriptors, memoryMB, on)
}

// longHeadBodies are callers whose requests have long headers and a part of a body.
var longHeadBodies = map[string]caller{
	"a long header and a part of a body":                              sends(getHead + "Content-Length: 1000000\r\n" + shortLines() + "\r\nx"),
	"a long header and a part of a body of a request that is refused": sends("POST /x/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n" + shortLines() + "\r\nx"),
	"a long header and a part of a chunked body":                      sends(patientHead + shortLines() + chunkedBody + chunk(64<<10)),
}

// Guards against a process that ends for want of memory, or turns ordinary callers away, while
// others send bodies that no limit of a single request bounds in sum.
var _ = Describe("a node", func() {
	DescribeTable("withstands bodies without bounds:", func(send caller) {
		p := startNode(maxDescriptors)
		p.bodies = posts(p.ports[0])
		p.withstands(p.ports[0], send)
	}, entries(bodies(patientHead)), together(patientHead))

	DescribeTable("with little processor time withstands bodies without bounds:", func(send caller) {
		p := startSlowNode()
		p.bodies = posts(p.ports[0])
		p.withstands(p.ports[0], send)
	}, entries(bodies(patientHead)), entries(longHeadBodies), together(patientHead))
})

// Guards the processes of the own interface against the same, from callers without a key.
var _ = Describe("a process of the own interface", func() {
	DescribeTable("withstands bodies without bounds at a gateway:", func(ctx SpecContext, send caller) {
		p := startGateway(ctx)
		p.withstands(p.ports[0], send)
	}, entries(bodies("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n")))

	DescribeTable("withstands bodies without bounds at a controller:", func(ctx SpecContext, send caller) {
		p := startController(ctx)
		p.withstands(p.ports[0], send)
	}, entries(bodies("POST /v1/objects HTTP/1.1\r\nHost: h\r\n")))
})
