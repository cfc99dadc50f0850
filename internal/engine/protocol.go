package engine

import (
	"github.com/go-json-experiment/json/jsontext"

	"fireflypier.example/fireflypier/internal/object"
)

// GenerateRequest is the body of a generation request.
type GenerateRequest struct {
	// AttemptID identifies the attempt; every frame of the stream repeats it.
	AttemptID string `json:"attempt_id"`
	// Model, Version and Adapter identify the weights. Adapter may be empty.
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitzero"`
	// Prompt is the raw JSON of the caller's messages or prompt.
	Prompt jsontext.Value `json:"prompt"`
	// MaxTokens bounds the tokens of the whole answer, including the first
	// Offset tokens.
	MaxTokens int `json:"max_tokens"`
	// Offset is the number of tokens that the caller has already received. The
	// stream starts with the token at this index.
	Offset int `json:"offset,omitzero"`
	// Priority orders the queue of the engine; lower values run first.
	Priority int `json:"priority,omitzero"`
	// Sampling is the raw JSON of the caller's sampling parameters.
	Sampling jsontext.Value `json:"sampling,omitzero"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	// PromptTokens and CompletionTokens count the tokens of the prompt and of
	// the answer.
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// CachedTokens is the part of PromptTokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens,omitzero"`
}

// Frame is one event of a stream: a token, or the end of the answer.
type Frame struct {
	// AttemptID is that of the request.
	AttemptID string `json:"attempt_id"`
	// Offset is the index of the token in the whole answer. In the last frame,
	// it is the number of tokens of the answer.
	Offset int `json:"offset"`
	// Text is the text of the token.
	Text string `json:"text,omitzero"`
	// Done marks the last frame, the only one with FinishReason and Usage.
	Done         bool   `json:"done,omitzero"`
	FinishReason string `json:"finish_reason,omitzero"`
	Usage        Usage  `json:"usage,omitzero"`
}

// Action is the kind of change that an Order requests.
type Action string

// The actions: load weights, unload weights, set the role of the engine.
const (
	Load   Action = "load"
	Unload Action = "unload"
	Role   Action = "role"
)

// Order loads or unloads weights, or sets the role of an engine. Orders are
// idempotent: loading weights that are loaded and unloading weights that are not
// loaded has no effect.
type Order struct {
	// OrderID identifies the order. It stays the same when the order is resent.
	OrderID string `json:"order_id"`
	// Fencing is the fencing token. An engine that checks it refuses an order
	// whose number is below the highest that it has received.
	Fencing int64 `json:"fencing"`
	// Action is the change. Kind, Name and Version identify the weights that it
	// applies to.
	Action  Action      `json:"action"`
	Kind    object.Kind `json:"kind"`
	Name    string      `json:"name"`
	Version string      `json:"version"`
	// MemoryBytes is the accelerator memory that the weights need; only for
	// Load.
	MemoryBytes int64 `json:"memory_bytes,omitzero"`
	// Role is the new role of the engine; only for the action Role.
	Role string `json:"role,omitzero"`
}

// EntryState is the state of weights in the memory of an engine.
type EntryState string

// The states of an Entry. Requests can be served in the state Loaded.
const (
	Loading EntryState = "loading"
	Loaded  EntryState = "loaded"
)

// Entry describes weights in the accelerator memory of an engine.
type Entry struct {
	// Kind, Name and Version identify the weights.
	Kind    object.Kind `json:"kind"`
	Name    string      `json:"name"`
	Version string      `json:"version"`
	// MemoryBytes is the memory used. It is reserved when the load starts.
	MemoryBytes int64 `json:"memory_bytes"`
	// State is Loading or Loaded.
	State EntryState `json:"state"`
	// OrderID is the ID of the order that loaded the weights.
	OrderID string `json:"order_id"`
}

// CacheEvent is a change of the prefix cache of an engine.
type CacheEvent struct {
	// Sequence numbers the events from 1 without gaps. A gap at the receiver
	// means that events were lost.
	Sequence int64 `json:"sequence"`
	// Added and Removed are chained hashes of prompt blocks, as computed by
	// package prefix.
	Added   []uint64 `json:"added,omitzero"`
	Removed []uint64 `json:"removed,omitzero"`
}

// Report is the state of an engine. It may be out of date when it arrives.
type Report struct {
	// BootID changes when the engine restarts, which empties its memory.
	BootID string `json:"boot_id"`
	// MemoryBytes and UsedBytes are the total and the used accelerator memory.
	MemoryBytes int64 `json:"memory_bytes"`
	UsedBytes   int64 `json:"used_bytes"`
	// Entries lists the weights in memory.
	Entries []Entry `json:"entries"`
	// Running and Waiting count requests. QueuedTokens is the number of
	// unfinished tokens.
	Running      int `json:"running"`
	Waiting      int `json:"waiting"`
	QueuedTokens int `json:"queued_tokens"`
	// Fencing is the highest fencing token received.
	Fencing int64 `json:"fencing"`
	// Sequence increases with every change of the state within one boot. Of two
	// reports with the same BootID, the one with the lower number is older.
	Sequence int64 `json:"sequence,omitzero"`
	// ExecutedOrders lists the IDs of the most recently executed orders, at least
	// the last 256, oldest first.
	ExecutedOrders []string `json:"carried,omitzero"`
	// Role is the role of the engine.
	Role string `json:"role,omitzero"`
	// Events are the cache events after the requested sequence number, oldest
	// first.
	Events []CacheEvent `json:"events,omitzero"`
	// Violations counts how often the memory was overcommitted.
	Violations int `json:"violations"`
}

// Refusal is the body of the response to a request that the engine did not run.
type Refusal struct {
	// Code is one of the Refused constants.
	Code string `json:"code"`
	// Message describes the reason, for logs and error messages.
	Message string `json:"message"`
}

// The codes of a Refusal: the weights are not loaded, the engine is overloaded,
// the fencing token is too low, the request is invalid.
const (
	RefusedNotLoaded  = "not_loaded"
	RefusedOverloaded = "overloaded"
	RefusedFencing    = "stale_fencing"
	RefusedBadRequest = "bad_request"
)
