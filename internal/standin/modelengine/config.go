package modelengine

import "time"

// Config sets the sizes and the timing of an engine.
type Config struct {
	// MemoryBytes is the size of the accelerator memory.
	MemoryBytes int64 `json:"memory_bytes"`
	// Concurrency is the maximum number of sequences in the batch; others wait.
	Concurrency int `json:"concurrency"`
	// MaxWaiting is the number of waiting sequences above which new ones are
	// refused.
	MaxWaiting int `json:"max_waiting"`
	// A decoding step takes StepBase, plus StepPerSequence for each sequence in the
	// batch.
	StepBase        time.Duration `json:"step_base,omitzero"`
	StepPerSequence time.Duration `json:"step_per_sequence,omitzero"`
	// PrefillPerToken is the prefill time of each prompt token that is not cached.
	PrefillPerToken time.Duration `json:"prefill_per_token,omitzero"`
	// CacheBlocks is the maximum number of blocks in the prefix cache; zero disables
	// it.
	CacheBlocks int `json:"cache_blocks,omitzero"`
	// UnloadTime is the time after an unload order for which the memory of the
	// weights stays in use.
	UnloadTime time.Duration `json:"unload_time,omitzero"`
	// ReportLag is the age of the state and the cache events in reports.
	ReportLag time.Duration `json:"report_lag,omitzero"`
	// ChecksFencing makes the engine refuse orders with a fencing token below the
	// highest one seen.
	ChecksFencing bool `json:"checks_fencing,omitzero"`
	// LoseEveryEvent is N if every Nth cache event is lost; zero loses none.
	LoseEveryEvent int64 `json:"lose_every_event,omitzero"`
}

// Fault is a set of faults that the engine injects.
type Fault struct {
	// DropOrders is the number of subsequent orders that are discarded without a
	// response.
	DropOrders int `json:"drop_orders,omitzero"`
	// LoseOrderAnswers is the number of subsequent orders that are executed without a
	// response.
	LoseOrderAnswers int `json:"lose_order_answers,omitzero"`
	// OrderDelay is the time after which an order is executed. It is executed again
	// after twice that time, and gets no response.
	OrderDelay time.Duration `json:"order_delay,omitzero"`
	// CrossAnswers inserts frames of another attempt into every stream.
	CrossAnswers bool `json:"cross_answers,omitzero"`
	// CutAfterTokens is the number of tokens after which each stream ends without its
	// final frame; zero cuts no stream.
	CutAfterTokens int `json:"cut_after_tokens,omitzero"`
	// RepeatFrames sends each frame twice, and a copy of the first frame of the
	// stream in between.
	RepeatFrames bool `json:"repeat_frames,omitzero"`
	// LoseStarts is the number of subsequent generations that start but send nothing
	// to their caller.
	LoseStarts int `json:"lose_starts,omitzero"`
	// Refuse makes every generation fail as overloaded once LoseStarts is zero.
	Refuse bool `json:"refuse,omitzero"`
}
