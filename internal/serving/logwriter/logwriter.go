// Package logwriter writes log lines without ever blocking a request, and
// within a bounded rate: routine lines are left out first.
package logwriter

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
)

const (
	// linesPerSecond bounds the written lines of a process; a busy VM of
	// today's sites decides some 60 times a second.
	linesPerSecond = 150
	// burstLines is written at once after a quiet time.
	burstLines = 600
	// reservedLines are kept for warnings and errors.
	reservedLines = 200
	// queueLines bounds the lines that wait for a slow reader.
	queueLines = 512
)

var (
	levelInfo  = []byte(`"@level":"info"`)
	levelDebug = []byte(`"@level":"debug"`)
)

// Writer bounds the lines given to another writer. It is safe for concurrent
// use.
type Writer struct {
	out   io.Writer
	clock clockwork.Clock
	queue chan []byte
	done  chan struct{}

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	dropped    int
	closed     bool
}

// NewWriter returns a writer in front of out. Close it to write what waits.
func NewWriter(out io.Writer, clock clockwork.Clock) *Writer {
	w := &Writer{
		out:        out,
		clock:      clock,
		queue:      make(chan []byte, queueLines),
		done:       make(chan struct{}),
		tokens:     burstLines,
		refilledAt: clock.Now(),
	}
	go w.run()
	return w
}

// Write implements io.Writer; each call is one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	now := w.clock.Now()
	w.tokens = min(burstLines, w.tokens+linesPerSecond*max(0, now.Sub(w.refilledAt).Seconds()))
	w.refilledAt = now
	needed := 1.0
	if bytes.Contains(line, levelInfo) || bytes.Contains(line, levelDebug) {
		needed += reservedLines
	}
	if w.tokens < needed {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 && w.enqueue(w.droppedLine(now)) {
		w.dropped = 0
	}
	if w.enqueue(bytes.Clone(line)) {
		w.tokens--
	} else {
		w.dropped++
	}
	return len(line), nil
}

func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}

// droppedLine tells how many lines were left out.
func (w *Writer) droppedLine(now time.Time) []byte {
	var line bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &line, JSONFormat: true, TimeFn: func() time.Time { return now }})
	logger.Warn("log lines left out", "count", w.dropped)
	return line.Bytes()
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.queue {
		_, _ = w.out.Write(line) // there is nowhere left to report to
	}
}

// Close writes what waits and stops the writer; later lines are dropped.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	<-w.done
	return nil
}
