// Package faultproxy is a small TCP proxy that brings about network faults
// between real processes, for tests and experiments. No program of the
// system imports it.
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

// Fault is what a Proxy does wrong.
type Fault struct {
	// Refuse closes every new connection at once.
	Refuse bool
	// RefuseFrom closes every new connection from these addresses at once.
	RefuseFrom []netip.Addr
	// Freeze holds every byte back, both ways, until the fault is lifted.
	Freeze bool
	// Delay holds each piece of data back.
	Delay time.Duration
	// DropAnswers carries requests on but drops what the server sends.
	DropAnswers bool
	// CutAnswersAfter cuts a connection after that many bytes from the
	// server; zero cuts none.
	CutAnswersAfter int64
	// MaxCuts is the number of connections to cut; zero cuts all.
	MaxCuts int
	// HoldAnswers holds back what the server sends until the fault is lifted.
	HoldAnswers bool
	// RequestContains limits the faults to connections on which the client has sent this
	// text, for instance a path.
	RequestContains string
}

// Proxy carries connections to one server. Its methods may be called at the
// same time.
type Proxy struct {
	listener net.Listener
	server   netip.AddrPort
	done     chan struct{}

	mu      sync.Mutex
	fault   Fault
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

// Addr returns the address that stands for the server.
func (p *Proxy) Addr() netip.AddrPort {
	addr, ok := p.listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

// SetFault replaces the proxy's faults.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// CutAll closes every present connection.
func (p *Proxy) CutAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// Close stops the proxy and its connections.
func (p *Proxy) Close() {
	p.SetFault(Fault{})
	_ = p.listener.Close()
	<-p.done
	p.CutAll()
}

// Done is closed when the proxy accepts no more connections.
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
	l := &link{proxy: p}
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

// Held returns the number of pieces of data that are held back and contain
// RequestContains.
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

// countCut counts one countCut connection; the last one ends the fault.
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
