package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case "twice": an engine that turns slow while its queue is long.
const (
	twiceEngines = 7
	streams      = 42
	eventGap     = 280 * time.Millisecond
	slowFactor   = 8
	slowTime     = 6 * time.Second
	sharedLimit  = 400 * time.Millisecond
)

// gate is a listener that can be closed for a while: connections are then reset.
type gate struct {
	addr string
	h    http.Handler

	mu sync.Mutex
	l  net.Listener
}

func newGate(h http.Handler) *gate {
	g := &gate{h: h, l: listen("127.0.0.1")}
	g.addr = g.l.Addr().String()
	go func() { _ = (&http.Server{Handler: h}).Serve(g.l) }()
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.l.Close()
}

func (g *gate) open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, err := net.Listen("tcp", g.addr)
	if err != nil {
		return err
	}
	g.l = l
	go func() { _ = (&http.Server{Handler: g.h}).Serve(l) }()
	return nil
}

// run is a run of a request at an engine.
type run struct {
	engine      string
	from        int
	begun, ends time.Time
}

// until describes the end of a run by the time since the start of a later one.
func (r *run) until(later time.Time) string {
	if r.ends.IsZero() {
		return "the end of the play"
	}
	return fmt.Sprintf("%d ms later", r.ends.Sub(later).Milliseconds())
}

type runs struct {
	mu sync.Mutex
	of map[string][]*run
}

func (r *runs) begin(p *play, e *engine, id string, from int) func(string) {
	n := &run{engine: e.id, from: from, begun: time.Now()}
	r.mu.Lock()
	r.of[id] = append(r.of[id], n)
	r.mu.Unlock()
	p.note("%s begins to run at %s, after event %d", id, e.id, from)
	return func(how string) {
		r.mu.Lock()
		n.ends = time.Now()
		r.mu.Unlock()
		p.note("%s ends at %s: %s", id, e.id, how)
	}
}

// busiest returns the index of the engine that most requests run at.
func (r *runs) busiest() (found int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var running [twiceEngines]int
	for _, all := range r.of {
		for _, one := range all {
			var n int
			if _, err := fmt.Sscanf(one.engine, "i-%d", &n); err == nil && one.ends.IsZero() {
				running[n-1]++
			}
		}
	}
	for n := range running {
		if running[n] > running[found] {
			found = n
		}
	}
	return found
}

// shared returns the requests that went on at an engine while another one still worked on them
// later than sharedLimit.
func (r *runs) shared(p *play) (found int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, all := range r.of {
		for i, later := range all {
			for _, first := range all[:i] {
				if first.engine != later.engine && (first.ends.IsZero() || first.ends.Sub(later.begun) > sharedLimit) {
					found++
					p.note("BROKEN: %s goes on at %s, %s works on it until %s", id, later.engine, first.engine, first.until(later.begun))
				}
			}
		}
	}
	return found
}

func playTwice(p *play) int {
	rows := newStore()
	s := newSite(p.dir, serve("127.0.0.1", rows.handler()))
	rows.put("op", "config", policy(64, 360, 2_000_000))
	all := &runs{of: make(map[string][]*run)}
	var slow [twiceEngines]atomic.Bool
	var gates [twiceEngines]*gate
	for i := range twiceEngines {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "llm", zone: zones[i%3], model: "m1", born: time.Now().UnixMilli(), slots: 64, events: 24, gap: eventGap, stays: true}
		e.ran = func(e *engine, id string, from int) func(string) { return all.begin(p, e, id, from) }
		g := newGate(e)
		e.addr = g.addr
		gates[i] = g
		e.pause = func() time.Duration {
			if slow[i].Load() {
				return (slowFactor - 1) * eventGap
			}
			return 0
		}
		rows.put("servers", e.id, e.row())
	}
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
	}
	time.Sleep(3 * time.Second) // so that all VMs are in touch
	var wg sync.WaitGroup
	var served atomic.Int64
	for n := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := request{id: fmt.Sprintf("q-%03d", n), key: "key-1", model: "m1", usage: "1460,80", prefix: fmt.Sprintf("%x:1200,%x:260", 4000+n, 9000+n), deadline: 15 * time.Second}
			a := r.send(s.addr(1+n%3, 0))
			p.note("%s: the caller gets status %d, %d bytes, error %v", r.id, a.status, len(a.body), a.err)
			if a.served(24) {
				served.Add(1)
			}
		}()
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if p.trouble {
		n := all.busiest()
		p.note("i-%d turns slow, its queue is long: it takes no more connections", n+1)
		slow[n].Store(true)
		gates[n].shut()
		time.Sleep(slowTime)
		slow[n].Store(false)
		if err := gates[n].open(); err != nil {
			p.note("i-%d does not take connections again: %v", n+1, err)
		}
		p.note("i-%d is as before", n+1)
	}
	wg.Wait()
	time.Sleep(8 * time.Second)
	found := all.shared(p)
	p.note("%d of %d streams complete, %d ran at two engines at a time", served.Load(), streams, found)
	fmt.Printf("%d of %d streams complete, %d ran at two engines at a time\n", served.Load(), streams, found)
	if found > 0 {
		return broken
	}
	if !p.trouble && served.Load() < streams {
		return failed
	}
	return held
}
