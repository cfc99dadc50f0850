package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"time"
)

const (
	leaseMS    = 3000
	lateAnswer = 750 * time.Millisecond
	// lateShare is the largest share of orders of applied_late in fleetbench kinds, lateTime the
	// span of the site file.
	lateShare = 0.5
	lateTime  = 5500 * time.Millisecond
)

// config returns the operator's configuration: a pool of engines with one busy model, which has
// more adapters than its engines have places for.
func engineConfig(version int) []byte {
	models := []map[string]any{{"name": "m0", "weights_mb": modelMB, "load_s": 1.2, "warm_s": 0.38, "disk_s": 0.49, "adapters": 32, "adapter_mb": 12}}
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "draft", "hostname": "h.example", "prefix": "/draft/", "type": "streaming", "timeout_ms": 5000, "target_latency_ms": 800,
			"gap_aim_ms": 300, "priority": 1, "service": "pool", "max_attempts": 2, "no_auth": false, "session_affinity": true, "resumable": true,
		}, {
			"name": "ask", "hostname": "h.example", "prefix": "/ask/", "type": "streaming", "timeout_ms": 15000, "target_latency_ms": 400,
			"gap_aim_ms": 300, "priority": 0, "service": "pool", "max_attempts": 2, "no_auth": false, "session_affinity": true, "resumable": true,
		}},
		"services": []map[string]any{{"name": "pool", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 64, "kv_tokens": 270933, "weights_mb": weightsMB, "adapter_slots": adapterSlots, "loads_per_s": 1.1, "models": models,
		}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant", "api_keys": []string{"key-1"}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 900000, "burst": 900000}},
	})
	return data
}

// leaderLeaves stops the machine that orders, in the planned way, while engines answer orders late.
func leaderLeaves(w *world, trouble bool) ([]string, error) {
	w.store.put("op", "config", engineConfig(1))
	for i, zone := range []string{"zone-a", "zone-b"} {
		e, err := newEngine(w, fmt.Sprintf("i-%d", i+1), "pool", zone, fmt.Sprintf("%s%d", w.prefix, 100+i), "m0")
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
	go c.keepSending(stop, 16*time.Millisecond, func() {
		c.send("POST", "/draft/x", "prompt", 5*time.Second, modelHeader(fmt.Sprintf("m0/a%d", 1+rand.IntN(32)), 100))
	})
	go c.keepSending(stop, 100*time.Millisecond, func() {
		c.send("POST", "/ask/x", "prompt", 15*time.Second, modelHeader("m0", 100))
	})
	time.Sleep(8 * time.Second)
	stopped := 0
	for range 4 {
		if trouble {
			for _, e := range w.engines {
				e.setOrderDelay(lateAnswer)
			}
			time.AfterFunc(lateTime, func() {
				for _, e := range w.engines {
					e.setOrderDelay(0)
				}
			})
		}
		leader := w.awaitUnload(4*time.Second, trouble)
		if leader == nil {
			w.log("no adapter has made way in this round")
			time.Sleep(4 * time.Second)
			continue
		}
		stopped++
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			leader.terminate()
		}()
		<-ended
		time.Sleep(8 * time.Second)
	}
	close(stop)
	time.Sleep(time.Second)
	if stopped == 0 {
		return nil, errors.New("no adapter has made way")
	}
	return w.checkOne(), nil
}

// keepSending sends requests at random times until stop is closed.
func (c *clients) keepSending(stop <-chan struct{}, mean time.Duration, send func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(mean))):
		}
		go send()
	}
}

// modelHeader returns the header of a request for weights, with a last part of a prompt of its own.
func modelHeader(model string, tokens int) map[string]string {
	return map[string]string{
		"Authorization": "Token key-1", "Fireflypier-Model": model, "Fireflypier-Token-Usage": fmt.Sprintf("%d,80", 800+tokens),
		"Fireflypier-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%x:%d", rand.Uint32(), tokens),
	}
}

// awaitUnload waits for the next order to unload an adapter, one that is answered late if late is
// set, and returns the machine that gave it.
func (w *world) awaitUnload(timeout time.Duration, late bool) *node {
	w.mu.Lock()
	seen := len(w.orders)
	w.mu.Unlock()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		next := append([]order(nil), w.orders[seen:]...)
		w.mu.Unlock()
		for _, o := range next {
			if o.operation == "unload" && o.adapter != "" && o.status == http.StatusOK && o.late == late {
				return w.nodeAt(o.holder)
			}
		}
		seen += len(next)
	}
	return nil
}

// nodeAt returns the machine with an address.
func (w *world) nodeAt(ip string) *node {
	for _, nd := range w.nodes {
		if nd.ip == ip {
			return nd
		}
	}
	return nil
}

// checkOne returns the orders that break the rule ONE. No sender was frozen, and no link was cut.
func (w *world) checkOne() (broken []string) {
	w.mu.Lock()
	orders := append([]order(nil), w.orders...)
	w.mu.Unlock()
	sort.Slice(orders, func(i, j int) bool { return orders[i].at.Before(orders[j].at) })
	last := map[string]order{}
	holderOf := map[string]string{}
	for _, o := range orders {
		key := fmt.Sprint(o.engine, " ", o.fence)
		if h, ok := holderOf[key]; ok && h != o.holder {
			broken = append(broken, fmt.Sprintf("%s got fence %d from %s and %s", o.engine, o.fence, h, o.holder))
		}
		holderOf[key] = o.holder
		if l, ok := last[o.engine]; ok {
			gap := o.at.Sub(l.at)
			if l.holder != o.holder && gap < leaseMS*time.Millisecond {
				broken = append(broken, fmt.Sprintf("%s got an order of %s (fence %d) at %.3f s and one of %s (fence %d) at %.3f s, %d ms later; lease_ms is %d",
					o.engine, l.holder, l.fence, l.at.Sub(w.started).Seconds(), o.holder, o.fence, o.at.Sub(w.started).Seconds(), gap.Milliseconds(), leaseMS))
			}
			if o.fence < l.fence {
				broken = append(broken, fmt.Sprintf("%s got fence %d of %s after fence %d of %s", o.engine, o.fence, o.holder, l.fence, l.holder))
			}
		}
		last[o.engine] = o
	}
	for _, e := range w.engines {
		e.mu.Lock()
		if e.crashed {
			w.record.WriteString("engine " + e.id + " held more adapters than it has places for\n")
		}
		e.mu.Unlock()
	}
	return broken
}
