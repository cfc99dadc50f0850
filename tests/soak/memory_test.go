package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

const (
	// memoryNetwork is the network 127.0.x.0/24 of this spec.
	memoryNetwork = 199
	// memoryBytes is memory_mb in the settings of the nodes.
	memoryBytes = 284 << 20
	// longBodies is the number of callers that send a long body at a time, each of nearly
	// longBodyBytes, and then nothing until its time is over.
	longBodies    = 150
	longBodyBytes = 4 << 20
	longBodyTime  = 4 * time.Second
)

// Guards against processes that end for want of memory while callers send long bodies (LOST).
var _ = Describe("a node whose callers send long bodies", func() {
	It("stays within its memory, and serves others", func() {
		s := startTestSite("memory-", memoryNetwork, 1)
		n := s.nodes[0]
		process := n.currentProcess()
		ctx, stop := context.WithTimeout(context.Background(), longBodyTime)
		defer stop()
		var wg conc.WaitGroup
		for i := range longBodies {
			wg.Go(func() { sendLongBody(n, fmt.Sprintf("long-%d", i)) })
		}
		for c := range callers {
			wg.Go(func() { s.runCaller(ctx, c, rand.New(rand.NewPCG(memoryNetwork, uint64(c)))) })
		}
		wg.Wait()
		s.checkLater()
		Expect(n.currentProcess()).To(BeIdenticalTo(process), "the process has ended")
		Expect(peakMemory(process.PID())).To(BeNumerically("<", memoryBytes))
		s.mu.Lock()
		defer s.mu.Unlock()
		AddReportEntry("answers by status", s.answersByStatus())
		Expect(s.violations).To(BeEmpty(), "logs are kept in "+s.dir)
		Expect(s.answersByStatus()[http.StatusOK]).To(BeNumerically(">", len(s.answers)/2))
	})
})

// sendLongBody sends all but the end of a long body, and waits for the answer.
func sendLongBody(n *node, id string) {
	conn, err := net.Dial("tcp", n.front().String())
	if err != nil {
		return // the node has as many connections as it accepts
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(longBodyTime + time.Second))
	_, _ = fmt.Fprintf(conn, "POST /look/1 HTTP/1.1\r\nHost: h.example\r\nFireflypier-Request-Id: %s\r\nFireflypier-Deadline-Ms: %d\r\nAuthorization: Token key-1\r\nContent-Length: %d\r\n\r\n",
		id, longBodyTime.Milliseconds(), longBodyBytes)
	_, _ = io.CopyN(conn, endlessBody{}, longBodyBytes-1) // the node may refuse the body early
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_ = res.Body.Close()
	}
}

type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

// peakMemory returns the most memory that a process has had, in bytes.
func peakMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			Expect(err).NotTo(HaveOccurred())
			AddReportEntry("peak memory in MB", kb>>10)
			return kb << 10
		}
	}
	Fail("no peak memory in the status of the process")
	return 0
}
