package modelengine

import (
	"context"
	"maps"
	"slices"

	"fireflypier.example/fireflypier/internal/engine"
	"fireflypier.example/fireflypier/internal/object"
)

// WeightStore provides the weights of models and adapters.
type WeightStore interface {
	// Load blocks until the weights, of the given size in bytes, are loaded.
	Load(ctx context.Context, kind object.Kind, name string, bytes int64) error
}

// memory is the accelerator memory; the mutex of the engine guards it.
type memory struct {
	limit      int64
	entries    map[entryKey]engine.Entry
	violations int
}

type entryKey struct {
	kind    object.Kind
	name    string
	version string
}

func keyOf(o *engine.Order) entryKey {
	return entryKey{kind: o.Kind, name: o.Name, version: o.Version}
}

func (m *memory) used() int64 {
	var total int64
	for _, e := range m.entries {
		total += e.MemoryBytes
	}
	return total
}

// add reserves the memory for a load order. It returns false if the weights already
// have an entry. Exceeding the limit counts as a violation.
func (m *memory) add(o *engine.Order) bool {
	key := keyOf(o)
	if _, ok := m.entries[key]; ok {
		return false
	}
	m.entries[key] = engine.Entry{
		Kind: o.Kind, Name: o.Name, Version: o.Version,
		MemoryBytes: o.MemoryBytes, State: engine.Loading, OrderID: o.OrderID,
	}
	if m.used() > m.limit {
		m.violations++
	}
	return true
}

func (m *memory) markLoaded(o *engine.Order) {
	key := keyOf(o)
	e, ok := m.entries[key]
	if ok && e.OrderID == o.OrderID {
		e.State = engine.Loaded
		m.entries[key] = e
	}
}

func (m *memory) remove(o *engine.Order) { delete(m.entries, keyOf(o)) }

// markUnloading makes the weights unavailable but keeps their memory reserved.
func (m *memory) markUnloading(o *engine.Order) {
	key := keyOf(o)
	e, ok := m.entries[key]
	if !ok {
		return
	}
	e.State = engine.Loading
	e.OrderID = o.OrderID
	m.entries[key] = e
}

// removeUnloading frees the memory of the weights that o unloads, unless a later
// order has changed their entry.
func (m *memory) removeUnloading(o *engine.Order) {
	if m.entries[keyOf(o)].OrderID == o.OrderID {
		m.remove(o)
	}
}

// has reports whether the weights are loaded.
func (m *memory) has(kind object.Kind, name, version string) bool {
	e, ok := m.entries[entryKey{kind: kind, name: name, version: version}]
	return ok && e.State == engine.Loaded
}

// list returns the entries sorted by name and version.
func (m *memory) list() []engine.Entry {
	keys := slices.Collect(maps.Keys(m.entries))
	slices.SortFunc(keys, func(a, b entryKey) int {
		switch {
		case a.name+a.version < b.name+b.version:
			return -1
		case a.name+a.version > b.name+b.version:
			return 1
		}
		return 0
	})
	list := make([]engine.Entry, 0, len(keys))
	for _, key := range keys {
		list = append(list, m.entries[key])
	}
	return list
}
