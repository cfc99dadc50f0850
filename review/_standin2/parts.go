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
	partsTime    = 90 * time.Second
	partsPerSec  = 40
	headBytes    = 15600 // of the parts; the limit of a head is 16,384 bytes
)

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
	var vms []*vm
	for n := 1; n <= 3; n++ {
		v, err := s.start(n)
		if err != nil {
			p.note("VM %d not started: %v", n, err)
			return failed
		}
		vms = append(vms, v)
		defer v.kill()
	}
	for _, v := range vms {
		if !v.awaitReady(10 * time.Second) {
			return failed
		}
	}
	var wg sync.WaitGroup
	var served, all atomic.Int64
	next := 0
	prompt := func() (usage, prefix string) {
		if !p.trouble {
			next++
			return "1460,80", fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", 1<<24+next)
		}
		var b strings.Builder
		n := 0
		for ; b.Len() < headBytes; n++ {
			next++
			fmt.Fprintf(&b, "%x:1,", 1<<16+next)
		}
		return fmt.Sprintf("%d,80", n), strings.TrimSuffix(b.String(), ",")
	}
	peak := make([]float64, len(vms))
	ticker := time.NewTicker(time.Second / partsPerSec)
	defer ticker.Stop()
	code := held
	for n := 0; time.Since(p.began) < partsTime && code == held; n++ {
		<-ticker.C
		usage, prefix := prompt()
		vm := 1 + n%3
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := request{id: fmt.Sprintf("q-%06d", n), key: "key-1", model: "m1", usage: usage, prefix: prefix, deadline: 5 * time.Second}
			a := r.send(s.addr(vm, 0))
			all.Add(1)
			if a.served(2) {
				served.Add(1)
			} else if all.Load()%50 == 1 {
				p.note("%s to VM %d: status %d, error %v", r.id, vm, a.status, a.err)
			}
		}()
		if n%partsPerSec != 0 {
			continue
		}
		line := ""
		for i, v := range vms {
			mb := v.memoryMB()
			peak[i] = max(peak[i], mb)
			line += fmt.Sprintf(" VM %d %.0f MB", i+1, mb)
			if mb > float64(s.memoryMB) || v.ended() {
				code = broken
			}
		}
		p.note("sent %d, served %d of %d, run %d;%s", n, served.Load(), all.Load(), ran.Load(), line)
	}
	wg.Wait()
	p.note("peak memory in MB: %.0f; the limit is %d", peak, s.memoryMB)
	fmt.Printf("served %d of %d, peak %.0f MB of %d\n", served.Load(), all.Load(), peak, s.memoryMB)
	if code == held && 2*served.Load() < all.Load() {
		return failed
	}
	return code
}
