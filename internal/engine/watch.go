package engine

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// errStalled is the cause of a stream that was ended because no frame came.
var errStalled = errors.New("no frame within the time allowed")

// watch ends a stream on which nothing arrives. It runs only while the reader
// waits, so that a slow caller is not taken for a stalled engine.
type watch struct {
	timer  clockwork.Timer
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	armed bool
	fired bool
}

// newWatch returns a watch that is armed for d.
func newWatch(clock clockwork.Clock, d time.Duration, cancel context.CancelCauseFunc) *watch {
	w := &watch{cancel: cancel, armed: true}
	w.timer = clock.AfterFunc(d, w.expire)
	return w
}

func (w *watch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.armed {
		w.fired = true
		w.cancel(errStalled)
	}
}

// arm allows d until stop.
func (w *watch) arm(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = true
	w.timer.Reset(d)
}

// stop ends the watch until it is armed again.
func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.timer.Stop()
}
