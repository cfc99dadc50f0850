package ledger

import (
	"slices"

	"fireflypier.example/fireflypier/internal/engine"
)

// Engine is the configuration of an engine.
type Engine struct {
	// MemoryBytes is the configured accelerator memory.
	MemoryBytes int64
	// ChecksFencing is true if the engine rejects orders with old fencing tokens.
	ChecksFencing bool
}

// Observe updates l from a report and returns whether l changed. The report must
// have been requested after the row was read, so that a different boot id means a
// later start of the engine. A report that is older than one observed before is
// ignored.
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
	if l.updateEntries(r) {
		changed = true
	}
	return l.addMissingEntries(r) || changed
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

// restart resets l after a restart of the engine, whose memory is then empty.
// Earlier orders cannot reach the restarted engine, since each order is sent over
// a connection that was made to the engine with the recorded boot id.
func (l *Ledger) restart(bootID string) {
	l.BootID = bootID
	l.Sequence = 0
	l.Entries = nil
}

// updateEntries updates the existing entries from the weights in the report, and
// reports whether any entry changed.
func (l *Ledger) updateEntries(r *engine.Report) bool {
	changed := false
	kept := l.Entries[:0]
	for _, e := range l.Entries {
		before := e
		reported, present := find(r, e.Weights)
		if !present && l.isReleased(&e, r) {
			changed = true
			continue
		}
		if present {
			e.markPresent(reported)
		} else {
			l.markAbsent(&e, r)
		}
		changed = changed || e != before
		kept = append(kept, e)
	}
	l.Entries = kept
	return changed
}

func find(r *engine.Report, w Weights) (engine.Entry, bool) {
	for _, reported := range r.Entries {
		if reported.Kind == w.Kind && reported.Name == w.Name && reported.Version == w.Version {
			return reported, true
		}
	}
	return engine.Entry{}, false
}

// isReleased reports whether no copy of a load or unload order can still affect
// the weights of e, which are not in memory.
func (l *Ledger) isReleased(e *Entry, r *engine.Report) bool {
	if l.ChecksFencing {
		return r.Fencing > e.Fencing
	}
	return e.State == Unloading && e.UnloadDelivery == Answered && l.unloaded(e, r)
}

// unloaded reports whether the unload order was carried out after every copy of
// the load order had arrived.
func (l *Ledger) unloaded(e *Entry, r *engine.Report) bool {
	return e.LoadDelivery == Answered && slices.Contains(r.ExecutedOrders, e.OrderID)
}

// markPresent updates e for weights that are in memory.
func (e *Entry) markPresent(reported engine.Entry) {
	e.MemoryBytes = max(e.MemoryBytes, reported.MemoryBytes)
	switch e.State {
	case Loading, Lost:
		if reported.State == engine.Loaded {
			e.State = Loaded
		}
	case Loaded:
		if reported.State != engine.Loaded {
			e.State = Lost
		}
	case Unloading:
	}
}

// markAbsent updates e for weights that are not in memory.
func (l *Ledger) markAbsent(e *Entry, r *engine.Report) {
	switch {
	case e.State == Loaded:
		e.State = Lost
	case e.State == Unloading && !l.ChecksFencing && l.unloaded(e, r):
		e.MemoryBytes = 0
	}
}

// addMissingEntries adds entries for weights that the engine has in memory without
// an entry, and reports whether there were any.
func (l *Ledger) addMissingEntries(r *engine.Report) bool {
	changed := false
	for _, reported := range r.Entries {
		w := Weights{Kind: reported.Kind, Name: reported.Name, Version: reported.Version}
		if l.Find(w) != nil {
			continue
		}
		e := Entry{
			Weights: w, MemoryBytes: reported.MemoryBytes, State: Loading,
			OrderID: reported.OrderID, Fencing: r.Fencing, LoadDelivery: Uncertain,
		}
		if reported.State == engine.Loaded {
			e.State = Loaded
		}
		l.Entries = append(l.Entries, e)
		changed = true
	}
	return changed
}
