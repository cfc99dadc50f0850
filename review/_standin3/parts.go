package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	memoryMB = 284
	// headBytes is below max_header_bytes of the configuration.
	headBytes = 16000
)

// residentMB returns the resident memory of the current process; zero if there is none.
func (nd *node) residentMB() float64 {
	nd.mu.Lock()
	cmd := nd.cmd
	nd.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}

// manyParts has a caller with a key send prompts of very many parts.
func manyParts(w *world, trouble bool) ([]string, error) {
	w.store.put("op", "config", engineConfig(1))
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		e, err := newEngine(w, fmt.Sprintf("i-%d", i+1), "pool", zone, fmt.Sprintf("%s%d", w.prefix, 100+i), "m0")
		if err != nil {
			return nil, err
		}
		w.engines = append(w.engines, e)
	}
	if err := w.startNodes(6); err != nil {
		return nil, err
	}
	if !w.awaitReady(10 * time.Second) {
		return nil, errors.New("the machines are not ready")
	}
	c := newClients(w, "h.example")
	stop := make(chan struct{})
	go c.keepSending(stop, 50*time.Millisecond, func() {
		c.send("POST", "/draft/x", "prompt", 5*time.Second, modelHeader("m0", 100))
	})
	time.Sleep(3 * time.Second)
	go c.keepSending(stop, 25*time.Millisecond, func() {
		header := modelHeader("m0", 100)
		header["Fireflypier-Token-Usage"] = "1,1"
		if trouble {
			parts := fmt.Sprintf("%x:0", rand.Uint64())
			header["Fireflypier-Prompt-Prefix"] = parts + strings.Repeat(",0:0", (headBytes-len(parts))/4)
		}
		c.send("POST", "/draft/x", "prompt", 5*time.Second, header)
	})
	over, most := map[string]int{}, 0.0
	for began, n := time.Now(), 0; time.Since(began) < 80*time.Second; n++ {
		time.Sleep(50 * time.Millisecond)
		for _, nd := range w.nodes {
			mb := nd.residentMB()
			most = max(most, mb)
			if n%40 == 0 {
				w.log("%s takes %.0f MB", nd.name, mb)
			}
			if mb > memoryMB {
				over[nd.name]++
				w.log("%s takes %.0f MB, its limit is %d MB: the platform kills it", nd.name, mb, memoryMB)
				nd.signal(syscall.SIGKILL)
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	close(stop)
	time.Sleep(time.Second)
	w.log("most memory %.0f MB; ends by machine: %v", most, over)
	thrice := 0
	for _, ends := range over {
		if ends >= 3 {
			thrice++
		}
	}
	if thrice < 2 {
		return nil, nil
	}
	return []string{fmt.Sprintf("on %d of %d machines the process was over its memory of %d MB three times or more: %v", thrice, len(w.nodes), memoryMB, over)}, nil
}
