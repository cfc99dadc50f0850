package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pauseEvents is the largest number of events on the sheet, pauseEventBytes a third of the
	// largest size.
	pauseEvents     = 191
	pauseEventBytes = 110
	pauseTime       = 3 * time.Second
	pauseCallers    = 36
	pauseRounds     = 3
	// pauseMachines get SIGHUP: half of them, the site file has 0.6.
	pauseMachines = 3
	// pauseReceive is the receive buffer of the callers in bytes.
	pauseReceive = 2048
)

// withoutResumption returns a configuration whose streams may not be resumed.
func withoutResumption(config []byte) []byte {
	var c struct {
		Version  int              `json:"version"`
		Routes   []map[string]any `json:"routes"`
		Services any              `json:"services"`
		Limits   any              `json:"limits"`
		Tenants  any              `json:"tenants"`
	}
	_ = json.Unmarshal(config, &c)
	for _, r := range c.Routes {
		r["resumable"], r["max_attempts"] = false, 1
	}
	data, _ := json.Marshal(c)
	return data
}

// readersPause has callers stop reading twice while they receive a stream.
func readersPause(w *world, trouble bool) ([]string, error) {
	w.store.put("op", "config", withoutResumption(engineConfig(1)))
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		e, err := newEngine(w, fmt.Sprintf("i-%d", i+1), "pool", zone, fmt.Sprintf("%s%d", w.prefix, 100+i), "m0")
		if err != nil {
			return nil, err
		}
		e.serve = func(rw http.ResponseWriter, r *http.Request, id string) bool {
			if _, err := io.ReadAll(r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
			w.recordRun(id, e.id)
			e.head(rw, id)
			rw.Header().Set("Content-Type", "text/event-stream")
			for n := 1; n <= pauseEvents; n++ {
				head := fmt.Sprintf("id: %d\ndata: ", n)
				_, _ = fmt.Fprintf(rw, "%s%s\n\n", head, strings.Repeat("x", pauseEventBytes-len(head)-2))
				_ = http.NewResponseController(rw).Flush()
				time.Sleep(5 * time.Millisecond)
			}
			w.log("engine %s has answered request %s", e.id, id)
			return true
		}
		w.engines = append(w.engines, e)
	}
	if err := w.startNodes(6); err != nil {
		return nil, err
	}
	if !w.awaitReady(10 * time.Second) {
		return nil, errors.New("the machines are not ready")
	}
	time.Sleep(4 * time.Second) // so that all machines are in touch
	var mu sync.Mutex
	var lost []string
	for range pauseRounds {
		for _, nd := range w.nodes[:pauseMachines] {
			nd.signal(syscall.SIGHUP)
		}
		var wg sync.WaitGroup
		for i := range pauseCallers {
			wg.Go(func() {
				if text := w.readWithPauses(w.nodes[i%pauseMachines], trouble); text != "" {
					mu.Lock()
					defer mu.Unlock()
					lost = append(lost, text)
				}
			})
		}
		wg.Wait()
	}
	fmt.Printf("%d of %d answers not complete\n", len(lost), pauseCallers*pauseRounds)
	return lost, nil
}

// readWithPauses sends a request and reads its answer with two pauses. It returns how the answer
// was lost, empty if it was complete.
func (w *world) readWithPauses(nd *node, trouble bool) string {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, pauseReceive)
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	conn, err := d.DialContext(context.Background(), "tcp", nd.addr(0))
	if err != nil {
		w.log("%s not reached: %v", nd.name, err)
		return ""
	}
	defer func() { _ = conn.Close() }()
	id := newID()
	w.log("request %s sent to %s", id, nd.name)
	_, err = fmt.Fprintf(conn, "POST /ask/1 HTTP/1.1\r\nHost: h.example\r\nFireflypier-Request-Id: %s\r\nFireflypier-Deadline-Ms: 15000\r\nAuthorization: Token key-1\r\n"+
		"Fireflypier-Model: m0\r\nFireflypier-Token-Usage: 826,955\r\nFireflypier-Prompt-Prefix: 5c1e07a2:198,%x:628\r\nContent-Length: 6\r\n\r\nprompt", id, rand.Uint32())
	if err != nil {
		w.log("request %s not sent: %v", id, err)
		return ""
	}
	p := &pausingReader{conn: conn, at: []int{0, 4000 + rand.IntN(10000)}}
	if !trouble {
		p.at = nil
	}
	res, err := http.ReadResponse(bufio.NewReader(p), nil)
	if err != nil {
		w.log("request %s: no answer after %d bytes: %v", id, p.read, err)
		return fmt.Sprintf("request %s to %s: no answer: %v", id, nd.name, err)
	}
	defer func() { _ = res.Body.Close() }()
	n, err := io.Copy(io.Discard, res.Body)
	w.log("request %s: status %d, %d bytes, error %v", id, res.StatusCode, n, err)
	if res.StatusCode != http.StatusOK {
		return ""
	}
	if err != nil || n != pauseEvents*pauseEventBytes {
		return fmt.Sprintf("request %s to %s, run by an engine: %d of %d bytes, then %v", id, nd.name, n, pauseEvents*pauseEventBytes, err)
	}
	return ""
}

// pausingReader reads from a connection, and pauses before each of the given positions.
type pausingReader struct {
	conn net.Conn
	at   []int
	read int
}

func (p *pausingReader) Read(data []byte) (int, error) {
	if len(p.at) > 0 && p.read >= p.at[0] {
		p.at = p.at[1:]
		time.Sleep(pauseTime)
	}
	n, err := p.conn.Read(data[:min(len(data), 512)])
	p.read += n
	return n, err
}
