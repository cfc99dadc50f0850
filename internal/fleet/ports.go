package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// The ports are below the ephemeral range, from which the kernel takes the source
// ports of outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

// ports reserves loopback ports. A reserved port has a locked file in dir: other test
// processes do not take it, also while the program that listens on it is killed and not
// yet restarted. The locks end with the process.
type ports struct {
	dir         string
	first, last int

	mu    sync.Mutex
	locks []*os.File
}

var reserved = &ports{dir: filepath.Join(os.TempDir(), "fireflypier-ports"), first: firstPort, last: lastPort}

// FreeAddr returns a loopback address on which nothing listens, and which no other
// caller on this machine gets while this process runs. It panics if locks cannot be
// created or all ports are taken.
func FreeAddr() netip.AddrPort {
	addr, err := reserved.reserve()
	if err != nil {
		panic(err)
	}
	return addr
}

// reserve reserves a random port. It tries each port at most a few times.
func (p *ports) reserve() (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "reserve port")
	}
	for range 20 * (p.last - p.first) {
		port := p.first + rand.IntN(p.last-p.first)
		lock, ok, err := p.lock(port)
		if err != nil {
			return netip.AddrPort{}, err
		}
		if !ok {
			continue
		}
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		listener, err := net.Listen("tcp", addr.String())
		if err != nil {
			_ = lock.Close() // another program listens there
			continue
		}
		_ = listener.Close()
		p.locks = append(p.locks, lock) // an unreferenced file would be closed
		return addr, nil
	}
	return netip.AddrPort{}, errors.Errorf("no free port from %d to %d", p.first, p.last-1)
}

// lock locks the file of a port; ok is false if the port is reserved.
func (p *ports) lock(port int) (file *os.File, ok bool, err error) {
	file, err = os.OpenFile(filepath.Join(p.dir, strconv.Itoa(port)), os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, false, errors.Wrap(err, "open lock of port")
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, true, nil
	}
	_ = file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, false, nil
	}
	return nil, false, errors.Wrap(err, "lock port")
}
