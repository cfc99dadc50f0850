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
	// ticksPerSecond is the unit of the processor time in /proc.
	ticksPerSecond = 100
	utimeField     = 11
)

// processorSeconds returns the processor time that a process has used.
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

// BenchmarkStreamedEvents streams many answers at once and reports the events
// for each second of a gateway's processor: from an engine without steps, whose
// tokens come many at a time, and from one whose tokens come one by one.
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

// expectEvents reads a whole stream, which has two events besides its tokens.
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
		b.Errorf("%d events, error %v", n, err)
	}
}
