// Package ledger is the record of what an engine's memory may hold. It is
// written before each order, so that whoever plans next counts every order
// that may still take effect. Bytes are free again only once a report proves
// that the weights are gone and that no copy of a load order can still arrive.
package ledger

import (
	"net/netip"
	"slices"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/table"
)

// RowPrefix begins the key of every ledger row.
const RowPrefix = "ledger/"

// Ledger is the record of one engine. It has no input or output of its own
// and belongs to one goroutine.
type Ledger struct {
	// Address is where the engine listens. Rows are kept by address, since a
	// target may be removed and added again under another name.
	Address netip.AddrPort `json:"address"`
	// Fencing is the number of the latest batch of orders.
	Fencing int64 `json:"fencing"`
	// BootID is the engine's life that the entries belong to.
	BootID string `json:"boot_id"`
	// Sequence is the highest sequence seen in a report of this life.
	Sequence int64 `json:"sequence,omitzero"`
	// MemoryBytes is the memory that may be used: the lower of what the
	// target names and what the engine reports.
	MemoryBytes int64 `json:"memory_bytes"`
	// ChecksFencing tells whether the engine refuses old numbers.
	ChecksFencing bool `json:"checks_fencing,omitzero"`
	// Entries lists what the memory holds or may hold.
	Entries []Entry `json:"entries"`

	version int64
	opened  bool
	due     []engine.Order
}

// RowKey returns the key of the ledger row of the engine at addr.
func RowKey(addr netip.AddrPort) string { return RowPrefix + addr.String() }

// Decode reads the ledger row of the engine at addr; an absent row is an
// empty ledger.
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

// Write returns the conditional write that records l.
func (l *Ledger) Write() (table.Write, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return table.Write{}, failure.Wrap(failure.Internal, err, "encode ledger of %s", l.Address)
	}
	return table.Write{Key: RowKey(l.Address), Expect: l.version, Value: value}, nil
}

// Written records the version that a write of l was given and returns the
// orders of the batch, which may now be sent.
func (l *Ledger) Written(version int64) []engine.Order {
	l.version = version
	orders := l.due
	l.due = nil
	l.opened = false
	return orders
}

// Version returns the version of the row; zero before the first write.
func (l *Ledger) Version() int64 { return l.version }

// Reserved returns the bytes that count as taken.
func (l *Ledger) Reserved() int64 {
	var total int64
	for i := range l.Entries {
		total += l.Entries[i].MemoryBytes
	}
	return total
}

// Free returns the bytes that a new load may take. It is negative when the
// memory was lowered below what is taken.
func (l *Ledger) Free() int64 { return l.MemoryBytes - l.Reserved() }

// Find returns the entry of the weights, or nil. The entry must not be kept
// over a call that changes l.
func (l *Ledger) Find(w Weights) *Entry {
	i := slices.IndexFunc(l.Entries, func(e Entry) bool { return e.Weights == w })
	if i < 0 {
		return nil
	}
	return &l.Entries[i]
}

// next returns the fencing number of the batch under way.
func (l *Ledger) next() int64 {
	if !l.opened {
		l.opened = true
		l.Fencing++
	}
	return l.Fencing
}

// Load records a load order in the batch. It reports false when the bytes are
// not free, or the weights are recorded and not lost.
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
		e.LoadDelivery = e.LoadDelivery.again()
	default:
		return false
	}
	e.State = Loading
	e.OrderID = orderID
	e.Fencing = l.next()
	l.order(engine.Load, e)
	return true
}

// Unload records an unload order in the batch. It reports false when the
// weights are not recorded or are being unloaded, and when the unload could
// not free their bytes; see Entry.Pinned.
func (l *Ledger) Unload(orderID string, w Weights) bool {
	e := l.Find(w)
	if e == nil || e.State == Unloading || l.Pinned(e) {
		return false
	}
	e.State = Unloading
	e.OrderID = orderID
	e.UnloadDelivery = Pending
	l.next()
	l.order(engine.Unload, e)
	return true
}

// Resend records another copy of the entry's last order in the batch, with
// the batch's number. It reports false when nothing is under way.
func (l *Ledger) Resend(w Weights) bool {
	e := l.Find(w)
	if e == nil {
		return false
	}
	switch e.State {
	case Loading, Lost:
		e.State = Loading
		e.LoadDelivery = e.LoadDelivery.again()
		e.Fencing = l.next()
		l.order(engine.Load, e)
	case Unloading:
		if e.MemoryBytes == 0 {
			return false
		}
		e.UnloadDelivery = e.UnloadDelivery.again()
		l.next()
		l.order(engine.Unload, e)
	case Loaded:
		return false
	}
	return true
}

// order adds an order to the batch. It takes the place of an earlier one for
// the same weights, since orders of one number may arrive in any order.
func (l *Ledger) order(action engine.Action, e *Entry) {
	l.due = slices.DeleteFunc(l.due, func(o engine.Order) bool {
		return o.Kind == e.Kind && o.Name == e.Name && o.Version == e.Version
	})
	o := engine.Order{
		OrderID: e.OrderID, Fencing: l.Fencing, Action: action,
		Kind: e.Kind, Name: e.Name, Version: e.Version,
	}
	if action == engine.Load {
		o.MemoryBytes = e.MemoryBytes
	}
	l.due = append(l.due, o)
}

// Answered records that the only copy of an order was answered and reports
// whether that changed l. Call it only for an order that this process has
// recorded itself and sent once.
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

// HasOrders reports whether the batch holds orders.
func (l *Ledger) HasOrders() bool { return len(l.due) > 0 }
