package logwriter_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fireflypier.example/fireflypier/internal/serving/logwriter"
)

func TestLogWriter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "log writer")
}

// blockingWriter is an output that blocks until release is closed.
type blockingWriter struct {
	release chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *blockingWriter) lines(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Count(b.out.Bytes(), []byte(text))
}

var _ = Describe("a log writer", func() {
	var (
		clock  *clockwork.FakeClock
		out    *blockingWriter
		w      *logwriter.Writer
		logger hclog.Logger
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		out = &blockingWriter{release: make(chan struct{})}
		w = logwriter.NewWriter(out, clock)
		logger = hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true, Level: hclog.Info})
	})

	It("never blocks on an output that blocks", func(_ SpecContext) {
		for range 5000 {
			logger.Info("routine")
		}
		close(out.release)
		Expect(w.Close()).To(Succeed())
		Expect(out.lines("routine")).To(BeNumerically("<", 1000))
	}, SpecTimeout(5*time.Second))

	It("drops info lines before warnings, and logs the number of dropped lines", func() {
		close(out.release)
		for i := range 2000 {
			logger.Info("routine")
			if i%20 == 0 {
				logger.Warn("trouble")
			}
			time.Sleep(20 * time.Microsecond)
		}
		clock.Advance(10 * time.Second)
		logger.Warn("end")
		Expect(w.Close()).To(Succeed())
		Expect(out.lines(`"trouble"`)).To(Equal(100))
		Expect(out.lines(`"routine"`)).To(BeNumerically("<", 600))
		Expect(out.lines(`"log lines left out"`)).To(BeNumerically(">=", 1))
	})

	It("drops lines after Close", func() {
		close(out.release)
		Expect(w.Close()).To(Succeed())
		logger.Info("late")
		Expect(out.lines("late")).To(BeZero())
	})
})
