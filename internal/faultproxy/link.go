package faultproxy

import (
	"bytes"
	"io"
	"sync"
	"time"
)

// maxRecordedBytes is the number of bytes from the client that a link records.
const maxRecordedBytes = 64 << 10

// link is a client connection and the server connection to which it is forwarded.
type link struct {
	proxy *Proxy
	// faults is the number of times that the proxy's faults had been set when the
	// connection was accepted.
	faults int

	mu           sync.Mutex
	requestBytes []byte
}

// copyRequests forwards data from the client to the server.
func (l *link) copyRequests(to io.Writer, from io.Reader) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		l.recordRequest(buffer[:n])
		l.wait(buffer[:n], false)
		if _, werr := to.Write(buffer[:n]); werr != nil || err != nil {
			return
		}
	}
}

// copyResponses forwards data from the server to the client.
func (l *link) copyResponses(to io.Writer, from io.Reader) {
	buffer := make([]byte, copyBufferBytes)
	var forwarded int64
	for {
		n, err := from.Read(buffer)
		data := buffer[:n]
		fault := l.wait(data, true)
		if fault.CutAnswersAfter > 0 && forwarded+int64(n) > fault.CutAnswersAfter {
			_, _ = to.Write(data[:max(0, fault.CutAnswersAfter-forwarded)])
			l.proxy.countCut()
			return
		}
		if fault.DropAnswers {
			data = nil
		}
		forwarded += int64(len(data))
		if _, werr := to.Write(data); werr != nil || err != nil {
			return
		}
	}
}

// recordRequest records the first bytes from the client, in which RequestContains is
// searched.
func (l *link) recordRequest(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := maxRecordedBytes - len(l.requestBytes)
	l.requestBytes = append(l.requestBytes, data[:min(len(data), remaining)]...)
}

// fault returns the faults that apply to the link, and a channel that is closed
// when they change.
func (l *link) fault() (Fault, <-chan struct{}) {
	fault, changed := l.proxy.currentFault()
	l.mu.Lock()
	defer l.mu.Unlock()
	if fault.RequestContains != "" && !bytes.Contains(l.requestBytes, []byte(fault.RequestContains)) {
		return Fault{}, changed
	}
	fault.Freeze = fault.Freeze || fault.FreezeOpen && l.faults < l.proxy.faultCount()
	return fault, changed
}

// wait blocks while Freeze, HoldAnswers or HoldRequests applies to data and then for the
// delay. It returns the faults that apply afterwards.
func (l *link) wait(data []byte, fromServer bool) Fault {
	counted := false
	for {
		fault, changed := l.fault()
		if fault.Freeze || fromServer && fault.HoldAnswers || !fromServer && fault.HoldRequests {
			if !counted && bytes.Contains(data, []byte(fault.RequestContains)) {
				counted = true
				l.proxy.addHeld(1)
				defer l.proxy.addHeld(-1)
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
