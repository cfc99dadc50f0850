// Package faultproxy is a TCP proxy that injects network faults between processes,
// for tests and experiments. No production program imports it.
package faultproxy

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const copyBufferBytes = 16 << 10

// Fault is a set of faults that a Proxy injects.
type Fault struct {
	// Refuse closes every new connection immediately.
	Refuse bool
	// RefuseFrom closes every new connection from these addresses immediately.
	RefuseFrom []netip.Addr
	// Freeze delays all data in both directions until the fault is removed.
	Freeze bool
	// FreezeOpen does the same, but only to the connections that are open when the
	// fault is set; new ones work.
	FreezeOpen bool
	// Delay is the time by which each chunk of data is delayed.
	Delay time.Duration
	// DropAnswers discards all data from the server; data from the client is still
	// forwarded.
	DropAnswers bool
	// CutAnswersAfter is the number of bytes from the server after which a
	// connection is closed; zero closes none.
	CutAnswersAfter int64
	// MaxCuts is the number of connections that CutAnswersAfter closes; zero means
	// no limit.
	MaxCuts int
	// HoldAnswers delays all data from the server until the fault is removed.
	HoldAnswers bool
	// HoldRequests does the same to all data from the client.
	HoldRequests bool
	// RequestContains limits the faults to connections on which the client has sent
	// this text, for instance a path.
	RequestContains string
}

// Proxy forwards connections to one server. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	server   netip.AddrPort
	done     chan struct{}

	mu    sync.Mutex
	fault Fault
	// faults is the number of times that the faults were set.
	faults  int
	changed chan struct{}
	conns   map[net.Conn]bool
	held    int
}

// Start returns a running proxy for server on a free loopback port.
func Start(server netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for fault proxy")
	}
	p := &Proxy{
		listener: listener,
		server:   server,
		done:     make(chan struct{}),
		changed:  make(chan struct{}),
		conns:    map[net.Conn]bool{},
	}
	go p.accept()
	return p, nil
}

// Addr returns the address of the proxy, which clients use in place of the
// server's.
func (p *Proxy) Addr() netip.AddrPort {
	addr, ok := p.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// SetFault replaces the set of injected faults.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.faults++
	close(p.changed)
	p.changed = make(chan struct{})
}

// CutAll closes all open connections.
func (p *Proxy) CutAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// ResetAll resets all open connections.
func (p *Proxy) ResetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	p.SetFault(Fault{})
	_ = p.listener.Close()
	<-p.done
	p.CutAll()
}

// Done is closed when the proxy no longer accepts connections.
func (p *Proxy) Done() <-chan struct{} { return p.done }

func (p *Proxy) accept() {
	defer close(p.done)
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(conn)
	}
}

func (p *Proxy) handle(client net.Conn) {
	defer func() { _ = client.Close() }()
	if p.refusesClient(client) {
		return
	}
	server, err := net.Dial("tcp", p.server.String())
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	p.track(client, server)
	defer p.untrack(client, server)
	ended := make(chan struct{})
	l := &link{proxy: p, faults: p.faultCount()}
	go func() {
		defer close(ended)
		l.copyResponses(client, server)
		_ = client.Close()
	}()
	l.copyRequests(server, client)
	if c, ok := server.(*net.TCPConn); ok {
		_ = c.CloseWrite()
	}
	<-ended
}

func (p *Proxy) refusesClient(client net.Conn) bool {
	fault, _ := p.currentFault()
	addr, ok := client.RemoteAddr().(*net.TCPAddr)
	return fault.Refuse || ok && slices.Contains(fault.RefuseFrom, addr.AddrPort().Addr().Unmap())
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

func (p *Proxy) currentFault() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

func (p *Proxy) faultCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Held returns the number of chunks of data that contain RequestContains and that
// Freeze, HoldAnswers or HoldRequests currently delays.
func (p *Proxy) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

func (p *Proxy) addHeld(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held += n
}

// countCut counts a connection that CutAnswersAfter closed. At MaxCuts, it removes
// the fault.
func (p *Proxy) countCut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.MaxCuts == 0 {
		return
	}
	p.fault.MaxCuts--
	if p.fault.MaxCuts == 0 {
		p.fault.CutAnswersAfter = 0
	}
}
