package limiter

import (
	"context"
	"net/netip"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"fireflypier.example/fireflypier/internal/share"
	"fireflypier.example/fireflypier/internal/vmlist"
)

// terminationTracker records which VMs the platform has listed and which
// processes have ended. The list lags, so a VM that was never listed may be new,
// but a VM that was listed before and is no longer listed has been removed. A
// gateway listens for its peers before it holds any share and until it no longer
// admits requests, so a refused connection to that port shows that its process
// has ended.
type terminationTracker struct {
	list vmlist.List
	self netip.Addr

	mu sync.Mutex
	// listed contains every VM that was ever listed, with true if it still is.
	listed map[netip.Addr]bool
	// terminated contains the incarnations whose port refused a connection.
	terminated map[string]bool
}

// maxTerminated bounds the recorded incarnations. It suffices for about three
// restarts of every gateway in a fleet of 320; an incarnation that was dropped
// is recorded again at the next call to it.
const maxTerminated = 1024

func newTerminationTracker(list vmlist.List, self netip.Addr) *terminationTracker {
	return &terminationTracker{list: list, self: self, listed: map[netip.Addr]bool{}, terminated: map[string]bool{}}
}

// read reads the VM list. On an error the previous list stays in use.
func (t *terminationTracker) read(ctx context.Context) error {
	if t.list == nil {
		return nil
	}
	vms, err := t.list.VMs(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr := range t.listed {
		t.listed[addr] = false
	}
	for _, vm := range vms {
		t.listed[vm.Address] = true
	}
	return nil
}

// recordCallError records the error of a call to a holder and reports whether
// the error shows that the holder's process has ended. Time-outs and broken
// connections do not show this, since a frozen or partitioned gateway causes
// them as well.
func (t *terminationTracker) recordCallError(h *share.Holder, err error) (terminated bool) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.terminated) >= maxTerminated {
		clear(t.terminated)
	}
	t.terminated[h.Incarnation] = true
	return true
}

// hasTerminated reports whether the process of a holder has certainly ended,
// alone or with its VM. The own VM counts as running whatever the list says.
func (t *terminationTracker) hasTerminated(h *share.Holder) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.terminated[h.Incarnation] {
		return true
	}
	if h.Address.Addr() == t.self {
		return false
	}
	listed, known := t.listed[h.Address.Addr()]
	return known && !listed
}
