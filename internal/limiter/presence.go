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

// presence remembers which VMs the platform has listed, and which processes
// have ended. The list lags, so a VM that was never listed may be new; one that
// was and is no more is gone. A gateway listens for its peers before it holds
// any share and until it admits nothing more, so a VM that refuses connections
// to that port tells that the process has ended.
type presence struct {
	list vmlist.List
	self netip.Addr

	mu sync.Mutex
	// listed tells for every VM ever listed whether it still is.
	listed map[netip.Addr]bool
	// ended holds the incarnations whose port refused a connection.
	ended map[string]bool
}

// maxEnded bounds the ended incarnations that are kept, about three restarts
// of every gateway of a fleet of 320; a forgotten one is noticed again at the
// next call.
const maxEnded = 1024

func newPresence(list vmlist.List, self netip.Addr) *presence {
	return &presence{list: list, self: self, listed: map[netip.Addr]bool{}, ended: map[string]bool{}}
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

// unreached takes in the error of a call to a holder and reports whether the
// error shows that its process has ended. Time-outs and broken connections show
// nothing, since a frozen or a cut-off gateway causes them as well.
func (p *presence) unreached(h *share.Holder, err error) (ended bool) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ended) >= maxEnded {
		clear(p.ended)
	}
	p.ended[h.Incarnation] = true
	return true
}

// gone reports whether the process of a holder has certainly ended, alone or
// with its VM. The own VM is there, whatever the list says.
func (p *presence) gone(h *share.Holder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended[h.Incarnation] {
		return true
	}
	if h.Address.Addr() == p.self {
		return false
	}
	listed, known := p.listed[h.Address.Addr()]
	return known && !listed
}
