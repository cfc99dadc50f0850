package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	lease = 3 * time.Second // lease_ms
)

// leader shows that a process that is shut down goes on sending orders to an engine after
// it has given up its lead, so that its successor's come too soon after them.
func leader(s *site, trouble bool) string {
	s.store.put("op", "config", llmConfig(7, []string{"m0"}, 32))
	e := s.startEngine(&engine{service: "llm", models: []string{"m0"}, slots: 64, events: 3, gap: 10 * time.Millisecond, orderTime: 120 * time.Millisecond})
	s.startNodes(3)
	q := &requesters{site: s}
	stop := make(chan struct{})
	go func() { // requests for all adapters of the model
		for i := 0; ; i++ {
			q.send(draft(fmt.Sprintf("m0/a%d", 1+rand.IntN(32)), "5c1e07a2", "91bd3f06", i), "")
			select {
			case <-time.After(110 * time.Millisecond):
			case <-stop:
				return
			}
		}
	}()
	time.Sleep(5 * time.Second)
	for range 4 {
		time.Sleep(10 * time.Second)
		if !trouble {
			continue
		}
		e.mu.Lock()
		holder := e.orders[len(e.orders)-1].holder
		e.mu.Unlock()
		for _, x := range s.nodes {
			if strings.HasPrefix(holder, x.ip) {
				go x.terminate()
			}
		}
	}
	time.Sleep(10 * time.Second)
	close(stop)
	q.wg.Wait()
	e.mu.Lock()
	orders := slices.Clone(e.orders)
	e.mu.Unlock()
	s.note("%d orders", len(orders))
	broken := ""
	for i := 1; i < len(orders); i++ {
		a, b := orders[i-1], orders[i]
		if a.holder != b.holder {
			gap := b.at.Sub(a.at)
			s.note("orders change from %s (fence %d) to %s (fence %d) within %d ms", a.holder, a.fence, b.holder, b.fence, gap.Milliseconds())
			if gap < lease {
				broken = fmt.Sprintf("ONE: orders of two holders within %d ms, lease_ms is %d", gap.Milliseconds(), lease.Milliseconds())
			}
		}
		if b.fence < a.fence {
			broken = "ONE: a lower fence number after a higher one"
		}
	}
	return broken
}
