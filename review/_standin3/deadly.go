package main

import (
	"encoding/json"
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

const (
	stability = 3 * time.Second
	// crashTime is the time after which an engine that has crashed is back.
	crashTime  = 3 * time.Second
	deadlyBody = "deadly"
)

// plainConfig returns a configuration with a plain service.
func plainConfig(version int) []byte {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h.example", "prefix": "/" + name + "/", "type": kind, "timeout_ms": 1500, "target_latency_ms": 150,
			"priority": 2, "service": "plain", "max_attempts": attempts, "no_auth": false, "resumable": false,
		}
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": []map[string]any{route("buy", "unsafe", 1), route("look", "safe", 2)},
		"services": []map[string]any{{"name": "plain", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "tenant", "api_keys": []string{"key-1"}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 900000, "burst": 900000}},
	})
	return data
}

// arrival is a deadly request that reached an engine.
type arrival struct {
	at     time.Time
	id     string
	engine string
}

// deadlyRestarts kills all machines while a request that crashes engines comes again and again.
func deadlyRestarts(w *world, trouble bool) ([]string, error) {
	w.store.put("op", "config", plainConfig(1))
	var mu sync.Mutex
	var arrivals []arrival
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		e, err := newCrashingServer(w, fmt.Sprintf("s-%d", i+1), zone, fmt.Sprintf("%s%d", w.prefix, 100+i), func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, a)
		})
		if err != nil {
			return nil, err
		}
		w.engines = append(w.engines, e)
	}
	if err := w.startNodes(6); err != nil {
		return nil, err
	}
	if !w.awaitReady(10 * time.Second) {
		return nil, errors.New("the machines are not ready")
	}
	c := newClients(w, "h.example")
	stop := make(chan struct{})
	key := map[string]string{"Authorization": "Token key-1"}
	go c.keepSending(stop, 60*time.Millisecond, func() { c.send("POST", "/buy/x", "sound "+newID(), 1500*time.Millisecond, key) })
	go c.keepSending(stop, 60*time.Millisecond, func() { c.send("GET", "/look/"+newID(), "", 1500*time.Millisecond, key) })
	time.Sleep(3 * time.Second)
	go c.keepSending(stop, 4*time.Second, func() { c.send("POST", "/buy/x", deadlyBody, 1500*time.Millisecond, key) })
	var kills []time.Time
	for range 3 {
		time.Sleep(25 * time.Second)
		if trouble {
			kills = append(kills, time.Now())
			for _, nd := range w.nodes {
				nd.signal(syscall.SIGKILL)
			}
		}
	}
	time.Sleep(20 * time.Second)
	close(stop)
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if len(arrivals) < 3 {
		return nil, errors.New("the request has not crashed three engines")
	}
	third := arrivals[2].at
	counted := map[string]bool{}
	for _, a := range arrivals {
		inTouch := true
		for _, k := range kills {
			if a.at.After(k) && a.at.Before(k.Add(stability+time.Second)) { // the start is within a second
				inTouch = false
			}
		}
		if a.at.After(third.Add(stability)) && inTouch {
			counted[a.id] = true
		}
	}
	w.log("the deadly request crashed %d engines; %d retries later than %s after the third crash reached engines, sent by machines in touch", len(arrivals), len(counted), stability)
	fmt.Println("crashes", len(arrivals), "counted", len(counted))
	if len(counted) <= 3 {
		return nil, nil
	}
	return []string{fmt.Sprintf("the request that crashes engines reached them in %d retries later than %s after the third crash; three are allowed", len(counted), stability)}, nil
}

// newCrashingServer starts a server of a plain service that crashes on deadly requests.
func newCrashingServer(w *world, id, zone, ip string, arrived func(arrival)) (*engine, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	e := &engine{w: w, id: id, service: "plain", zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), models: map[string]map[string]bool{}}
	var mu sync.Mutex
	up := true
	start := func(l net.Listener) {
		s := &http.Server{}
		s.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if want := r.Header.Get("Fireflypier-Expect-Instance"); want != "" && want != id {
				rw.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			rid := r.Header.Get("Fireflypier-Request-Id")
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			if strings.HasPrefix(string(body), deadlyBody) {
				arrived(arrival{time.Now(), rid, id})
				w.log("engine %s crashes on request %s", id, rid)
				mu.Lock()
				if up {
					up = false
					go func() { _ = s.Close() }()
					time.AfterFunc(crashTime, func() {
						l, err := net.Listen("tcp", e.address)
						if err != nil {
							w.log("engine %s cannot listen: %v", id, err)
							return
						}
						mu.Lock()
						up = true
						mu.Unlock()
						e.mu.Lock()
						e.born = time.Now().UnixMilli()
						e.mu.Unlock()
						e.restart(l)
						e.register()
						w.log("engine %s is back", id)
					})
				}
				mu.Unlock()
				panic(http.ErrAbortHandler)
			}
			w.recordRun(rid, id)
			time.Sleep(30 * time.Millisecond)
			rw.Header().Set("Fireflypier-Request-Id", rid)
			rw.Header().Set("Fireflypier-Server-Seal", "seal-"+id)
			_, _ = fmt.Fprintf(rw, "answer of %s to %s", id, rid)
		})
		_ = s.Serve(l)
	}
	e.restart = func(l net.Listener) { go start(l) }
	e.restart(l)
	e.register()
	go func() {
		for range time.Tick(heartbeat) {
			mu.Lock()
			alive := up
			mu.Unlock()
			if alive {
				e.register()
			}
		}
	}()
	return e, nil
}
