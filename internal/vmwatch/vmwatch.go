// Package vmwatch polls the platform's list of VMs and reports the targets that
// must not receive new work because their VM is leaving or no longer listed.
package vmwatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/vmlist"
)

const pollInterval = time.Second

// Watcher polls the list of VMs for a set of targets.
type Watcher struct {
	list     vmlist.List
	targets  func() map[string]object.Target
	notify   func(leaving map[string]bool)
	clock    clockwork.Clock
	logger   hclog.Logger
	notified map[string]bool
	done     chan struct{}

	mu sync.Mutex
	// seen is the names of all VMs that have ever been listed. It includes VMs
	// without a target, since this process may be assigned any target later.
	seen map[string]bool
}

// New returns a watcher of the VMs of the targets that targets returns at each
// poll. Whenever the set of targets that must not receive new work changes,
// notify is called with their names. While the list is unavailable, the last set
// remains.
func New(list vmlist.List, targets func() map[string]object.Target, notify func(map[string]bool), clock clockwork.Clock, logger hclog.Logger) *Watcher {
	return &Watcher{
		list: list, targets: targets, notify: notify, clock: clock, logger: logger,
		seen: map[string]bool{}, done: make(chan struct{}),
	}
}

// Run polls the list until ctx is done. It must be called only once.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	ticker := w.clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		w.poll(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed when Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

func (w *Watcher) poll(ctx context.Context) {
	vms, err := w.list.VMs(ctx)
	if err != nil {
		w.logger.Debug("could not read the VM list", "error", err)
		return
	}
	w.update(w.leaving(w.targets(), vms))
}

// Listed returns the number of VMs that have ever been listed.
func (w *Watcher) Listed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.seen)
}

func (w *Watcher) update(leaving map[string]bool) {
	if maps.Equal(leaving, w.notified) {
		return
	}
	w.logger.Info("set of leaving targets changed", "targets", slices.Sorted(maps.Keys(leaving)))
	w.notified = leaving
	w.notify(leaving)
}

// leaving returns the targets on VMs that are leaving, and on VMs that are no
// longer listed. A VM that was never listed counts as new, since the list lags.
func (w *Watcher) leaving(targets map[string]object.Target, vms []vmlist.VM) map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	states := make(map[string]vmlist.State, len(vms))
	for _, vm := range vms {
		states[vm.Name] = vm.State
		w.seen[vm.Name] = true
	}
	leaving := map[string]bool{}
	for name, t := range targets {
		state, listed := states[t.VM]
		if state == vmlist.Leaving || !listed && w.seen[t.VM] {
			leaving[name] = true
		}
	}
	return leaving
}
