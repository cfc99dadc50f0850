package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "parts": prompts of many small parts.
const (
	partsEngines = 12
	partsVMs     = 3
	partsTime    = 105 * time.Second
	partsPerSec  = 40
	headBytes    = 15600 // of the parts; the limit of a head is 16,384 bytes
	// endsPerVM and endedVMs are the ends of processes with which the day counts for nothing.
	endsPerVM, endedVMs = 3, 2
	restartTime         = 300 * time.Millisecond
)

// guarded is a VM whose process the platform kills above its memory, and starts again.
type guarded struct {
	p *play
	s *site

	mu   sync.Mutex
	vm   *vm
	ends int
	peak float64
	mb   float64
}

// watch acts as the platform does until stop is closed.
func (g *guarded) watch(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		g.mu.Lock()
		g.mb = g.vm.memoryMB()
		g.peak = max(g.peak, g.mb)
		if ended := g.vm.ended(); ended || g.mb > float64(g.s.memoryMB) {
			g.ends++
			g.p.note("VM %d: its process has ended by itself: %v; %.0f MB of %d: killed by the platform (%d)", g.vm.n, ended, g.mb, g.s.memoryMB, g.ends)
			g.vm.kill()
			time.Sleep(restartTime)
			v, err := g.s.start(g.vm.n)
			if err != nil {
				g.p.note("VM %d not started: %v", g.vm.n, err)
			} else {
				g.vm = v
			}
		}
		g.mu.Unlock()
	}
}

// prompt returns the size and the parts of a prompt.
func prompt(n int, small bool) (usage, prefix string) {
	if !small {
		return "1460,80", fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", 1<<24+n)
	}
	first := fmt.Sprintf("%x:1", 1<<24+n)
	rest := (headBytes - len(first)) / len(",0:1")
	return fmt.Sprintf("%d,80", 1+rest), first + strings.Repeat(",0:1", rest)
}

func playParts(p *play) int {
	rows := newStore()
	s := newSite(p.dir, serve("127.0.0.1", rows.handler()))
	rows.put("op", "config", policy(64, 360, 2_000_000))
	var ran atomic.Int64
	for i := range partsEngines {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "llm", zone: zones[i%3], model: "m1", born: time.Now().UnixMilli(), slots: 64, events: 2, gap: 5 * time.Millisecond}
		e.ran = func(*engine, string, int) func(string) { ran.Add(1); return func(string) {} }
		e.addr = serve("127.0.0.1", e)
		rows.put("servers", e.id, e.row())
	}
	var vms []*guarded
	for n := 1; n <= partsVMs; n++ {
		v, err := s.start(n)
		if err != nil {
			p.note("VM %d not started: %v", n, err)
			return failed
		}
		g := &guarded{p: p, s: s, vm: v}
		vms = append(vms, g)
		defer func() { g.vm.kill() }()
	}
	for _, g := range vms {
		if !g.vm.awaitReady(10 * time.Second) {
			return failed
		}
	}
	stop := make(chan struct{})
	var watches, calls sync.WaitGroup
	for _, g := range vms {
		watches.Add(1)
		go func() { defer watches.Done(); g.watch(stop) }()
	}
	var served, all atomic.Int64
	ticker := time.NewTicker(time.Second / partsPerSec)
	defer ticker.Stop()
	ended := 0
	for n := 0; time.Since(p.began) < partsTime && ended < endedVMs; n++ {
		<-ticker.C
		usage, prefix := prompt(n, p.trouble)
		calls.Add(1)
		go func() {
			defer calls.Done()
			r := request{id: fmt.Sprintf("q-%06d", n), key: "key-1", model: "m1", usage: usage, prefix: prefix, deadline: 5 * time.Second}
			a := r.send(s.addr(1+n%partsVMs, 0))
			all.Add(1)
			if a.served(2) {
				served.Add(1)
			} else {
				p.note("%s to VM %d: status %d, error %v", r.id, 1+n%partsVMs, a.status, a.err)
			}
		}()
		if n%partsPerSec != 0 {
			continue
		}
		ended = 0
		line := ""
		for _, g := range vms {
			g.mu.Lock()
			line += fmt.Sprintf(" VM %d %.0f MB", g.vm.n, g.mb)
			if g.ends >= endsPerVM {
				ended++
			}
			g.mu.Unlock()
		}
		p.note("sent %d, served %d of %d, run %d;%s", n, served.Load(), all.Load(), ran.Load(), line)
	}
	calls.Wait()
	close(stop)
	watches.Wait()
	summary := fmt.Sprintf("served %d of %d;", served.Load(), all.Load())
	for _, g := range vms {
		summary += fmt.Sprintf(" VM %d: peak %.0f MB of %d, %d ends;", g.vm.n, g.peak, s.memoryMB, g.ends)
	}
	p.note("%s", summary)
	fmt.Println(summary)
	switch {
	case ended >= endedVMs:
		return broken
	case 2*served.Load() < all.Load():
		return failed
	}
	return held
}
