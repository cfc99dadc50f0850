package engine

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// errStalled is the cancellation cause of a stream that exceeded a frame timeout.
var errStalled = errors.New("frame timeout exceeded")

// stallTimer cancels a stream on which nothing arrives. It runs only while the
// reader waits for the engine, so that a slow caller does not look like a stalled
// engine.
type stallTimer struct {
	timer  clockwork.Timer
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	armed bool
	fired bool
}

// newStallTimer returns a stallTimer that is armed for d.
func newStallTimer(clock clockwork.Clock, d time.Duration, cancel context.CancelCauseFunc) *stallTimer {
	t := &stallTimer{cancel: cancel, armed: true}
	t.timer = clock.AfterFunc(d, t.expire)
	return t
}

func (t *stallTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.armed {
		t.fired = true
		t.cancel(errStalled)
	}
}

// arm starts the timer: the stream is canceled unless stop is called within d.
func (t *stallTimer) arm(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = true
	t.timer.Reset(d)
}

// stop stops the timer until it is armed again.
func (t *stallTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = false
	t.timer.Stop()
}
