package adoption

import "slices"

// recentLimit is the number of edits, and of member list changes, that a process
// holds for its peers.
const recentLimit = 64

// recent holds the latest items, oldest first and without a gap.
type recent[T any] struct{ items []T }

func (r *recent[T]) add(item T) {
	r.items = append(r.items, item)
	if excess := len(r.items) - recentLimit; excess > 0 {
		r.items = slices.Delete(r.items, 0, excess)
	}
}

func (r *recent[T]) clear() { r.items = nil }

// last returns the latest n items; ok is false when fewer are held. For a
// negative n it returns none, and ok is true.
func (r *recent[T]) last(n int64) (items []T, ok bool) {
	if n < 0 || n > int64(len(r.items)) {
		return nil, n < 0
	}
	return slices.Clone(r.items[int64(len(r.items))-n:]), true
}
