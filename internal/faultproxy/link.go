package faultproxy

import (
	"bytes"
	"io"
	"sync"
	"time"
)

// maxSeenBytes bounds what a link remembers of the client's bytes.
const maxSeenBytes = 64 << 10

// link is one connection through a proxy.
type link struct {
	proxy *Proxy

	mu   sync.Mutex
	seen []byte
}

// copyRequests carries what the client sends.
func (l *link) copyRequests(to io.Writer, from io.Reader) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		l.remember(buffer[:n])
		l.wait(buffer[:n], false)
		if _, werr := to.Write(buffer[:n]); werr != nil || err != nil {
			return
		}
	}
}

// copyAnswers carries what the server sends.
func (l *link) copyAnswers(to io.Writer, from io.Reader) {
	buffer := make([]byte, copyBufferBytes)
	var carried int64
	for {
		n, err := from.Read(buffer)
		data := buffer[:n]
		fault := l.wait(data, true)
		if fault.CutAnswersAfter > 0 && carried+int64(n) > fault.CutAnswersAfter {
			_, _ = to.Write(data[:max(0, fault.CutAnswersAfter-carried)])
			l.proxy.cut()
			return
		}
		if fault.DropAnswers {
			data = nil
		}
		carried += int64(len(data))
		if _, werr := to.Write(data); werr != nil || err != nil {
			return
		}
	}
}

// remember keeps the client's first bytes for RequestContains.
func (l *link) remember(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	room := maxSeenBytes - len(l.seen)
	l.seen = append(l.seen, data[:min(len(data), room)]...)
}

// fault returns the faults that apply to the link.
func (l *link) fault() (Fault, <-chan struct{}) {
	fault, changed := l.proxy.current()
	l.mu.Lock()
	defer l.mu.Unlock()
	if fault.RequestContains != "" && !bytes.Contains(l.seen, []byte(fault.RequestContains)) {
		return Fault{}, changed
	}
	return fault, changed
}

// wait holds data back while the fault says so, and for its delay.
func (l *link) wait(data []byte, answers bool) Fault {
	counted := false
	for {
		fault, changed := l.fault()
		if fault.Freeze || answers && fault.HoldAnswers {
			if !counted && bytes.Contains(data, []byte(fault.RequestContains)) {
				counted = true
				l.proxy.hold(1)
				defer l.proxy.hold(-1)
			}
			<-changed
			continue
		}
		if fault.Delay > 0 {
			time.Sleep(fault.Delay)
		}
		return fault
	}
}
