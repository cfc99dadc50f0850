// Package vmwatch follows the platform's list of VMs and tells which
// targets take no new work because their VM leaves or is gone.
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

// readInterval is the time between two reads of the list.
const readInterval = time.Second

// Watcher follows the list for a set of targets.
type Watcher struct {
	list    vmlist.List
	targets func() map[string]object.Target
	tell    func(leaving map[string]bool)
	clock   clockwork.Clock
	logger  hclog.Logger
	told    map[string]bool
	done    chan struct{}

	mu sync.Mutex
	// seen holds every VM that the list has named. It is kept from the start,
	// since this process may be given any target later.
	seen map[string]bool
}

// New returns departures of the targets that targets returns at each read.
// tell is called with the names of the targets that take no new work whenever
// they change. While the list is out, the last state stands.
func New(list vmlist.List, targets func() map[string]object.Target, tell func(map[string]bool), clock clockwork.Clock, logger hclog.Logger) *Watcher {
	return &Watcher{
		list: list, targets: targets, tell: tell, clock: clock, logger: logger,
		seen: map[string]bool{}, done: make(chan struct{}),
	}
}

// Run follows the list until ctx ends. It may be called once.
func (d *Watcher) Run(ctx context.Context) {
	defer close(d.done)
	ticker := d.clock.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		d.step(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed when Run has returned.
func (d *Watcher) Done() <-chan struct{} { return d.done }

func (d *Watcher) step(ctx context.Context) {
	vms, err := d.list.VMs(ctx)
	if err != nil {
		d.logger.Debug("VM list not read", "error", err)
		return
	}
	d.update(d.leaving(d.targets(), vms))
}

// Listed returns the number of VMs that the list has ever named.
func (d *Watcher) Listed() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.seen)
}

func (d *Watcher) update(leaving map[string]bool) {
	if maps.Equal(leaving, d.told) {
		return
	}
	d.logger.Info("leaving targets changed", "targets", slices.Sorted(maps.Keys(leaving)))
	d.told = leaving
	d.tell(leaving)
}

// leaving returns the targets on VMs that leave, and on VMs that were listed
// once and are no longer. A VM that was never listed is new: the list lags.
func (d *Watcher) leaving(targets map[string]object.Target, vms []vmlist.VM) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	states := make(map[string]vmlist.State, len(vms))
	for _, vm := range vms {
		states[vm.Name] = vm.State
		d.seen[vm.Name] = true
	}
	leaving := map[string]bool{}
	for name, t := range targets {
		state, listed := states[t.VM]
		if state == vmlist.Leaving || !listed && d.seen[t.VM] {
			leaving[name] = true
		}
	}
	return leaving
}
