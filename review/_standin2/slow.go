package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "slow": callers that stop reading for a while.
const (
	slowCallers   = 12
	purchaseBytes = 4800
	receiveBytes  = 2048
	readPause     = 2600 * time.Millisecond
	purchaseLimit = 3 * time.Second
)

// purchases is a policy with one route for requests that may run once, to a plain service.
func purchases() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-1", "hostname": "host.example", "prefix": "/buy/", "type": "unsafe", "timeout_ms": 15000,
			"target_latency_ms": 150, "priority": 2, "service": "app", "max_attempts": 1, "no_auth": false,
		}},
		"services": []map[string]any{{"name": "app", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{
			"name": "tenant-1", "api_keys": []string{"key-1"}, "priority": 0, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": 90211, "burst": 90211,
		}},
	}
}

// slowCaller sends requests on one connection with a small receive buffer, and reads the
// answers after a pause.
type slowCaller struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialSlow(addr string) (*slowCaller, error) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	conn, err := d.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &slowCaller{conn, bufio.NewReader(conn)}, nil
}

// buy sends a request and returns its status and the number of bytes of the answer's body.
func (c *slowCaller) buy(id string, pause time.Duration) (status, size int, err error) {
	body := `{"purchase":"` + id + `"}`
	_, err = fmt.Fprintf(c.conn, "POST /buy/1 HTTP/1.1\r\nHost: host.example\r\nFireflypier-Request-Id: %s\r\nFireflypier-Deadline-Ms: %d\r\nAuthorization: Token key-1\r\nContent-Length: %d\r\n\r\n%s",
		id, purchaseLimit.Milliseconds(), len(body), body)
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(pause)
	_ = c.conn.SetReadDeadline(time.Now().Add(purchaseLimit))
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = res.Body.Close() }()
	n, err := io.Copy(io.Discard, res.Body)
	return res.StatusCode, int(n), err
}

func playSlow(p *play) int {
	rows := newStore()
	s := newSite(p.dir, serve("127.0.0.1", rows.handler()))
	rows.put("op", "config", purchases())
	var mu sync.Mutex
	ran := make(map[string]int)
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i+1)
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			request := r.Header.Get("Fireflypier-Request-Id")
			if r.URL.Path == "/health" {
				w.Header().Set("Fireflypier-Instance-Id", id)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(30 * time.Millisecond)
			mu.Lock()
			ran[request]++
			mu.Unlock()
			p.note("%s runs at %s and is answered", request, id)
			w.Header().Set("Fireflypier-Request-Id", request)
			w.Header().Set("Fireflypier-Server-Seal", "seal."+id)
			_, _ = io.WriteString(w, strings.Repeat("x", purchaseBytes))
		})
		rows.put("servers", id, map[string]any{
			"service": "app", "address": serve("127.0.0.1", h), "zone": zones[i], "version": "v1", "slots": 6, "state": "ready",
			"cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
	}
	var vms []*vm
	for n := 1; n <= 3; n++ {
		v, err := s.start(n)
		if err != nil {
			p.note("VM %d not started: %v", n, err)
			return failed
		}
		defer v.kill()
		if !v.awaitReady(10 * time.Second) {
			return failed
		}
		vms = append(vms, v)
	}
	time.Sleep(4 * time.Second) // so that all VMs are in touch
	pause := readPause
	if !p.trouble {
		pause = 0
	}
	callers := make([]*slowCaller, slowCallers)
	for n := range callers {
		c, err := dialSlow(s.addr(1+n%3, 0))
		if err != nil {
			p.note("caller %d: %v", n, err)
			return failed
		}
		defer func() { _ = c.conn.Close() }()
		callers[n] = c
	}
	lost := 0
	for k, wait := range []time.Duration{0, pause} {
		if k == 1 {
			for _, v := range vms {
				p.note("VM %d gets SIGHUP, its settings are as before", v.n)
				_ = v.cmd.Process.Signal(syscall.SIGHUP)
			}
		}
		var wg sync.WaitGroup
		for n, c := range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprintf("q-%02d-%d", n, k)
				status, size, err := c.buy(id, wait)
				p.note("%s: its caller reads %v later, and gets status %d, %d of %d bytes, error %v", id, wait, status, size, purchaseBytes, err)
				mu.Lock()
				if ran[id] > 0 && (err != nil || size != purchaseBytes) {
					lost++
					p.note("BROKEN: %s has run, and the VM has closed its kept connection without a complete answer (reset: %v)", id, errors.Is(err, syscall.ECONNRESET))
				}
				mu.Unlock()
			}()
		}
		wg.Wait()
	}
	p.note("%d of %d slow callers got no complete answer", lost, slowCallers)
	fmt.Printf("%d of %d slow callers got no complete answer\n", lost, slowCallers)
	if lost > 3 {
		return broken
	}
	return held
}
