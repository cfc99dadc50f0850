// Package ledger is the record of what an engine's memory may hold. It is
// written before each order, so that whoever plans next counts every order
// that may still take effect.
package ledger

import (
	"slices"

	"github.com/go-json-experiment/json"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/object"
	"fireflypier.example/fireflypier/internal/table"
)

// RowPrefix begins the key of every ledger row.
const RowPrefix = "ledger/"

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
)

// Entry is memory that an engine holds or may come to hold.
type Entry struct {
	// Kind, Name and Version name the weights.
	Kind    object.Kind `json:"kind"`
	Name    string      `json:"name"`
	Version string      `json:"version"`
	// MemoryBytes is the memory reserved.
	MemoryBytes int64 `json:"memory_bytes"`
	// State tells which order was recorded last.
	State State `json:"state"`
	// OrderID is the id of that order.
	OrderID string `json:"order_id"`
}

// Ledger is the record of one engine. It has no input or output of its own.
type Ledger struct {
	// Target names the engine.
	Target string `json:"target"`
	// Fencing is the number of the latest order.
	Fencing int64 `json:"fencing"`
	// BootID is the engine's life that the entries belong to.
	BootID string `json:"boot_id"`
	// MemoryBytes is the engine's memory.
	MemoryBytes int64 `json:"memory_bytes"`
	// Entries lists what the memory holds or may hold.
	Entries []Entry `json:"entries"`

	version int64
}

// RowKey returns the key of the ledger row of a target.
func RowKey(target string) string { return RowPrefix + target }

// Decode reads a ledger row; an absent row is an empty ledger.
func Decode(target string, row table.Row) (*Ledger, error) {
	l := &Ledger{Target: target, version: row.Version}
	if row.Version == 0 {
		return l, nil
	}
	if err := json.Unmarshal(row.Value, l); err != nil {
		return nil, failure.Wrap(failure.Internal, err, "decode ledger of %s", target)
	}
	return l, nil
}

// Write returns the conditional write that records l.
func (l *Ledger) Write() (table.Write, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return table.Write{}, failure.Wrap(failure.Internal, err, "encode ledger of %s", l.Target)
	}
	return table.Write{Key: RowKey(l.Target), Expect: l.version, Value: value}, nil
}

// Written records the version that a write of l was given.
func (l *Ledger) Written(version int64) { l.version = version }

// Reserved returns the bytes that count as taken.
func (l *Ledger) Reserved() int64 {
	var total int64
	for _, e := range l.Entries {
		total += e.MemoryBytes
	}
	return total
}

// Free returns the bytes that a new load may take.
func (l *Ledger) Free() int64 { return l.MemoryBytes - l.Reserved() }

// Find returns the index of the entry of the weights, or -1.
func (l *Ledger) Find(kind object.Kind, name, version string) int {
	return slices.IndexFunc(l.Entries, func(e Entry) bool {
		return e.Kind == kind && e.Name == name && e.Version == version
	})
}

// Reserve records a load order and returns it. It reports false when the
// bytes are not free or the weights are already recorded.
func (l *Ledger) Reserve(orderID string, kind object.Kind, name, version string, bytes int64) (engine.Order, bool) {
	if bytes > l.Free() || l.Find(kind, name, version) >= 0 {
		return engine.Order{}, false
	}
	l.Fencing++
	l.Entries = append(l.Entries, Entry{
		Kind: kind, Name: name, Version: version,
		MemoryBytes: bytes, State: Loading, OrderID: orderID,
	})
	return engine.Order{
		OrderID: orderID, Fencing: l.Fencing, Action: engine.Load,
		Kind: kind, Name: name, Version: version, MemoryBytes: bytes,
	}, true
}

// Observe brings l up to a report and reports whether it changed. A new boot
// id empties the ledger, since the engine's memory is empty.
func (l *Ledger) Observe(r *engine.Report, memoryBytes int64) bool {
	changed := false
	if l.BootID != r.BootID {
		l.BootID = r.BootID
		l.Entries = nil
		changed = true
	}
	if l.MemoryBytes != memoryBytes {
		l.MemoryBytes = memoryBytes
		changed = true
	}
	for _, held := range r.Entries {
		i := l.Find(held.Kind, held.Name, held.Version)
		if i >= 0 && l.Entries[i].State == Loading && held.State == engine.Loaded {
			l.Entries[i].State = Loaded
			changed = true
		}
	}
	return changed
}
