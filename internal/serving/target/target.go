// Package target describes the targets that serve requests, as they describe
// themselves: engines that hold models, and plain services.
package target

import (
	"net/netip"
	"slices"
	"time"
)

// Target is one incarnation of an engine or of a plain service.
type Target struct {
	// ID names the target; Born tells its incarnations apart.
	ID   string
	Born int64
	// Pool names the pool, Address is where it listens.
	Pool    string
	Address netip.AddrPort
	// DataCentre is where it runs.
	DataCentre string
	// Slots is the number of requests that run at once.
	Slots int
	// Draining targets take no new work.
	Draining bool
	// Weights is what an engine holds; it lags behind its orders.
	Weights Weights
}

// Weights is what an engine holds.
type Weights struct {
	// Models lists the models with their adapters.
	Models []LoadedModel
	// InMemory and OnDisk list models that load fast.
	InMemory, OnDisk []string
}

// LoadedModel is a model that an engine holds.
type LoadedModel struct {
	// Model names the model, Version its weights.
	Model   string
	Version int64
	// Adapters lists the adapters of the model that are held.
	Adapters []string
}

// Find returns the entry of a model.
func (w *Weights) Find(model string) (h *LoadedModel, ok bool) {
	for i := range w.Models {
		if w.Models[i].Model == model {
			return &w.Models[i], true
		}
	}
	return nil, false
}

// HasAdapter reports whether an adapter is held.
func (h *LoadedModel) HasAdapter(name string) bool {
	return slices.Contains(h.Adapters, name)
}

// Report is an engine's own account, some hundred milliseconds old.
type Report struct {
	// Born tells the engine's incarnations apart.
	Born int64
	// Orders counts the orders that the engine has accepted.
	Orders int64
	// Busy tells that an order is under way.
	Busy bool
	// Waiting and Running count requests.
	Waiting, Running int
	// Weights is what the engine holds.
	Weights Weights
	// Coming lists the adapters on their way, by model.
	Coming map[string][]string
}

// Operation is what an order asks for.
type Operation int

// The operations of orders.
const (
	// Load brings a model or an adapter into the engine's memory.
	Load Operation = iota
	// Unload drops it.
	Unload
)

// String returns the name of the operation in logs and rows.
func (o Operation) String() string {
	if o == Load {
		return "load"
	}
	return "unload"
}

// Order asks an engine to load or unload a model or an adapter.
type Order struct {
	// Operation tells what to do with Model, or with Adapter of Model.
	Operation      Operation
	Model, Adapter string
	// Expected is the number of orders that the engine must have accepted.
	Expected int64
	// Holder and Fence name the sender and its term.
	Holder string
	Fence  int64
}

// Outcome is an engine's answer to an order.
type Outcome int

// The outcomes of orders.
const (
	// Unanswered orders may be carried out at any later time.
	Unanswered Outcome = iota
	// Accepted orders are being carried out.
	Accepted
	// Holds means that what was asked for already holds.
	Holds
	// Refused orders were not accepted: another is under way, or the engine
	// had accepted another number of orders.
	Refused
	// Fenced orders came from a sender whose term is over.
	Fenced
	// Misdirected orders reached another incarnation.
	Misdirected
	// Invalid orders can never be carried out.
	Invalid
	// NotSent orders have not left this process.
	NotSent
)

var outcomeNames = [...]string{"unanswered", "accepted", "holds", "refused", "fenced", "misdirected", "invalid", "not_sent"}

// String returns the name of the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// ReportTimeout bounds the wait for a report or for the answer to an order;
// engines answer both within a few milliseconds.
const ReportTimeout = 800 * time.Millisecond
