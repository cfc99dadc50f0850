package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// plainConfig returns a config with one plain service and an unsafe route for each prefix.
func plainConfig(version int, prefixes ...string) []byte {
	routes := []map[string]any{}
	for i, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "hostname": "h.example", "prefix": p, "type": "unsafe", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2,
			"service": "app", "max_attempts": 1, "no_auth": false,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "app", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 500000, "burst": 500000}},
	})
	check(err)
	return text
}

// path shows that the path of some requests is changed on its way to the engine.
func path(s *site, trouble bool) string {
	s.store.put("op", "config", plainConfig(7, "/puxa403/"))
	for range 3 {
		s.startEngine(&engine{service: "app", slots: 6, work: 30 * time.Millisecond})
	}
	s.startNodes(3)
	q := &requesters{site: s}
	buy := func() {
		for _, target := range []string{"/puxa403/2f", "//puxa403/2f", "//orders/puxa403/2f"} {
			q.send(&call{method: "POST", target: target, key: key, deadline: 1500 * time.Millisecond, body: []byte(strings.Repeat("b", 600))}, "")
		}
	}
	for i := range 30 {
		if i == 10 && trouble {
			s.note("the operator adds a route with the prefix /")
			s.store.put("op", "config", plainConfig(11, "/puxa403/", "/"))
		}
		buy()
		time.Sleep(300 * time.Millisecond)
	}
	q.wg.Wait()
	sent := map[string]string{}
	for _, c := range q.calls {
		sent[c.id] = c.target
	}
	changed, example := 0, ""
	for _, r := range s.allRuns() {
		if sent[r.id] != r.path {
			changed++
			example = fmt.Sprintf("request %s was sent with the path %s and ran with %s (the request line had %s)", r.id, sent[r.id], r.path, r.line)
		}
	}
	if changed > 0 {
		return fmt.Sprintf("UNASKED: %d requests ran with another path; %s", changed, example)
	}
	return ""
}
