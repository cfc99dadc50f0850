package modelengine

import "time"

// Config is the timing and size of a stand-in engine.
type Config struct {
	// MemoryBytes is the accelerator memory.
	MemoryBytes int64 `json:"memory_bytes"`
	// Concurrency bounds the sequences in the batch; more wait.
	Concurrency int `json:"concurrency"`
	// MaxWaiting bounds the waiting sequences; more are refused.
	MaxWaiting int `json:"max_waiting"`
	// StepBase and StepPerSequence give the time of a decoding step.
	StepBase        time.Duration `json:"step_base,omitzero"`
	StepPerSequence time.Duration `json:"step_per_sequence,omitzero"`
	// PrefillPerToken is the time for each prompt token not in the cache.
	PrefillPerToken time.Duration `json:"prefill_per_token,omitzero"`
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int `json:"cache_blocks,omitzero"`
	// UnloadTime is how long an unload holds its memory after its answer.
	UnloadTime time.Duration `json:"unload_time,omitzero"`
	// ReportLag is how far reports and cache events lag behind.
	ReportLag time.Duration `json:"report_lag,omitzero"`
	// ChecksFencing makes the engine refuse orders with old numbers.
	ChecksFencing bool `json:"checks_fencing,omitzero"`
	// LoseEveryEvent loses each Nth cache event; zero loses none.
	LoseEveryEvent int64 `json:"lose_every_event,omitzero"`
}

// Fault is what the engine does wrong.
type Fault struct {
	// DropOrders is the number of following orders that are lost without
	// effect; their answers are lost as well.
	DropOrders int `json:"drop_orders,omitzero"`
	// LoseOrderAnswers is the number of following orders that take effect
	// but are not answered.
	LoseOrderAnswers int `json:"lose_order_answers,omitzero"`
	// OrderDelay holds every order back; its answer is lost and a second
	// copy of each takes effect after twice the delay.
	OrderDelay time.Duration `json:"order_delay,omitzero"`
	// CrossAnswers mixes frames of another attempt into every stream.
	CrossAnswers bool `json:"cross_answers,omitzero"`
	// CutAfterTokens ends each stream without its last frame after that
	// many tokens; zero cuts none.
	CutAfterTokens int `json:"cut_after_tokens,omitzero"`
	// RepeatFrames sends each frame twice, and then the first one again.
	RepeatFrames bool `json:"repeat_frames,omitzero"`
	// LoseStarts is the number of following generations that run without
	// their caller seeing any of it.
	LoseStarts int `json:"lose_starts,omitzero"`
	// Refuse answers every generation as overloaded, once no more starts are
	// to be lost.
	Refuse bool `json:"refuse,omitzero"`
}
