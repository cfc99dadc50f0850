// Package buffermemory bounds the memory of what a process buffers for others, such as
// bodies of requests and answers.
package buffermemory

import "sync/atomic"

// Budget is an amount of memory that is shared by all users. Its methods are safe for
// concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves n bytes. It returns false, and reserves nothing, if that exceeds the
// budget.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes that were reserved.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }
