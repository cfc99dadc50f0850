package tests

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
)

const (
	busyStreams = 32
	busyTokens  = 4000
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

// BenchmarkStreamedEvents streams many answers at once from an engine without
// steps, and reports the events for each second of a gateway's processor.
func BenchmarkStreamedEvents(b *testing.B) {
	s := startSpeedFleet(b, 0)
	body := fmt.Sprintf(`{"model":"chat","max_tokens":%d,"stream":true,"messages":[]}`, busyTokens)
	events := 0
	before := processorSeconds(b, s.gateway.PID())
	for b.Loop() {
		var wg conc.WaitGroup
		for range busyStreams {
			wg.Go(func() {
				stream := s.open(b, body)
				_, err := io.Copy(io.Discard, stream.(io.Reader))
				must(b, err)
				_ = stream.Close()
			})
		}
		wg.Wait()
		events += busyStreams * busyTokens
	}
	used := processorSeconds(b, s.gateway.PID()) - before
	b.ReportMetric(float64(events)/used, "events/core-s")
	b.ReportMetric(used/float64(events)*1e6, "core-µs/event")
}
