package ledger

import "fireflypier.example/fireflypier/internal/object"

// State is the state of an entry.
type State string

// The states of an entry.
const (
	// Loading is the state of an entry whose last recorded order is a load.
	Loading State = "loading"
	// Loaded is the state of an entry that a report has shown as loaded.
	Loaded State = "loaded"
	// Unloading is the state of an entry whose last recorded order is an unload.
	// Its bytes stay reserved.
	Unloading State = "unloading"
	// Lost is the state of an entry whose weights are no longer in memory, although
	// a copy of its load order may still arrive. Its bytes stay reserved, and it
	// may be loaded again.
	Lost State = "lost"
)

// Delivery is the delivery state of the copies of an order.
type Delivery string

// The delivery states of an order.
const (
	// Pending means that at most one copy may still arrive, and that it was not
	// answered yet.
	Pending Delivery = "pending"
	// Answered means that every copy was answered, so that none can arrive.
	Answered Delivery = "answered"
	// Uncertain means that a copy may still arrive at any later time.
	Uncertain Delivery = "uncertain"
)

// resent returns the delivery state after another copy is sent.
func (d Delivery) resent() Delivery {
	if d == Answered {
		return Pending
	}
	return Uncertain
}

// Weights identifies a version of a model or an adapter.
type Weights struct {
	// Kind is KindModel or KindAdapter.
	Kind    object.Kind `json:"kind"`
	Name    string      `json:"name"`
	Version string      `json:"version"`
}

// String returns "kind/name@version".
func (w Weights) String() string { return string(w.Kind) + "/" + w.Name + "@" + w.Version }

// Entry is the memory that an engine uses, or may use later, for one set of
// weights.
type Entry struct {
	Weights
	// MemoryBytes is the reserved memory. It is zero when the memory is free
	// again but a copy of an unload order may still arrive; the weights must then
	// not be loaded again until the engine restarts.
	MemoryBytes int64 `json:"memory_bytes"`
	// State follows from the last recorded order and the reports since then.
	State State `json:"state"`
	// OrderID is the id of the last recorded order.
	OrderID string `json:"order_id"`
	// Fencing is the fencing token of the latest copy of the load order.
	Fencing int64 `json:"fencing"`
	// LoadDelivery and UnloadDelivery are the delivery states of the two orders.
	LoadDelivery   Delivery `json:"load_delivery"`
	UnloadDelivery Delivery `json:"unload_delivery,omitzero"`
}

// Pinned reports whether the bytes of e stay reserved until the engine restarts,
// because the engine ignores fencing tokens and a copy of the load order may
// still arrive.
func (l *Ledger) Pinned(e *Entry) bool {
	return !l.ChecksFencing && e.LoadDelivery != Answered
}
