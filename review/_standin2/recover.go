package main

import (
	"fmt"
	"sync"
	"time"
)

// The case "recover": VMs that were replaced long ago, and a restart of all VMs.
const (
	formerVMs = 45
	perGroup  = 9
	// forgetTime is longer than the time after which running VMs forget those that are gone.
	forgetTime = 33 * time.Second
	recoverS   = 12 * time.Second
	watchS     = 15 * time.Second
)

// load sends requests at a steady rate to the VMs in turn, until stop is closed.
type load struct {
	mu   sync.Mutex
	sent []time.Time
	ok   []bool
}

func (l *load) run(p *play, s *site, stop <-chan struct{}) {
	var wg sync.WaitGroup
	ticker := time.NewTicker(145 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-stop:
			wg.Wait()
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := request{id: fmt.Sprintf("q-%05d", n), key: "key-1", model: "m1", usage: "9190,40", prefix: fmt.Sprintf("5c1e07a2:6300,%x:2890", n+1000), deadline: 5 * time.Second}
			at := time.Now()
			vm := 1 + n%3
			a := r.send(s.addr(vm, 0))
			p.note("%s sent to VM %d at %.3f: status %d, retry after %q, error %v", r.id, vm, at.Sub(p.began).Seconds(), a.status, a.retry, a.err)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.sent, l.ok = append(l.sent, at), append(l.ok, a.served(5))
		}()
	}
}

// served returns the numbers of requests sent between two times, and of those that were served.
func (l *load) served(from, to time.Time) (served, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, at := range l.sent {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		all++
		if l.ok[i] {
			served++
		}
	}
	return served, all
}

func playRecover(p *play) int {
	rows := newStore()
	s := newSite(p.dir, serve("127.0.0.1", rows.handler()))
	rows.put("op", "config", policy(64, 360, 90211))
	for i := range 3 {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "llm", zone: zones[i], model: "m1", born: time.Now().UnixMilli(), slots: 64, events: 5, gap: 20 * time.Millisecond}
		e.ran = func(e *engine, id string, _ int) func(string) {
			p.note("%s runs at %s", id, e.id)
			return func(how string) { p.note("%s ends at %s: %s", id, e.id, how) }
		}
		e.addr = serve("127.0.0.1", e)
		rows.put("servers", e.id, e.row())
	}
	vms := make([]*vm, 4)
	start := func(n int) *vm {
		v, err := s.start(n)
		if err != nil {
			p.note("VM %d not started: %v", n, err)
			return nil
		}
		return v
	}
	defer func() {
		for _, v := range vms {
			if v != nil {
				v.kill()
			}
		}
	}()
	for n := 1; n <= 3; n++ {
		if vms[n] = start(n); vms[n] == nil || !vms[n].awaitReady(10*time.Second) {
			return failed
		}
	}
	p.note("VMs 1 to 3 are ready")
	if p.trouble && !p.replaceVMs(rows, start) {
		return failed
	}
	p.note("the store lists %d VMs", rows.count("pier-members"))
	if p.trouble {
		time.Sleep(forgetTime)
	}
	l, stop, ended := &load{}, make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); l.run(p, s, stop) }()
	began := time.Now()
	time.Sleep(8 * time.Second)
	fault := time.Now()
	p.note("all VMs are killed")
	for n := 1; n <= 3; n++ {
		vms[n].kill()
	}
	time.Sleep(time.Second)
	for n := 1; n <= 3; n++ {
		if vms[n] = start(n); vms[n] == nil {
			return failed
		}
	}
	for n := 1; n <= 3; n++ {
		if !vms[n].awaitReady(10 * time.Second) {
			return failed
		}
	}
	back := time.Now()
	p.note("all VMs are ready again")
	time.Sleep(recoverS + watchS)
	close(stop)
	<-ended
	before, allBefore := l.served(began, fault.Add(-time.Second))
	after, allAfter := l.served(back.Add(recoverS), time.Now())
	p.note("served before the fault: %d of %d; sent later than %v after the VMs were back: %d of %d", before, allBefore, recoverS, after, allAfter)
	fmt.Printf("before %d of %d, after %d of %d\n", before, allBefore, after, allAfter)
	switch {
	case allBefore < 20 || allAfter < 20 || 4*before < allBefore:
		return failed
	case 4*after < allAfter:
		return broken
	}
	return held
}

// replaceVMs has VMs come and go for good.
func (p *play) replaceVMs(rows *store, start func(n int) *vm) bool {
	for first := 0; first < formerVMs; first += perGroup {
		var group []*vm
		known := rows.count("pier-members")
		for i := range perGroup {
			v := start(4 + first + i)
			if v == nil {
				return false
			}
			group = append(group, v)
		}
		for end := time.Now().Add(8 * time.Second); rows.count("pier-members") < known+perGroup && time.Now().Before(end); {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		for _, v := range group {
			v.kill()
		}
		p.note("VMs %d to %d have come and are gone for good", 4+first, 3+first+perGroup)
	}
	return true
}
