// Package ledger records what the memory of an engine may contain. The record is
// written before each order is sent, so that a later planner takes every order
// into account that may still take effect. Bytes become free only when a report
// proves that the weights are no longer in memory and that no copy of a load
// order can still arrive.
package ledger

import (
	"net/netip"
	"slices"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/table"
)

// RowPrefix is the prefix of the key of every ledger row.
const RowPrefix = "ledger/"

// Ledger is the record of one engine. It performs no I/O and is not safe for
// concurrent use.
type Ledger struct {
	// Address is the address on which the engine listens. It identifies the row,
	// since a target may be removed and added again under another name.
	Address netip.AddrPort `json:"address"`
	// Fencing is the fencing token of the latest batch of orders.
	Fencing int64 `json:"fencing"`
	// BootID is the boot id of the engine process that the entries refer to.
	BootID string `json:"boot_id"`
	// Sequence is the highest report sequence observed for this boot id.
	Sequence int64 `json:"sequence,omitzero"`
	// MemoryBytes is the usable memory: the minimum of the configured and the
	// reported memory.
	MemoryBytes int64 `json:"memory_bytes"`
	// ChecksFencing is true if the engine rejects orders with old fencing tokens.
	ChecksFencing bool `json:"checks_fencing,omitzero"`
	// Entries lists the weights that the memory contains or may contain.
	Entries []Entry `json:"entries"`

	version int64
	// hasFencing is true once the current batch has a fencing token.
	hasFencing bool
	batch      []engine.Order
}

// RowKey returns the key of the ledger row of the engine at addr.
func RowKey(addr netip.AddrPort) string { return RowPrefix + addr.String() }

// Decode decodes the ledger row of the engine at addr. An absent row, which has
// version zero, gives an empty ledger.
func Decode(addr netip.AddrPort, row table.Row) (*Ledger, error) {
	l := &Ledger{Address: addr, version: row.Version}
	if row.Version == 0 {
		return l, nil
	}
	if err := json.Unmarshal(row.Value, l); err != nil {
		return nil, failure.Wrap(failure.Internal, err, "decode ledger of %s", addr)
	}
	return l, nil
}

// Write returns the conditional write that stores l.
func (l *Ledger) Write() (table.Write, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return table.Write{}, failure.Wrap(failure.Internal, err, "encode ledger of %s", l.Address)
	}
	return table.Write{Key: RowKey(l.Address), Expect: l.version, Value: value}, nil
}

// Written sets the version that the table has assigned to the write of l. It ends
// the batch and returns its orders, which may now be sent.
func (l *Ledger) Written(version int64) []engine.Order {
	l.version = version
	orders := l.batch
	l.batch = nil
	l.hasFencing = false
	return orders
}

// Version returns the version of the row, or zero before the first write.
func (l *Ledger) Version() int64 { return l.version }

// Reserved returns the sum of the reserved bytes.
func (l *Ledger) Reserved() int64 {
	var total int64
	for i := range l.Entries {
		total += l.Entries[i].MemoryBytes
	}
	return total
}

// Free returns the bytes that are available to new loads. It is negative when the
// usable memory was reduced below the reserved bytes.
func (l *Ledger) Free() int64 { return l.MemoryBytes - l.Reserved() }

// Find returns the entry of w, or nil. The pointer is invalid after the next call
// that changes l.
func (l *Ledger) Find(w Weights) *Entry {
	i := slices.IndexFunc(l.Entries, func(e Entry) bool { return e.Weights == w })
	if i < 0 {
		return nil
	}
	return &l.Entries[i]
}

// batchFencing returns the fencing token of the current batch. The first call
// for a batch assigns a new number.
func (l *Ledger) batchFencing() int64 {
	if !l.hasFencing {
		l.hasFencing = true
		l.Fencing++
	}
	return l.Fencing
}

// Load adds a load order to the batch. It returns false if the bytes are not
// free, or if w has an entry whose state is not Lost.
func (l *Ledger) Load(orderID string, w Weights, bytes int64) bool {
	e := l.Find(w)
	switch {
	case e == nil && bytes <= l.Free():
		l.Entries = append(l.Entries, Entry{Weights: w})
		e = &l.Entries[len(l.Entries)-1]
		e.MemoryBytes = bytes
		e.LoadDelivery = Pending
	case e != nil && e.State == Lost && bytes-e.MemoryBytes <= l.Free():
		e.MemoryBytes = max(e.MemoryBytes, bytes)
		e.LoadDelivery = e.LoadDelivery.resent()
	default:
		return false
	}
	e.State = Loading
	e.OrderID = orderID
	e.Fencing = l.batchFencing()
	l.addOrder(engine.Load, e)
	return true
}

// Unload adds an unload order to the batch. It returns false if w has no entry or
// is being unloaded, and if the unload could not free the bytes; see Pinned.
func (l *Ledger) Unload(orderID string, w Weights) bool {
	e := l.Find(w)
	if e == nil || e.State == Unloading || l.Pinned(e) {
		return false
	}
	e.State = Unloading
	e.OrderID = orderID
	e.UnloadDelivery = Pending
	l.batchFencing()
	l.addOrder(engine.Unload, e)
	return true
}

// Resend adds another copy of the last order for w to the batch, with the fencing
// number of the batch. It returns false if no order for w is in progress.
func (l *Ledger) Resend(w Weights) bool {
	e := l.Find(w)
	if e == nil {
		return false
	}
	switch e.State {
	case Loading, Lost:
		e.State = Loading
		e.LoadDelivery = e.LoadDelivery.resent()
		e.Fencing = l.batchFencing()
		l.addOrder(engine.Load, e)
	case Unloading:
		if e.MemoryBytes == 0 {
			return false
		}
		e.UnloadDelivery = e.UnloadDelivery.resent()
		l.batchFencing()
		l.addOrder(engine.Unload, e)
	case Loaded:
		return false
	}
	return true
}

// addOrder adds an order to the batch. It replaces an earlier order for the same
// weights, since orders with the same fencing token may arrive in any order.
func (l *Ledger) addOrder(action engine.Action, e *Entry) {
	l.batch = slices.DeleteFunc(l.batch, func(o engine.Order) bool {
		return o.Kind == e.Kind && o.Name == e.Name && o.Version == e.Version
	})
	o := engine.Order{
		OrderID: e.OrderID, Fencing: l.Fencing, Action: action,
		Kind: e.Kind, Name: e.Name, Version: e.Version,
	}
	if action == engine.Load {
		o.MemoryBytes = e.MemoryBytes
	}
	l.batch = append(l.batch, o)
}

// Answered records that the only copy of an order was answered, and reports
// whether that changed l. It must be called only for an order that this process
// has recorded and sent exactly once.
func (l *Ledger) Answered(orderID string) bool {
	for i := range l.Entries {
		e := &l.Entries[i]
		switch {
		case e.OrderID != orderID:
		case e.State == Unloading && e.UnloadDelivery == Pending:
			e.UnloadDelivery = Answered
			return true
		case e.State != Unloading && e.LoadDelivery == Pending:
			e.LoadDelivery = Answered
			return true
		}
	}
	return false
}

// HasOrders reports whether the batch contains orders.
func (l *Ledger) HasOrders() bool { return len(l.batch) > 0 }
