// Package processmemory divides the memory limit of a process among those who use it.
package processmemory

// programBytes is what the resident pages of the program file take. The runtime does not count
// them in its soft limit.
const programBytes = 18 << 20

// minHeapShare is the least fraction of a limit that is left for the heap, of limits hardly above
// programBytes.
const minHeapShare = 0.25

// Limit is the memory limit of a process in bytes. It is zero if there is none.
type Limit int64

// Heap returns what the process can use beside the program itself, zero if there is no limit.
func (l Limit) Heap() int64 {
	return max(int64(l)-programBytes, int64(minHeapShare*float64(l)))
}

// Share returns a fraction of Heap.
func (l Limit) Share(fraction float64) int64 { return int64(fraction * float64(l.Heap())) }
