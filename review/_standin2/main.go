// Command standin2 plays the cases of the second review: it starts processes of the system on
// loopback addresses, between stand-ins for the store, the engines and the callers.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play is one run of a case.
type play struct {
	dir     string
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
}

// note adds a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler on a free port of an address.
func serve(ip string, h http.Handler) string {
	l := listen(ip)
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// policy is a configuration with one streaming route to engines with one model.
func policy(engineSlots, maxConns int, rate float64) map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-1", "hostname": "host.example", "prefix": "/chat/", "type": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 400, "priority": 0, "service": "llm", "max_attempts": 2, "no_auth": false,
			"session_affinity": true, "resumable": true, "gap_aim_ms": 300,
		}},
		"services": []map[string]any{{
			"name": "llm", "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": engineSlots, "kv_tokens": 265689, "kv_token_bytes": 163840, "link_mbps": 1100000.0, "moves": true, "backups": true,
				"stride": 4, "max_count": 12, "host_mb": 150000.0, "disk_mb": 450000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": []map[string]any{{
					"name": "m1", "weights_mb": 65100.0, "load_s": 2.6, "adapters": 0, "adapter_mb": 12.0, "warm_s": 0.38, "disk_s": 0.49,
				}},
				"weights_mb": 200000.0, "adapter_slots": 5, "loads_per_s": 1.4,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{
			"name": "tenant-1", "api_keys": []string{"key-1"}, "priority": 0, "unit": "tokens", "plain_tokens": 200,
			"rate_per_s": rate, "burst": rate,
		}},
	}
}

func main() {
	cases := map[string]func(*play) int{"recover": playRecover, "parts": playParts, "twice": playTwice, "slow": playSlow}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(failed)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	p := &play{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	code := cases[os.Args[1]](p)
	_ = record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(code)
}
