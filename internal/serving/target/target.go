// Package target defines the state that targets report about themselves, and the
// orders that engines accept. A target is an engine, which runs models, or a
// plain service.
package target

import (
	"net/netip"
	"slices"
	"time"
)

// Target is one incarnation of an engine or of a plain service.
type Target struct {
	// ID identifies the target; Born distinguishes its incarnations.
	ID   string
	Born int64
	// Pool names the pool; Address is the address that the target listens on.
	Pool    string
	Address netip.AddrPort
	// DataCentre names the data centre that the target runs in.
	DataCentre string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining is set while the target accepts no new requests.
	Draining bool
	// Weights lists what an engine has loaded. It lags behind the orders that
	// the engine has accepted.
	Weights Weights
	// Cold is how long the target stays cold, as of the time its row was written.
	Cold Cold
}

// Weights lists the models that an engine has loaded or can load fast.
type Weights struct {
	// Models lists the loaded models with their adapters.
	Models []LoadedModel
	// InMemory and OnDisk list models that load fast, from the memory and the
	// disk of the engine's host.
	InMemory, OnDisk []string
}

// LoadedModel is a model that an engine has loaded.
type LoadedModel struct {
	// Model names the model, Version identifies its weights.
	Model   string
	Version int64
	// Adapters lists the loaded adapters of the model.
	Adapters []string
}

// ComingModel is a model that an engine is loading, or will load once others are
// unloaded.
type ComingModel struct {
	// Model names the model; Remaining is the expected time until it is loaded.
	Model     string
	Remaining time.Duration
}

// Find returns the entry of a loaded model; ok is false if there is none.
func (w *Weights) Find(model string) (h *LoadedModel, ok bool) {
	for i := range w.Models {
		if w.Models[i].Model == model {
			return &w.Models[i], true
		}
	}
	return nil, false
}

// HasAdapter reports whether an adapter is loaded.
func (h *LoadedModel) HasAdapter(name string) bool {
	return slices.Contains(h.Adapters, name)
}

// Report is the state that an engine reports. It may be some hundred
// milliseconds old.
type Report struct {
	// Born distinguishes the engine's incarnations.
	Born int64
	// Orders counts the orders that the engine has accepted.
	Orders int64
	// Busy is set while an order is being carried out.
	Busy bool
	// Waiting and Running count the requests at the engine.
	Waiting, Running int
	// Weights lists what the engine has loaded.
	Weights Weights
	// LoadingAdapters lists the adapters that are being loaded, by model.
	LoadingAdapters map[string][]string
}

// Marks is what a target says in an answer about further calls.
type Marks struct {
	// Leaving is set if the target says that it leaves and takes no more requests.
	Leaving bool
	// Distance is the time for which the target wants no call from this VM; zero if it
	// does not ask for any.
	Distance time.Duration
	// Limit is the limit that the target names.
	Limit Limit
	// Cold is how long the target stays cold.
	Cold Cold
}

// Cold is what a target states of the time for which it takes only few requests after a
// start. The zero Cold is that of a target that states nothing.
type Cold struct {
	// Stated is set if the target states a time; Left is zero if it is not cold.
	Stated bool
	Left   time.Duration
	// Age is the time by which the statement may be older than the answer that has it.
	Age time.Duration
	// Fault describes a statement that is not usable; empty if there is none.
	Fault string
}

// Limit is the number of calls a second that a target takes from all VMs together. It
// counts requests, reports and orders. The zero Limit is that of a target that names none.
type Limit struct {
	Named     bool
	PerSecond float64
	// Steady is set if calls may not be made up for after a pause, as to a cold target.
	Steady bool
}

// Operation is what an order has an engine do.
type Operation int

// The operations of orders.
const (
	// Load loads a model or an adapter into the engine's memory.
	Load Operation = iota
	// Unload removes a model or an adapter from the engine's memory.
	Unload
)

// String returns the name of the operation as written to logs and table rows.
func (o Operation) String() string {
	if o == Load {
		return "load"
	}
	return "unload"
}

// Order is a command to an engine to load or unload a model or an adapter.
type Order struct {
	// Operation applies to Model, or to Adapter of Model if Adapter is set.
	Operation      Operation
	Model, Adapter string
	// Expected is the number of orders that the engine has accepted so far; the
	// engine refuses the order if its own count differs.
	Expected int64
	// Holder names the sender; Fence is the fencing token of its term.
	Holder string
	Fence  int64
}

// Outcome is the result of sending an order to an engine.
type Outcome int

// The outcomes of orders.
const (
	// Unanswered means that the order may be carried out at any later time.
	Unanswered Outcome = iota
	// Accepted means that the order is being carried out.
	Accepted
	// Holds means that the engine is already in the state that the order would
	// bring about.
	Holds
	// Refused means that the engine did not accept the order: another is being
	// carried out, or the number of accepted orders is not Order.Expected.
	Refused
	// Fenced means that the sender's term is over.
	Fenced
	// Misdirected means that the order reached another incarnation.
	Misdirected
	// Invalid means that the order can never be carried out.
	Invalid
	// NotSent means that the order has not left this process.
	NotSent
)

var outcomeNames = [...]string{"unanswered", "accepted", "holds", "refused", "fenced", "misdirected", "invalid", "not_sent"}

// String returns the name of the outcome as written to logs. It panics for an
// unknown outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// ReportTimeout bounds the wait for a report or for the answer to an order.
// Engines normally answer both within a few milliseconds.
const ReportTimeout = 800 * time.Millisecond
