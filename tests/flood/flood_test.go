// Package flood runs single processes of the system before a crowd of callers that do not
// keep to the limits of ordinary callers. It checks what does not depend on speed: the
// process goes on, stays within its memory and its descriptors, and answers one ordinary
// request while the crowd is connected and one afterwards.
//
//	go test ./tests/flood
package flood

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/fleet"
)

func TestFlood(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "flood")
}

const (
	// memoryMB is the memory limit of the processes, in their settings, below that of the
	// smallest VM (144 MB) so that a small crowd reaches it.
	memoryMB = 80
	// crowdSize is the number of callers at a time. It is below the number of descriptors that
	// the processes have, except in the specs of descriptors.
	crowdSize = 1200
	// maxDescriptors is the limit of open files of the processes, fewDescriptors that in the
	// specs of descriptors.
	maxDescriptors = 3075
	fewDescriptors = 700
	// crowdTime is the longest time for which a crowd sends before the ordinary request.
	crowdTime = 4 * time.Second
	// hangTimeout is the time after which a process counts as one that hangs. It is no bound on
	// the time of an answer: it is many times what an ordinary caller waits for.
	hangTimeout = 30 * time.Second
	// headBytes is what a caller sends of a header that it never ends, within the limit of
	// ordinary callers (16,384 bytes) and then over it.
	headBytes = 30_000
)

var programs fleet.Programs

var _ = BeforeSuite(func() {
	var err error
	programs, err = fleet.Build(context.Background(), GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
})

// caller sends what one caller of the crowd sends, until it is done, until the connection is
// closed or until it has the crowd's deadline.
type caller func(conn net.Conn)

// sends returns a caller that sends a text.
func sends(text string) caller {
	return func(conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// repeats returns a caller that sends a beginning and then a text again and again.
func repeats(beginning, text string) caller {
	piece := []byte(strings.Repeat(text, 1+(4<<10)/len(text)))
	return func(conn net.Conn) {
		for out := []byte(beginning); ; out = piece {
			if _, err := conn.Write(out); err != nil {
				return
			}
		}
	}
}

// aByteAtATime sends a header in pieces of one byte.
func aByteAtATime(conn net.Conn) {
	for _, b := range []byte("GET / HTTP/1.1\r\n" + strings.Repeat("X-Field: value\r\n", 16)) {
		if _, err := conn.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// halfClosed returns a caller that sends a text and closes its side of the connection.
func halfClosed(text string) caller {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).CloseWrite()
	}
}

// returns returns a caller that connects again whenever its connection is closed.
func returns(send caller) caller {
	return func(conn net.Conn) {
		deadline := time.Now().Add(crowdTime)
		addr := conn.RemoteAddr().String()
		for time.Now().Before(deadline) {
			send(conn)
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
			next, err := net.DialTimeout("tcp", addr, time.Until(deadline))
			if err != nil {
				return
			}
			conn = next
			_ = conn.SetDeadline(deadline)
		}
		_ = conn.Close()
	}
}

// shortLines are different header fields that are as short as possible: their parsed form
// takes many times their bytes.
func shortLines() string {
	var b strings.Builder
	for i := 0; b.Len() < headBytes; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

const (
	getHead    = "GET /x/1 HTTP/1.1\r\nHost: h.example\r\nFireflypier-Request-Id: 1\r\nAuthorization: Token key\r\n"
	getRequest = getHead + "\r\n"
)

const postChunked = "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nFireflypier-Request-Id: 1\r\nAuthorization: Token key\r\nTransfer-Encoding: chunked\r\n\r\n"

// heads are the callers that never send a whole request header. They need no knowledge of
// what the port serves.
var heads = []TableEntry{
	Entry("a header that is never ended", sends("GET / HTTP/1.1\r\nHost: h\r\nX-Field: "+strings.Repeat("x", headBytes))),
	Entry("a header of short lines that is never ended", sends("GET / HTTP/1.1\r\nHost: h\r\n"+shortLines())),
	Entry("a header without end", repeats("GET / HTTP/1.1\r\nHost: h\r\n", "X-Field: value\r\n")),
	Entry("a request line without end", repeats("GET /", "x")),
	Entry("a header sent a byte at a time", caller(aByteAtATime)),
	Entry("empty lines without end before a request", repeats("", "\r\n")),
	Entry("nothing", sends("")),
	Entry("a part of a header, half-closed", halfClosed("GET / HTTP/1.1\r\nX-Field: "+strings.Repeat("x", headBytes))),
}

// crowd is a number of callers that are connected to one address.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	wg    sync.WaitGroup
}

// newCrowd connects callers to addr, and returns once all of them have sent what they send, or
// after crowdTime. Their connections stay open.
func newCrowd(addr netip.AddrPort, send caller) *crowd {
	c := &crowd{}
	deadline := time.Now().Add(crowdTime)
	for range crowdSize {
		c.wg.Go(func() {
			conn, err := net.DialTimeout("tcp", addr.String(), crowdTime)
			if err != nil {
				return // the process may refuse it
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetDeadline(deadline)
			send(conn)
		})
	}
	c.wg.Wait()
	return c
}

func (c *crowd) leave() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// ask sends an ordinary request and returns the status of its answer.
func ask(r *http.Request) (int, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	res, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// port is a port of a process with an ordinary request to it, which is answered with a status.
// A port for the other processes of the system has no such request.
type port struct {
	addr    netip.AddrPort
	request func() *http.Request
	status  int
}

// process is a process under test. Its first port is the one for callers.
type process struct {
	*fleet.Process
	ports       []port
	descriptors int
	// memory is the memory of its VM in MB.
	memory int
	// bodies is the first port with an ordinary request that has a body. It is only asked in the
	// specs of bodies.
	bodies port
}

// answers waits until an ordinary request to each of some ports is answered. A caller that was
// refused, or whose connection was closed, returns.
func answers(ports ...port) {
	GinkgoHelper()
	for _, p := range ports {
		if p.request != nil {
			Eventually(func() (int, error) { return ask(p.request()) }, hangTimeout, "200ms").Should(Equal(p.status))
		}
	}
}

// withstands checks a process before, beside and after a crowd at one of its ports.
func (p *process) withstands(at port, send caller) {
	GinkgoHelper()
	p.withstandsAll([]port{at}, send)
}

// withstandsAll checks a process before, beside and after crowds at some of its ports at once.
// The n-th port has a crowd that sends by the n-th caller.
func (p *process) withstandsAll(at []port, send ...caller) {
	GinkgoHelper()
	answers(p.ports...)
	answers(p.bodies)
	crowds := make([]*crowd, len(at))
	var wg sync.WaitGroup
	for i := range at {
		wg.Go(func() { crowds[i] = newCrowd(at[i].addr, send[i]) })
	}
	wg.Wait()
	leave := func() {
		for _, c := range crowds {
			c.leave()
		}
	}
	defer leave()
	p.lives()
	ordinary := append(slices.Clone(at), p.ports[0], p.bodies)
	answers(ordinary...)
	leave()
	answers(ordinary...)
	p.lives()
	peak := p.status("VmHWM:")
	AddReportEntry("peak memory in MB", float64(peak)/(1<<20))
	Expect(peak).To(BeNumerically("<=", p.memory<<20), "the process takes more memory than its VM has")
}

func (p *process) lives() {
	GinkgoHelper()
	Expect(p.Done()).NotTo(BeClosed(), "the process has ended")
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	Expect(err).NotTo(HaveOccurred())
	Expect(len(open)).To(BeNumerically("<=", p.descriptors))
}

// status returns a field of the process's status, in bytes.
func (p *process) status(field string) int64 {
	GinkgoHelper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	Expect(err).NotTo(HaveOccurred())
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), field); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			Expect(err).NotTo(HaveOccurred())
			return kb << 10
		}
	}
	Fail("no " + field + " in the status of the process")
	return 0
}
