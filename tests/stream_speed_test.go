package tests

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// ticksPerSecond converts CPU times in /proc/PID/stat, which are in clock
	// ticks, to seconds.
	ticksPerSecond = 100
	// utimeField is the index of utime after the command name; stime follows it.
	utimeField = 11
)

// processorSeconds returns the user and system CPU time that a process has used.
func processorSeconds(b *testing.B, pid int) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	must(b, err)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	ticks := 0
	for _, field := range fields[utimeField : utimeField+2] {
		n, err := strconv.Atoi(field)
		must(b, err)
		ticks += n
	}
	return float64(ticks) / ticksPerSecond
}

// BenchmarkStreamedEvents streams many answers concurrently and reports the
// events per second of the gateway's CPU time: in the case fast from an engine
// without a step time, whose tokens arrive in batches, and in the case paced from
// one whose tokens arrive one by one.
func BenchmarkStreamedEvents(b *testing.B) {
	b.Run("fast", func(b *testing.B) { streamEvents(b, 0, 32, 4000) })
	b.Run("paced", func(b *testing.B) { streamEvents(b, 10*time.Millisecond, 400, 100) })
}

func streamEvents(b *testing.B, step time.Duration, streams, tokens int) {
	s := startSpeedFleet(b, step)
	body := fmt.Sprintf(`{"model":"chat","max_tokens":%d,"stream":true,"messages":[]}`, tokens)
	events := 0
	before := processorSeconds(b, s.gateway.PID())
	for b.Loop() {
		var wg conc.WaitGroup
		for range streams {
			wg.Go(func() { s.expectEvents(b, body, tokens) })
		}
		wg.Wait()
		events += streams * tokens
	}
	used := processorSeconds(b, s.gateway.PID()) - before
	b.ReportMetric(float64(events)/used, "events/core-s")
	b.ReportMetric(used/float64(events)*1e6, "core-µs/event")
}

// expectEvents reads a stream to its end and expects one event per token, one with
// the finish reason, and [DONE].
func (s *speedFleet) expectEvents(b *testing.B, body string, tokens int) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.gateway.Addr.String()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	r.Header.Set("Authorization", "Bearer "+circleKey)
	answer, err := s.client.Do(r)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if n := bytes.Count(data, []byte("data: ")); err != nil || n != tokens+2 {
		b.Errorf("the stream has %d events, error %v", n, err)
	}
}
