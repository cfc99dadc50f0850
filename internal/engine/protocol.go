package engine

import (
	"github.com/go-json-experiment/json/jsontext"

	"fireflypier.example/fireflypier/internal/object"
)

// GenerateRequest asks an engine to generate tokens.
type GenerateRequest struct {
	// AttemptID is unique to the attempt and echoed on every frame.
	AttemptID string `json:"attempt_id"`
	// Model, Version and Adapter name the weights; Adapter may be empty.
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitzero"`
	// Prompt is the raw JSON of the caller's messages or prompt.
	Prompt jsontext.Value `json:"prompt"`
	// MaxTokens bounds the tokens of the whole answer, Offset included.
	MaxTokens int `json:"max_tokens"`
	// Offset is the number of tokens that the caller already has.
	Offset int `json:"offset,omitzero"`
	// Priority orders work in the engine; lower runs first.
	Priority int `json:"priority,omitzero"`
	// Sampling is the raw JSON of the caller's sampling parameters.
	Sampling jsontext.Value `json:"sampling,omitzero"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	// PromptTokens and CompletionTokens are the tokens read and generated.
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// CachedTokens is the part of PromptTokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens,omitzero"`
}

// Frame is one event of a stream. The last frame has Done set.
type Frame struct {
	// AttemptID echoes the request.
	AttemptID string `json:"attempt_id"`
	// Offset is the index of the frame's token in the whole answer; on the
	// last frame it is the number of tokens of the answer.
	Offset int `json:"offset"`
	// Text is the token's text.
	Text string `json:"text,omitzero"`
	// Done marks the last frame; FinishReason and Usage are set there.
	Done         bool   `json:"done,omitzero"`
	FinishReason string `json:"finish_reason,omitzero"`
	Usage        Usage  `json:"usage,omitzero"`
}

// Action is what an order asks for.
type Action string

// The actions of an order.
const (
	Load   Action = "load"
	Unload Action = "unload"
	Role   Action = "role"
)

// Order changes what an engine holds. Orders are idempotent: loading what is
// there and unloading what is absent change nothing.
type Order struct {
	// OrderID is unique to the order; a repeated copy keeps it.
	OrderID string `json:"order_id"`
	// Fencing is the number that engines which check it compare; an order
	// below the highest number seen is refused.
	Fencing int64 `json:"fencing"`
	// Action, Kind, Name and Version tell what to do to which weights.
	Action  Action      `json:"action"`
	Kind    object.Kind `json:"kind"`
	Name    string      `json:"name"`
	Version string      `json:"version"`
	// MemoryBytes is the memory that a load takes.
	MemoryBytes int64 `json:"memory_bytes,omitzero"`
	// Role is the new role of a Role order.
	Role string `json:"role,omitzero"`
}

// EntryState is the state of weights in an engine's memory.
type EntryState string

// The states of an entry.
const (
	Loading EntryState = "loading"
	Loaded  EntryState = "loaded"
)

// Entry is what an engine holds in accelerator memory.
type Entry struct {
	// Kind, Name and Version name the weights.
	Kind    object.Kind `json:"kind"`
	Name    string      `json:"name"`
	Version string      `json:"version"`
	// MemoryBytes is the memory taken, from the start of the load.
	MemoryBytes int64 `json:"memory_bytes"`
	// State tells whether requests can be served.
	State EntryState `json:"state"`
	// OrderID is the order that loaded the entry.
	OrderID string `json:"order_id"`
}

// CacheEvent is a change of the prefix cache.
type CacheEvent struct {
	// Sequence counts from one without gaps at the engine; a gap at the
	// receiver means lost events.
	Sequence int64 `json:"sequence"`
	// Added and Removed are chained hashes of prompt blocks; see
	// package prefix.
	Added   []uint64 `json:"added,omitzero"`
	Removed []uint64 `json:"removed,omitzero"`
}

// Report is an engine's state; it lags behind.
type Report struct {
	// BootID changes when the engine restarts and its memory is empty.
	BootID string `json:"boot_id"`
	// MemoryBytes and UsedBytes are the accelerator memory.
	MemoryBytes int64 `json:"memory_bytes"`
	UsedBytes   int64 `json:"used_bytes"`
	// Entries lists what the memory holds.
	Entries []Entry `json:"entries"`
	// Running and Waiting count requests; QueuedTokens is the work ahead.
	Running      int `json:"running"`
	Waiting      int `json:"waiting"`
	QueuedTokens int `json:"queued_tokens"`
	// Fencing is the highest fencing number seen.
	Fencing int64 `json:"fencing"`
	// Sequence grows with every change of the engine's state within one life;
	// a report with a lower number is older.
	Sequence int64 `json:"sequence,omitzero"`
	// ExecutedOrders lists the ids of the orders carried out last, oldest first; at
	// least the last 256.
	ExecutedOrders []string `json:"carried,omitzero"`
	// Role is the engine's role.
	Role string `json:"role,omitzero"`
	// Events are the cache events after the one asked for, oldest first.
	Events []CacheEvent `json:"events,omitzero"`
	// Violations counts the times that memory was overcommitted.
	Violations int `json:"violations"`
}

// Refusal is the body of an engine's answer to work that it did not run.
type Refusal struct {
	// Code is one of the Refused constants.
	Code string `json:"code"`
	// Message is for logs.
	Message string `json:"message"`
}

// The codes of a Refusal.
const (
	RefusedNotLoaded  = "not_loaded"
	RefusedOverloaded = "overloaded"
	RefusedFencing    = "stale_fencing"
	RefusedBadRequest = "bad_request"
)
