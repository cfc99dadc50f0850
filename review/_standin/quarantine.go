package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

const (
	stability = 3 * time.Second // stability_ms
	key       = "i9n73hh2b9wu3fexd9dn"
	crashPart = "bad0c0de" // the part of prompts on which engines crash
)

// llmConfig returns a config with one pool of engines and one streaming route whose
// requests run at most once.
func llmConfig(version int, models []string, adapters int) []byte {
	list := []map[string]any{}
	for _, m := range models {
		list = append(list, map[string]any{"name": m, "weights_mb": 65100, "load_s": 1.2, "adapters": adapters, "adapter_mb": 12, "warm_s": 0.38, "disk_s": 0.49})
	}
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-draft", "hostname": "h.example", "prefix": "/draft/", "type": "streaming", "timeout_ms": 6000, "target_latency_ms": 1500, "priority": 1,
			"service": "llm", "max_attempts": 1, "no_auth": false, "session_affinity": true, "resumable": false, "gap_aim_ms": 300,
		}},
		"services": []map[string]any{{
			"name": "llm", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_tokens": 270933, "models": list, "weights_mb": 220000, "adapter_slots": 8, "loads_per_s": 1.1},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 500000, "burst": 500000}},
	})
	check(err)
	return text
}

// draft returns a request for a stream with a prompt of three parts: a shared first one,
// a second one, and one of its own.
func draft(model, first, second string, n int) *call {
	return &call{
		method: "POST", target: fmt.Sprintf("/draft/%x", n), key: key, model: model, usage: "1460,50",
		prefix: fmt.Sprintf("%s:800,%s:410,%08x:250", first, second, 0x10000+n), deadline: 6 * time.Second, body: []byte(strings.Repeat("p", 2000)),
	}
}

// crashPartOf returns the part on which the engines crash, or none without trouble.
func crashPartOf(trouble bool) string {
	if trouble {
		return crashPart
	}
	return ""
}

// firstPart shows that sound requests are refused because they share the first part of
// their prompts with requests on which engines crash.
func firstPart(s *site, trouble bool) string {
	const (
		first   = "5c1e07a2"
		batch   = 8
		period  = 5 * time.Second
		batches = 3 // before the crashes, and as many after them
	)
	s.store.put("op", "config", llmConfig(7, []string{"m0"}, 0))
	for range 6 {
		s.startEngine(&engine{service: "llm", models: []string{"m0"}, slots: 64, events: 10, gap: 20 * time.Millisecond, crashOn: crashPartOf(trouble), back: 2 * time.Second})
	}
	s.startNodes(3)
	q := &requesters{site: s}
	n := 0
	sound := func() (sent []*call) {
		for range batch {
			n++
			sent = append(sent, q.send(draft("m0", first, "91bd3f06", n), ""))
		}
		return sent
	}
	var before, after []*call
	for range batches {
		before = append(before, sound()...)
		time.Sleep(period)
	}
	// The requests with the bad part come all the time from now on, one after another.
	stop := make(chan struct{})
	go func() {
		time.Sleep(2 * time.Second)
		for i := 0; ; i++ {
			q.send(draft("m0", first, crashPart, 0x80000+i), "")
			select {
			case <-time.After(400 * time.Millisecond):
			case <-stop:
				return
			}
		}
	}()
	batchesAfter := []*call{}
	for range batches + 4 {
		batchesAfter = append(batchesAfter, sound()...)
		time.Sleep(period)
	}
	close(stop)
	q.wg.Wait()
	crashes := s.allCrashes()
	s.note("%d crashes", len(crashes))
	from := s.started
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(2 * stability)
	}
	for _, c := range batchesAfter {
		if c.sent.After(from) {
			after = append(after, c)
		}
	}
	share := func(calls []*call) (n int, share float64) {
		for _, c := range calls {
			if c.begun() {
				n++
			}
		}
		return n, float64(n) / float64(max(1, len(calls)))
	}
	n1, share1 := share(before)
	n2, share2 := share(after)
	s.note("sound requests that begin at the first attempt: %d of %d before the crashes, %d of %d from two stability_ms after the last one of the first five", n1, len(before), n2, len(after))
	if len(before) < 20 || len(after) < 20 {
		fail("only %d and %d requests to compare", len(before), len(after))
	}
	if share2 < share1/2 {
		return fmt.Sprintf("LOST: %d of %d sound requests begin, %d of %d before", n2, len(after), n1, len(before))
	}
	return ""
}

// batches shows that requests with a part on which engines crash go on reaching engines if
// several of them come at a time.
func batches(s *site, trouble bool) string {
	models := []string{"m0", "m1", "m2", "m3", "m4", "m5"}
	s.store.put("op", "config", llmConfig(7, models, 0))
	for _, m := range models {
		s.startEngine(&engine{service: "llm", models: []string{m}, slots: 64, events: 40, gap: 40 * time.Millisecond, crashOn: crashPartOf(trouble), back: 2 * time.Second})
	}
	s.startNodes(3)
	q := &requesters{site: s}
	stop := make(chan struct{})
	go func() { // sound requests, for each model in turn
		for i := 0; ; i++ {
			q.send(draft(models[i%len(models)], "5c1e07a2", "91bd3f06", i), "")
			select {
			case <-time.After(150 * time.Millisecond):
			case <-stop:
				return
			}
		}
	}()
	time.Sleep(3 * time.Second)
	n := 0x80000
	for range 6 { // one prompt is given to all models at a time, every few seconds
		for _, m := range models {
			n++
			q.send(draft(m, "77aa0011", crashPart, n), "")
		}
		time.Sleep(5 * time.Second)
	}
	close(stop)
	q.wg.Wait()
	crashes := s.allCrashes()
	broken := 0
	for _, c := range q.calls {
		if c.begun() && !c.complete {
			broken++
		}
	}
	s.note("%d crashes; %d sound streams broken off", len(crashes), broken)
	if len(crashes) < 5 {
		return ""
	}
	from := crashes[4].Add(stability)
	late := 0
	for _, r := range s.allRuns() {
		if crashesOn(r.prefix) && r.at.After(from) {
			late++
		}
	}
	s.note("%d requests with the part reach engines later than stability_ms after the fifth crash", late)
	if late > 3 {
		return fmt.Sprintf("BUDGET: %d requests with the part that crashes engines reach engines later than stability_ms after the fifth crash; %d sound streams broken off", late, broken)
	}
	return ""
}

func crashesOn(prefix string) bool { return crashes(prefix, crashPart) }
