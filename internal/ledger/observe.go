package ledger

import (
	"slices"

	"fireflypier.example/fireflypier/internal/engine"
)

// Engine is what the configuration says of an engine.
type Engine struct {
	// MemoryBytes is the accelerator memory.
	MemoryBytes int64
	// ChecksFencing tells whether the engine refuses old fencing numbers.
	ChecksFencing bool
}

// Observe brings l up to a report and reports whether it changed. The report
// must have been asked for after the row was read, so that another boot id is
// a later life. A report older than one observed before changes nothing.
func (l *Ledger) Observe(r *engine.Report, cfg Engine) bool {
	if r.BootID == l.BootID && r.Sequence < l.Sequence {
		return false
	}
	changed := l.configure(r, cfg)
	if l.BootID != r.BootID {
		l.restart(r.BootID)
		changed = true
	}
	l.Sequence = r.Sequence
	if r.Fencing > l.Fencing {
		l.Fencing = r.Fencing
		changed = true
	}
	if l.settle(r) {
		changed = true
	}
	return l.adopt(r) || changed
}

func (l *Ledger) configure(r *engine.Report, cfg Engine) bool {
	usable := cfg.MemoryBytes
	if r.MemoryBytes > 0 {
		usable = min(usable, r.MemoryBytes)
	}
	if l.MemoryBytes == usable && l.ChecksFencing == cfg.ChecksFencing {
		return false
	}
	l.MemoryBytes = usable
	l.ChecksFencing = cfg.ChecksFencing
	return true
}

// restart begins a new life of the engine, whose memory is empty. Orders of
// the former life cannot reach it, since each order travels over a connection
// that was made to the life named in its record.
func (l *Ledger) restart(bootID string) {
	l.BootID = bootID
	l.Sequence = 0
	l.Entries = nil
}

// settle compares the entries with what the engine holds.
func (l *Ledger) settle(r *engine.Report) bool {
	changed := false
	kept := l.Entries[:0]
	for _, e := range l.Entries {
		before := e
		held, present := find(r, e.Weights)
		if !present && l.isFree(&e, r) {
			changed = true
			continue
		}
		if present {
			e.see(held)
		} else {
			l.miss(&e, r)
		}
		changed = changed || e != before
		kept = append(kept, e)
	}
	l.Entries = kept
	return changed
}

func find(r *engine.Report, w Weights) (engine.Entry, bool) {
	for _, held := range r.Entries {
		if held.Kind == w.Kind && held.Name == w.Name && held.Version == w.Version {
			return held, true
		}
	}
	return engine.Entry{}, false
}

// isFree reports whether absent weights can no longer appear through a copy
// of a load order, nor be struck by a copy of an unload order.
func (l *Ledger) isFree(e *Entry, r *engine.Report) bool {
	if l.ChecksFencing {
		return r.Fencing > e.Fencing
	}
	return e.State == Unloading && e.UnloadDelivery == Answered && l.unloaded(e, r)
}

// unloaded reports whether the unload order took effect after every copy of
// the load order.
func (l *Ledger) unloaded(e *Entry, r *engine.Report) bool {
	return e.LoadDelivery == Answered && slices.Contains(r.ExecutedOrders, e.OrderID)
}

// see records that the weights are in memory.
func (e *Entry) see(held engine.Entry) {
	e.MemoryBytes = max(e.MemoryBytes, held.MemoryBytes)
	switch e.State {
	case Loading, Lost:
		if held.State == engine.Loaded {
			e.State = Loaded
		}
	case Loaded:
		if held.State != engine.Loaded {
			e.State = Lost
		}
	case Unloading:
	}
}

// miss records that the weights are not in memory.
func (l *Ledger) miss(e *Entry, r *engine.Report) {
	switch {
	case e.State == Loaded:
		e.State = Lost
	case e.State == Unloading && !l.ChecksFencing && l.unloaded(e, r):
		e.MemoryBytes = 0
	}
}

// adopt counts weights that the engine holds without an entry.
func (l *Ledger) adopt(r *engine.Report) bool {
	changed := false
	for _, held := range r.Entries {
		w := Weights{Kind: held.Kind, Name: held.Name, Version: held.Version}
		if l.Find(w) != nil {
			continue
		}
		e := Entry{
			Weights: w, MemoryBytes: held.MemoryBytes, State: Loading,
			OrderID: held.OrderID, Fencing: r.Fencing, LoadDelivery: Uncertain,
		}
		if held.State == engine.Loaded {
			e.State = Loaded
		}
		l.Entries = append(l.Entries, e)
		changed = true
	}
	return changed
}
