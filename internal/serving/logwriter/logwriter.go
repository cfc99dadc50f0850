// Package logwriter writes log lines asynchronously and at a bounded rate, so
// that logging never blocks a request. Above the rate, debug and info lines are
// dropped before warnings and errors.
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
	// linesPerSecond is the rate limit of a process; a busy VM logs about 60
	// decisions a second.
	linesPerSecond = 150
	// burstLines is the maximum burst after a quiet period.
	burstLines = 600
	// reservedLines is the part of the burst that is reserved for warnings and
	// errors.
	reservedLines = 200
	// queueLines is the length of the queue, which buffers lines while the output
	// is slow.
	queueLines = 512
)

var (
	levelInfo  = []byte(`"@level":"info"`)
	levelDebug = []byte(`"@level":"debug"`)
)

// Writer is a rate-limited, non-blocking writer in front of another writer. It
// is safe for concurrent use.
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

// NewWriter returns a writer to out. Close flushes it.
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

// Write implements io.Writer; each call is one line. A line above the rate, or
// one that does not fit in the queue, is dropped and counted. It never returns
// an error.
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

// droppedLine returns a log line with the number of dropped lines.
func (w *Writer) droppedLine(now time.Time) []byte {
	var line bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &line, JSONFormat: true, TimeFn: func() time.Time { return now }})
	logger.Warn("log lines left out", "count", w.dropped)
	return line.Bytes()
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.queue {
		_, _ = w.out.Write(line) // an error of the log cannot be logged
	}
}

// Close writes the queued lines and stops the writer. Later lines are dropped
// without being counted. It blocks while the output blocks.
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
