package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// purchase returns an unsafe request.
func purchase(number int) *call {
	return &call{method: "POST", target: fmt.Sprintf("/puxa403/%d", number), key: key, deadline: 1500 * time.Millisecond, body: []byte(strings.Repeat("b", 600))}
}

// refused shows that requesters are told that an unsafe request has not run although it
// has, so that they send it once more.
func refused(s *site, trouble bool) string {
	const (
		share = 0.45 // of the requests at the failing engine
		time0 = 5 * time.Second
		time1 = 6500 * time.Millisecond
	)
	s.store.put("op", "config", plainConfig(7, "/puxa403/"))
	for range 8 {
		s.startEngine(&engine{service: "app", slots: 6, work: 30 * time.Millisecond})
	}
	s.startNodes(3)
	q := &requesters{site: s}
	var mu sync.Mutex
	attempts := map[int][]*call{}
	buy := func(number int) {
		c := purchase(number)
		mu.Lock()
		attempts[number] = append(attempts[number], c)
		mu.Unlock()
		again := make(chan struct{})
		q.sendThen(c, "", func() { close(again) })
		go func() {
			<-again
			// Requesters repeat an unsafe request only after a promise, and once.
			promise := c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
			mu.Lock()
			defer mu.Unlock()
			if promise && len(attempts[number]) == 1 {
				attempts[number] = append(attempts[number], q.send(purchase(number), ""))
			}
		}()
	}
	set := func(failing float64) {
		e := s.engines[0]
		e.mu.Lock()
		e.failing = failing
		e.mu.Unlock()
		s.note("engine %s fails %.2f of its requests", e.id, failing)
	}
	if trouble {
		time.AfterFunc(time0, func() { set(share) })
		time.AfterFunc(time0+time1, func() { set(0) })
	}
	for number := range 750 {
		buy(number)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	q.wg.Wait()
	ran := map[string]int{}
	for _, r := range s.allRuns() {
		ran[r.id]++
	}
	wrong, twice, example := 0, 0, ""
	for number, list := range attempts {
		runs := 0
		for _, c := range list {
			runs += ran[c.id]
			if (c.status == 503 || c.status == 429 || c.status == 408 || c.status == 421) && ran[c.id] > 0 {
				wrong++
				example = fmt.Sprintf("request %s has run and was answered %d", c.id, c.status)
			}
		}
		if runs > 1 {
			twice++
			s.note("purchase %d ran %d times", number, runs)
		}
	}
	s.note("%d requests have run and were answered with a promise; %d purchases ran twice", wrong, twice)
	if wrong > 0 {
		return fmt.Sprintf("REFUSED: %d unsafe requests were answered 503 and have run, %d purchases ran twice; %s", wrong, twice, example)
	}
	return ""
}
