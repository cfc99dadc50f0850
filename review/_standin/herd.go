package main

import (
	"fmt"
	"syscall"
	"time"
)

// herd shows that VMs which run all the time go on sending requests to an engine that has
// left, because they miss its leaving while other VMs are killed and start again.
func herd(s *site, trouble bool) string {
	const (
		drain  = 2 * time.Second // drain_ms
		linger = 6 * time.Second // the time for which an engine serves after drain_ms
		vms    = 6
		killed = 3 // of the VMs
		rounds = 5
	)
	s.store.put("op", "config", plainConfig(7, "/puxa403/"))
	start := func() *engine { return s.startEngine(&engine{service: "app", slots: 6, work: 250 * time.Millisecond}) }
	for range 8 {
		start()
	}
	s.startNodes(vms)
	q := &requesters{site: s}
	stop := make(chan struct{})
	go func() {
		for number := 0; ; number++ {
			q.send(purchase(number), "")
			select {
			case <-time.After(25 * time.Millisecond):
			case <-stop:
				return
			}
		}
	}()
	time.Sleep(3 * time.Second)
	left := map[string]time.Time{}
	var leaving []*engine
	for round := range rounds {
		e := s.engines[round]
		leaving = append(leaving, e)
		if trouble {
			for _, x := range s.nodes[:killed] {
				s.note("SIGKILL to %s", x.name)
				x.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(100 * time.Millisecond)
		gone := time.Now()
		id, _ := e.leave(drain + linger)
		left[id] = gone
		time.Sleep(50 * time.Millisecond)
		start() // takes its place
		time.Sleep(drain + linger + 2*time.Second)
	}
	close(stop)
	q.wg.Wait()
	vmOf := map[string]string{}
	for _, c := range q.calls {
		vmOf[c.id] = c.vm
	}
	survivor := map[string]bool{}
	for _, x := range s.nodes[killed:] {
		survivor[x.front()] = true
	}
	late, engines := 0, map[string]bool{}
	for _, r := range s.allRuns() {
		gone, ok := left[r.engine]
		if ok && r.at.After(gone.Add(drain)) && survivor[vmOf[r.id]] {
			late++
			engines[r.engine] = true
			s.note("request %s reached engine %s from %s %d ms after it was gone", r.id, r.engine, vmOf[r.id], r.at.Sub(gone).Milliseconds())
		}
	}
	cut := 0
	for _, e := range leaving {
		e.mu.Lock()
		cut += e.cutOff
		e.mu.Unlock()
	}
	s.note("%d requests reach %d engines later than drain_ms after their leaving was acknowledged, from VMs that run all the time; %d requests were cut off when the engines ended", late, len(engines), cut)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reach %d of %d engines later than drain_ms after their leaving was acknowledged, from VMs that run all the time; %d are cut off as the engines end", late, len(engines), rounds, cut)
	}
	return ""
}
