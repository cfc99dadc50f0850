package listener

import (
	"math"

	"golang.org/x/sys/unix"

	"fireflypier.example/fireflypier/internal/processmemory"
)

const (
	// fileDescriptors is the number of descriptors that the platform reserves for files.
	fileDescriptors = 200
	// callerShare and peerShare are the parts of the other descriptors, in eighths, for
	// connections of callers and of the system's other processes. The rest is for connections
	// that the process opens: one for each request in progress, at most.
	callerShare, peerShare, shares = 5, 1, 8
)

const (
	// callerMemoryShare is the fraction of a process's memory for the heap that connections of
	// callers take with their request headers, peerMemoryShare that of connections of the system's
	// other processes. Garbage can take as much again.
	callerMemoryShare = 0.2
	peerMemoryShare   = 0.1
)

// Guards returns the guards of the connections of callers and of the system's other processes,
// for a process with a memory limit and a number of descriptors (zero: its resource limit).
// maxCallers limits the connections of callers further, unless it is zero.
func Guards(memory processmemory.Limit, maxDescriptors int64, maxCallers int, opts ...GuardOption) (callers, peers *Guard) {
	callerLimit, peerLimit := connectionLimits(maxDescriptors)
	if maxCallers > 0 {
		callerLimit = min(callerLimit, maxCallers)
	}
	return NewGuard("callers", memory.Share(callerMemoryShare), callerLimit, opts...),
		NewGuard("peers", memory.Share(peerMemoryShare), peerLimit, opts...)
}

// connectionLimits returns the number of connections of callers and of the system's other
// processes for a process that may open maxDescriptors files; zero if only its resource limit
// is known. Without a limit on connections, a process that runs out of descriptors would
// accept nobody until somebody leaves, and could reach no target.
func connectionLimits(maxDescriptors int64) (callers, peers int) {
	descriptors := int64(math.MaxInt32)
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		descriptors = int64(min(limit.Cur, math.MaxInt32))
	}
	if maxDescriptors > 0 {
		descriptors = min(descriptors, maxDescriptors)
	}
	// A limit below twice the descriptors for files is shared with them.
	sockets := max(descriptors-fileDescriptors, descriptors/2)
	return max(1, int(sockets*callerShare/shares)), max(1, int(sockets*peerShare/shares))
}
