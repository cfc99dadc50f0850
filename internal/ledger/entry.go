package ledger

import "fireflypier.example/fireflypier/internal/object"

// State is the state of an entry.
type State string

// The states of an entry.
const (
	// Loading entries have a load order recorded.
	Loading State = "loading"
	// Loaded entries were seen in a report.
	Loaded State = "loaded"
	// Unloading entries have an unload order recorded; their bytes count.
	Unloading State = "unloading"
	// Lost entries are gone from the engine, but a copy of their load order
	// may still arrive; their bytes count, and they may be loaded again.
	Lost State = "lost"
)

// Delivery tells what is known of the copies of an order.
type Delivery string

// The deliveries of an order.
const (
	// Pending orders have at most one copy, which was not answered yet.
	Pending Delivery = "pending"
	// Answered orders had one copy, and it was answered.
	Answered Delivery = "answered"
	// Uncertain orders may have a copy that arrives at any later time.
	Uncertain Delivery = "uncertain"
)

// again returns the delivery after one more copy.
func (d Delivery) again() Delivery {
	if d == Answered {
		return Pending
	}
	return Uncertain
}

// Weights name a model or an adapter in one version.
type Weights struct {
	// Kind is KindModel or KindAdapter; Name and Version name the weights.
	Kind    object.Kind `json:"kind"`
	Name    string      `json:"name"`
	Version string      `json:"version"`
}

// String returns "kind/name@version".
func (w Weights) String() string { return string(w.Kind) + "/" + w.Name + "@" + w.Version }

// Entry is memory that an engine holds or may come to hold.
type Entry struct {
	Weights
	// MemoryBytes is the memory reserved. It is zero where the bytes are
	// free but a copy of an unload order may still arrive, so that the
	// weights must not be loaded again in this life of the engine.
	MemoryBytes int64 `json:"memory_bytes"`
	// State tells which order was recorded last.
	State State `json:"state"`
	// OrderID is the id of that order.
	OrderID string `json:"order_id"`
	// Fencing is the number of the latest copy of the load order.
	Fencing int64 `json:"fencing"`
	// LoadDelivery and UnloadDelivery tell what is known of the copies.
	LoadDelivery   Delivery `json:"load_delivery"`
	UnloadDelivery Delivery `json:"unload_delivery,omitzero"`
}

// Pinned reports whether the bytes of e stay taken until the engine restarts:
// the engine ignores fencing numbers and a copy of the load order may still
// arrive.
func (l *Ledger) Pinned(e *Entry) bool {
	return !l.ChecksFencing && e.LoadDelivery != Answered
}
