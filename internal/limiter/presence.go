package limiter

import (
	"context"
	"net/netip"
	"sync"

	"fireflypier.example/fireflypier/internal/share"
	"fireflypier.example/fireflypier/internal/vmlist"
)

// presence remembers which VMs the platform has listed. The list lags, so a
// VM that was never listed may be new; one that was and is no more is gone.
type presence struct {
	list vmlist.List
	self netip.Addr

	mu sync.Mutex
	// listed tells for every VM ever listed whether it still is.
	listed map[netip.Addr]bool
}

func newPresence(list vmlist.List, self netip.Addr) *presence {
	return &presence{list: list, self: self, listed: map[netip.Addr]bool{}}
}

// read reads the list; an error changes nothing.
func (p *presence) read(ctx context.Context) error {
	if p.list == nil {
		return nil
	}
	vms, err := p.list.VMs(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr := range p.listed {
		p.listed[addr] = false
	}
	for _, vm := range vms {
		p.listed[vm.Address] = true
	}
	return nil
}

// gone reports whether the VM of a holder is certainly gone. The own VM is
// there, whatever the list says.
func (p *presence) gone(h *share.Holder) bool {
	if h.Address.Addr() == p.self {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	listed, known := p.listed[h.Address.Addr()]
	return known && !listed
}
